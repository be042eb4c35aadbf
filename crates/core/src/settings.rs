//! Settings of the decision code, with their defaults.

use std::time::Duration;

/// Durations that must be equal in all entries and agents of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a lease, counted from when the confirming request was sent.
    pub lease_duration: Duration,
    /// Added to each wait for a lease of another process to lapse, to allow for clocks that run at
    /// different rates.
    pub lease_margin: Duration,
    /// Longest time since the last read of the control row for which heartbeats alone can renew a
    /// lease, so that an outage of the table service does not stop the entries at once.
    pub max_time_without_row_read: Duration,
    /// Interval between heartbeats among entries.
    pub heartbeat_interval: Duration,
    /// Time without heartbeat answers after which the other entries propose to remove an entry from
    /// the members.
    pub member_silence_timeout: Duration,
    /// Retention window: how long job ids, starts and tombstones are remembered. Older ids are
    /// refused, since duplicates of them could not be detected.
    pub retention_window: Duration,
    /// How far the creation time of a job id may lie in the future.
    pub max_id_time_ahead: Duration,
    /// Largest difference between the wall clocks of two entries that hold a lease.
    pub max_clock_difference: Duration,
    /// Interval between the reports of an agent to an entry that uses it.
    pub report_interval: Duration,
    /// Interval between the reports of an agent to an entry that does not use it.
    pub idle_report_interval: Duration,
    /// How long an entry waits for a lost agent to reconnect before the outcomes of its tasks count
    /// as unknown.
    pub agent_loss_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(1),
            lease_margin: Duration::from_millis(10),
            max_time_without_row_read: Duration::from_mins(10),
            heartbeat_interval: Duration::from_millis(200),
            member_silence_timeout: Duration::from_secs(1),
            retention_window: Duration::from_mins(10),
            max_id_time_ahead: Duration::from_secs(1),
            max_clock_difference: Duration::from_millis(250),
            report_interval: Duration::from_millis(250),
            idle_report_interval: Duration::from_secs(5),
            agent_loss_timeout: Duration::from_secs(5),
        }
    }
}

/// Bounds on the tables of an entry; requests beyond a bound are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of jobs in the table, both unfinished and ended.
    pub max_jobs: usize,
    /// Maximum total bytes of stored outputs of ended jobs.
    pub max_result_bytes: usize,
    /// Maximum number of callers that wait for an answer.
    pub max_waiters: usize,
    /// Maximum number of callers that wait for the answer of the same job.
    pub max_waiters_per_job: usize,
    /// Maximum number of tasks that wait for a backend server.
    pub max_queued_tasks: usize,
    /// Maximum number of tasks in a job.
    pub max_tasks_per_job: usize,
    /// Maximum bytes of the input of a task.
    pub max_input_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_jobs: 1_000_000,
            max_result_bytes: 256 << 20,
            max_waiters: 20_000,
            max_waiters_per_job: 1_000,
            max_queued_tasks: 200_000,
            max_tasks_per_job: 420,
            max_input_bytes: 64 << 10,
        }
    }
}
