//! Dispatch of jobs that are not recorded durably.
//!
//! A caller submits a job to any entry, waits for the answer on the open connection, and submits
//! the job again if that connection is lost. The job may then run again from the start, but two
//! attempts must never run at the same time. No process stores anything about a job, so only time
//! bounds keep the second attempt apart from the first ([`safety`]).
//!
//! Two kinds of process take part. An entry accepts jobs from callers and dispatches their tasks.
//! An agent runs the tasks that it gets from all entries on the one backend server of its VM.
//!
//! Where to look:
//! - admission of jobs, and choice of the agent for each task: [`entry`]
//! - start and stop of tasks on a backend server: [`agent`]
//! - queues, limits and data centres that operators configure: [`catalogue`]
//! - messages between entries and agents: [`message`]

pub mod agent;
pub mod catalogue;
pub mod entry;
pub mod job;
pub mod log_line;
pub mod message;
pub mod reconnect;
pub mod safety;
