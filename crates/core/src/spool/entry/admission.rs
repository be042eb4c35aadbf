//! Admission control: accepts a new job or refuses it at once.
//!
//! Designed for bursts above the capacity of all servers. A job that can't end in time only delays
//! other jobs, so the entry refuses the job before any of its tasks run. The refusal tells the
//! caller to retry after the time in which the backlog should clear.

use std::time::Duration;

/// What an entry bases its admission on, for operators. CPU is in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AdmissionLoad {
    /// CPU that the tasks queued at this entry need.
    pub waiting_cpu: f64,
    /// CPU that waits at the other entries that have told it lately.
    pub peer_cpu: f64,
    /// Number of other entries that have not told lately what waits there.
    pub silent_peers: usize,
}

/// Load and capacity that a new job finds on the servers of its service. CPU is in thousandths of a
/// core, summed over all servers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u8,
    /// CPU that the tasks without dependencies need, which are ready at once.
    pub needed_cpu: f64,
    /// CPU that the tasks queued at this entry need.
    pub own_cpu: f64,
    /// CPU that waits at the other entries that have told it lately; only logged.
    pub peer_cpu: f64,
    /// Number of other entries.
    pub peers: usize,
    /// Number of other entries that have not told lately what waits there.
    pub silent_peers: usize,
    /// CPU that the tasks in the agents' queues need.
    pub agent_cpu: f64,
    /// CPU that is free now.
    pub free_cpu: f64,
    /// Total CPU of the servers.
    pub capacity_cpu: f64,
    /// Mean run time of a task over all queues. The whole capacity is assumed to become free once in
    /// this time.
    pub mean_run_time: Duration,
    /// CPU of the jobs that the entries have refused lately.
    pub refused_cpu: f64,
}

impl Backlog {
    /// Returns the CPU that waits ahead of the job at entries and agents. The other entries are
    /// assumed to have queues of the same length as this one: what they told is up to 0.4 s old,
    /// and replays showed no gain from it.
    pub fn ahead_cpu(&self) -> f64 {
        self.own_cpu * (1 + self.peers) as f64 + self.agent_cpu
    }

    /// Returns the expected time until all tasks that are ready at once could run.
    pub fn expected_wait(&self) -> Duration {
        let reserve = self.capacity_cpu * RESERVE_PER_PRIORITY * f64::from(self.priority);
        let missing = self.needed_cpu + self.ahead_cpu() + reserve - self.free_cpu;
        self.time_to_free(missing)
    }

    /// Returns the longest expected wait of a job with this slack that is accepted.
    pub fn admitted_wait(&self, slack: Duration) -> Duration {
        slack.mul_f64(MAX_SLACK_SHARE).min(MAX_ADMITTED_WAIT)
    }

    /// Returns the time in which the servers could do the work that waits and that was refused
    /// lately.
    pub fn clearing_time(&self) -> Duration {
        self.time_to_free(self.ahead_cpu() + self.refused_cpu)
    }

    /// Returns the time in which as much CPU as is missing becomes free, on servers in full use.
    fn time_to_free(&self, missing_cpu: f64) -> Duration {
        let turnovers = missing_cpu.max(0.0) / self.capacity_cpu.max(1.0);
        let seconds = turnovers * self.mean_run_time.as_secs_f64();
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }
}

/// Share of the capacity that a queue leaves free for each priority level above its own.
const RESERVE_PER_PRIORITY: f64 = 0.03;

/// Longest expected wait that is computed. After a minute a backlog has either cleared or won't
/// clear soon.
const MAX_WAIT: Duration = Duration::from_mins(1);

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
/// Returns the expected wait if it is too long.
pub fn admit(backlog: &Backlog, slack: Duration) -> Result<(), Duration> {
    let wait = backlog.expected_wait();
    if wait <= backlog.admitted_wait(slack) {
        Ok(())
    } else {
        Err(wait)
    }
}
