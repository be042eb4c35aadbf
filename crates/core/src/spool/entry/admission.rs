//! Whether a new job is taken or turned away at once.
//!
//! Load pattern: bursts above the capacity of all servers. A job that cannot end in time only
//! delays others, so it is turned away while nothing of it has run, with the time that the backlog
//! takes as advice when to come back.

use std::time::Duration;

/// Work ahead of a new job.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Work that waits ahead of it, in milliseconds x thousandths of a core.
    pub work: f64,
    /// Thousandths of a core of all servers that take its tasks.
    pub capacity: f64,
}

impl Backlog {
    /// Returns how long the servers need for the work.
    pub fn wait(&self) -> Duration {
        if self.capacity <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64((self.work / self.capacity / 1_000.0).min(3_600.0))
    }
}

/// Shortest advice: whole seconds are the unit of the header that carries it.
const SHORTEST_ADVICE: Duration = Duration::from_secs(1);

/// Decides whether a job with `run` of work and `left` until its last useful end is taken.
///
/// # Errors
/// Returns when it is worth coming back if the backlog leaves no time for it.
pub fn admit(backlog: Backlog, run: Duration, left: Duration) -> Result<(), Duration> {
    let wait = backlog.wait();
    if wait.saturating_add(run) <= left {
        return Ok(());
    }
    Err(wait.clamp(SHORTEST_ADVICE, Duration::from_secs(60)))
}
