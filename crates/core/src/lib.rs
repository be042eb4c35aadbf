//! Decision logic of ibisspool: deterministic state machines that do no I/O, read no clock and
//! start no threads. Callers pass events and the present time, and carry out the returned actions.
//!
//! Entries accept jobs from callers and dispatch their tasks to agents; each agent starts tasks on
//! one backend server.
//!
//! Where to start reading:
//! - the path of a job: [`entry`] (its modules `submit`, `dispatch` and `outcome`), then [`agent`]
//! - which entry may make decisions: [`lease`], [`control`], [`rendezvous`]
//! - why a request was refused: [`refusal`]

pub mod agent;
pub mod catalogue;
pub mod connection_budget;
pub mod control;
pub mod entry;
pub mod fair_queue;
pub mod frame;
pub mod job;
pub mod lease;
pub mod limits;
pub mod placement;
pub mod receipt;
pub mod refusal;
pub mod rendezvous;
pub mod settings;
pub mod skew;
pub mod spool;
pub mod time;
