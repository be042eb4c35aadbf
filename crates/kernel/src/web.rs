//! HTTP/1.1 on one thread: a server that notices callers who leave, and a client that keeps its
//! connections.
//!
//! The servers of [`crate::http`] keep a thread for each connection and learn of a caller's end
//! only when they write; the VMs of entries and agents have a fraction of one core.

mod client;
mod server;

pub use client::{Client, Error, Response};
pub use server::{
    Call, Limits, Reply, ShutdownSignal, ShutdownTrigger, serve, serve_until_shutdown,
    shutdown_pair, yield_to_connections,
};
