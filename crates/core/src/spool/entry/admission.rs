//! Whether a new job is taken or turned away at once.
//!
//! Load pattern: bursts above the capacity of all servers. A job that cannot end in time only
//! delays others, so it is turned away while nothing of it has run, with the time that the backlog
//! takes as advice when to come back.

use std::time::Duration;

/// The load that a new job meets, in thousandths of a core over all servers of its service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Rank of its queue; 0 comes first.
    pub priority: u8,
    /// What its first tasks need.
    pub needed: f64,
    /// What waits ahead of it.
    pub ahead: f64,
    /// What is free now.
    pub free: f64,
    /// All that the servers have.
    pub capacity: f64,
    /// Mean run time of a task, in which as much becomes free as the servers have.
    pub run: Duration,
}

impl Backlog {
    /// Returns how long it takes until all its first tasks have room.
    pub fn wait(&self) -> Duration {
        let reserve = self.capacity * RESERVE * f64::from(self.priority);
        let missing = self.needed + self.ahead + reserve - self.free;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.capacity.max(1.0) * self.run.as_secs_f64();
        Duration::from_secs_f64(seconds.min(LONGEST_ADVICE.as_secs_f64()))
    }
}

/// Part of the servers that each rank of queues leaves to the ranks before it.
const RESERVE: f64 = 0.03;

/// Shortest advice: whole seconds are the unit of the header that carries it.
const SHORTEST_ADVICE: Duration = Duration::from_secs(1);

/// Longest advice: a backlog of a minute is gone or hopeless by then.
const LONGEST_ADVICE: Duration = Duration::from_mins(1);

/// Part of the time until the latest start that the wait may take. The rest covers what is not
/// seen: work that other entries have just taken, and run times that are longer than declared.
const SAFE_PART: f64 = 0.8;

/// Longest wait that is taken on, whatever the slack. A job with much slack that is let in during an
/// overload later takes the room of jobs that have none.
const LONGEST_WAIT: Duration = Duration::from_millis(20);

/// Decides whether a job that has to start within `slack` is taken.
///
/// # Errors
/// Returns when it is worth coming back if the backlog leaves no time for it.
pub fn admit(backlog: &Backlog, slack: Duration) -> Result<(), Duration> {
    let wait = backlog.wait();
    if wait <= slack.mul_f64(SAFE_PART).min(LONGEST_WAIT) {
        return Ok(());
    }
    Err(wait.clamp(SHORTEST_ADVICE, LONGEST_ADVICE))
}
