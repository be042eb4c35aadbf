//! The agent of ibisspool. It runs on the VM of a backend server and is the only process that
//! starts tasks there. Entries order the tasks over connections that the agent opens.

pub mod announce;
pub mod call;
pub mod cli;
pub mod decider;
pub mod links;
pub mod metrics;
pub mod runner;
pub mod serve;
pub mod settings;
pub mod spool;
