//! An entry of ibisspool: it accepts jobs from callers, coordinates them and chooses the backend
//! servers for their tasks. The crate also contains the operator commands.

pub mod callers;
pub mod cli;
pub mod decider;
pub mod metrics;
pub mod operator;
pub mod peer_stream;
pub mod peers;
pub mod responder;
pub mod secret;
pub mod serve;
pub mod settings;
pub mod spool;
pub mod store;
