//! What all processes of ibisspool share: named parts with mailboxes, clock, logs, HTTP, signals.

pub mod channel;
pub mod clock;
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
