//! The agent of ibisspool beside a backend server: the only starter of tasks on it.

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
