//! Decisions of ibisspool: pure state machines without input, output, clocks or threads.
//!
//! Where to look:
//! - a job's path: [`entry`] (`submit`, `dispatch`, `outcome`), then [`agent`]
//! - who may decide: [`lease`], [`control`], [`rendezvous`]
//! - why a request was refused: [`refusal`]

pub mod agent;
pub mod catalogue;
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
