//! Settings of the decision code, with their defaults.

use std::time::Duration;

/// Durations that must be equal in all entries and agents of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a lease, counted from when the confirming request was sent.
    pub lease: Duration,
    /// Added to each wait for a lease of another process to lapse, to allow for clocks that run at
    /// different rates.
    pub lease_margin: Duration,
    /// Longest time since the last read of the control row for which heartbeats alone can renew a
    /// lease, so that an outage of the table service does not stop the entries at once.
    pub store_grace: Duration,
    /// Interval between heartbeats among entries.
    pub heartbeat: Duration,
    /// Time without heartbeat answers after which the other entries propose to remove an entry from
    /// the members.
    pub silence: Duration,
    /// Retention window: how long job ids, starts and tombstones are remembered. Older ids are
    /// refused, since duplicates of them could not be detected.
    pub window: Duration,
    /// How far the creation time of a job id may lie in the future.
    pub skew: Duration,
    /// Largest difference between the wall clocks of two entries that hold a lease.
    pub clock_skew: Duration,
    /// Interval between the reports of an agent to an entry that uses it.
    pub report: Duration,
    /// Interval between the reports of an agent to an entry that does not use it.
    pub idle_report: Duration,
    /// How long an entry waits for a lost agent to reconnect before the outcomes of its tasks count
    /// as unknown.
    pub agent_silence: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            lease_margin: Duration::from_millis(10),
            store_grace: Duration::from_mins(10),
            heartbeat: Duration::from_millis(200),
            silence: Duration::from_secs(1),
            window: Duration::from_mins(10),
            skew: Duration::from_secs(1),
            clock_skew: Duration::from_millis(250),
            report: Duration::from_millis(250),
            idle_report: Duration::from_secs(5),
            agent_silence: Duration::from_secs(5),
        }
    }
}

/// Bounds on the tables of an entry; requests beyond a bound are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of jobs in the table, both unfinished and ended.
    pub jobs: usize,
    /// Maximum total bytes of stored outputs of ended jobs.
    pub result_bytes: usize,
    /// Maximum number of callers that wait for an answer.
    pub waiters: usize,
    /// Maximum number of callers that wait for the answer of the same job.
    pub waiters_per_job: usize,
    /// Maximum number of tasks that wait for a backend server.
    pub queued_tasks: usize,
    /// Maximum number of tasks in a job.
    pub tasks_per_job: usize,
    /// Maximum bytes of the input of a task.
    pub input_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            jobs: 1_000_000,
            result_bytes: 256 << 20,
            waiters: 20_000,
            waiters_per_job: 1_000,
            queued_tasks: 200_000,
            tasks_per_job: 420,
            input_bytes: 64 << 10,
        }
    }
}
