//! HTTP/1.1 on one thread: a server that notices when a caller disconnects while it waits, and a
//! client that reuses its connections.

mod client;
mod server;
mod stream;

pub use client::{Client, Connection, Error, Response};
pub use server::{
    Call, Limits, Options, Reply, RequestError, ShutdownSignal, ShutdownTrigger, serve,
    serve_until_shutdown, serve_with_options, serve_within, shutdown_pair, yield_to_connections,
};
