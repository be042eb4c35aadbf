//! Dispatch of jobs that need not be kept.
//!
//! Such a job may run again from the start, but never twice at the same time. Nothing of it is
//! written down: its caller waits on the open connection, and time bounds alone keep a second
//! attempt apart from the first ([`safety`]).
//!
//! Where to look:
//! - who takes a job, and which agent runs its tasks: [`entry`]
//! - when a task starts, and how it is stopped: [`agent`]
//! - what operators allow: [`catalogue`]
//! - what entries and agents tell each other: [`message`]

pub mod agent;
pub mod catalogue;
pub mod entry;
pub mod job;
pub mod message;
pub mod note;
pub mod redial;
pub mod safety;
