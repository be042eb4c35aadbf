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

/// Longest advice: a backlog of a minute is gone or hopeless by then.
const LONGEST_ADVICE: Duration = Duration::from_mins(1);

/// Part of the time until the latest start that the wait may take. The rest covers what is not
/// seen: work that other entries have just taken, and run times that are longer than declared.
const SAFE_PART: f64 = 0.8;

/// Decides whether a job that has to start within `slack` is taken.
///
/// # Errors
/// Returns when it is worth coming back if the backlog leaves no time for it.
pub fn admit(backlog: Backlog, slack: Duration) -> Result<(), Duration> {
    let wait = backlog.wait();
    if wait <= slack.mul_f64(SAFE_PART) {
        return Ok(());
    }
    Err(wait.clamp(SHORTEST_ADVICE, LONGEST_ADVICE))
}
