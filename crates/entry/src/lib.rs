//! An entry of ibisspool: takes callers' work, coordinates jobs and chooses backend servers.

pub mod callers;
pub mod cli;
pub mod decider;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod responder;
pub mod secret;
pub mod serve;
pub mod settings;
pub mod spool;
pub mod store;
