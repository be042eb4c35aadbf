//! Runtime services that all processes of ibisspool share: threads with mailboxes, clocks, logging,
//! metrics, settings, HTTP, framed TCP connections and signals.

pub mod channel;
pub mod clock;
pub mod connection_limiter;
pub mod connection_limits;
pub mod http;
pub mod log;
pub mod metrics;
pub mod part;
pub mod run;
pub mod settings;
pub mod signal;
pub mod spool;
pub mod ticker;
pub mod web;
