//! Admission control: accepts a new job or refuses it at once.
//!
//! Designed for bursts above the capacity of all servers. A job that can't end in time only delays
//! other jobs, so the entry refuses the job before any of its tasks run. The refusal tells the
//! caller to retry after the time in which the backlog should clear.

use std::time::Duration;

/// Load and capacity that a new job finds on the servers of its service. CPU is in thousandths of a
/// core, summed over all servers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u8,
    /// CPU that the tasks without dependencies need, which are ready at once.
    pub needed_cpu: f64,
    /// CPU that the tasks queued ahead of the job need.
    pub ahead_cpu: f64,
    /// CPU that is free now.
    pub free_cpu: f64,
    /// Total CPU of the servers.
    pub capacity_cpu: f64,
    /// Mean run time of a task. The whole capacity is assumed to become free once in this time.
    pub mean_run_time: Duration,
}

impl Backlog {
    /// Returns the expected time until all tasks that are ready at once could run.
    pub fn expected_wait(&self) -> Duration {
        let reserve = self.capacity_cpu * RESERVE_PER_PRIORITY * f64::from(self.priority);
        let missing = self.needed_cpu + self.ahead_cpu + reserve - self.free_cpu;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.capacity_cpu.max(1.0) * self.mean_run_time.as_secs_f64();
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}

/// Share of the capacity that a queue leaves free for each priority level above its own.
const RESERVE_PER_PRIORITY: f64 = 0.03;

/// Shortest retry delay. The `Retry-After` header holds whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest retry delay. After a minute a backlog has either cleared or won't clear soon.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Share of the job's slack that the expected wait may use up. The rest covers what this entry
/// can't see: tasks that other entries have just dispatched, and run times longer than declared.
const MAX_SLACK_SHARE: f64 = 0.8;

/// Longest expected wait of an accepted job, however much slack it has. During an overload, a job
/// with much slack would later take the capacity needed by jobs with none.
const MAX_ADMITTED_WAIT: Duration = Duration::from_millis(20);

/// Decides whether a job is accepted that has to start within `slack` to meet its latency
/// objective.
///
/// # Errors
/// Returns how long the caller should wait before it retries if the backlog is too long.
pub fn admit(backlog: &Backlog, slack: Duration) -> Result<(), Duration> {
    let wait = backlog.expected_wait();
    if wait <= slack.mul_f64(MAX_SLACK_SHARE).min(MAX_ADMITTED_WAIT) {
        return Ok(());
    }
    Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
