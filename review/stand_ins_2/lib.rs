//! Stand-ins for the platform, its executors and its clients, and the start of the project's own
//! programs. Written with the standard library alone, so that `rustc` builds it without packages.

pub mod deployment;
pub mod executor;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
