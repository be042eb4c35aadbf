//! Settings of the decisions, with their defaults.

use std::time::Duration;

/// Durations that entries and agents must share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a lease lasts from the moment its question was sent.
    pub lease: Duration,
    /// Added to waits for a lease to lapse, for clocks of unlike rate.
    pub lease_margin: Duration,
    /// How long a lease may rest on heartbeats alone after the last read of the control row.
    pub store_grace: Duration,
    /// Time between heartbeats among entries.
    pub heartbeat: Duration,
    /// Silence after which an entry is proposed for removal.
    pub silence: Duration,
    /// How long ids, starts and tombstones are remembered.
    pub window: Duration,
    /// How far an id's creation time may lie ahead.
    pub skew: Duration,
    /// How far the wall clocks of two entries with a lease may differ.
    pub clock_skew: Duration,
    /// Time between an agent's reports to an entry that uses it.
    pub report: Duration,
    /// Time between an agent's reports to an entry that does not use it.
    pub idle_report: Duration,
    /// How long an entry waits for a lost agent before its tasks count as unknown.
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

/// Bounds on every table of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Jobs remembered, running and ended.
    pub jobs: usize,
    /// Bytes of results held for ended jobs.
    pub result_bytes: usize,
    /// Callers that wait for an answer.
    pub waiters: usize,
    /// Callers that wait for the answer of one job.
    pub waiters_per_job: usize,
    /// Tasks that wait for a backend server.
    pub queued_tasks: usize,
    /// Tasks in one job.
    pub tasks_per_job: usize,
    /// Bytes of one task's input.
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
