//! Scores the agents that could run a task.
//!
//! Designed for servers of different speed at two thirds of their capacity and above, chosen by
//! several entries at once. The cost of an agent is the expected time until the end of the task.
//! [`super::selection`] chooses among the agents by their costs and free capacities.

use std::time::Duration;

use super::super::job::Resources;

/// Longest accepted wait in an agent's own queue. Such a wait hides the latency of the next message
/// from the entry.
const MAX_EXPECTED_WAIT: Duration = Duration::from_millis(25);

/// Factor on the cost of an expected wait, because other entries may send their tasks to the same
/// queue.
const WAIT_COST_FACTOR: f64 = 12.0;

/// Penalty for a server on which the same task has failed before.
const FAILED_BEFORE_COST_SECONDS: f64 = 1.0;

/// An agent that could run a task, with its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Total resources of the server.
    pub capacity: Resources,
    /// Free resources of the server by the last report, less those of tasks dispatched since then.
    pub free: Resources,
    /// CPU that the tasks in the agent's queue need, in thousandths of a core.
    pub queued_cpu: f64,
    /// Mean run time of a task on this server.
    pub mean_run_time: Duration,
    /// Actual run time on this server divided by the estimate; 1 for a server of typical speed.
    pub slowdown: f64,
    /// Whether the task has failed on this agent before.
    pub failed_before: bool,
    /// Factor on the run time there: above 1 if the task's input data is in another rack.
    pub data_factor: f64,
}

/// A task to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Resources that the task needs.
    pub needs: Resources,
    /// Expected run time on a server of typical speed.
    pub run_time: Duration,
    /// Time from now until the end of the task is of no use any more.
    pub time_left: Duration,
}

/// Score of a candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// Expected time until the end of the task plus penalties.
    pub cost_seconds: f64,
    /// Expected wait until the server has enough free resources.
    pub expected_wait: Duration,
}

/// Returns how long a task may wait in an agent's queue if the entry expects a wait of
/// `expected_wait` there. A task that finds a full server which the entry took for free comes back
/// at once, and with it comes the server's true load.
pub fn queueing_timeout(expected_wait: Duration) -> Duration {
    expected_wait * 2
}

/// Returns the score of a candidate, `None` if the server is too small, the wait there is too long,
/// or the task could not end there in time.
pub fn score(candidate: &Candidate, demand: &Demand) -> Option<Score> {
    if !candidate.capacity.can_hold(&demand.needs) {
        return None;
    }
    let needed_cpu = f64::from(demand.needs.cpu_millicores.max(1));
    let wait_seconds = if candidate.free.can_hold(&demand.needs) {
        0.0
    } else {
        (candidate.queued_cpu + needed_cpu) / f64::from(candidate.capacity.cpu_millicores.max(1))
            * candidate.mean_run_time.as_secs_f64()
    };
    if wait_seconds > MAX_EXPECTED_WAIT.as_secs_f64() {
        return None;
    }
    let run_seconds = demand.run_time.as_secs_f64() * candidate.slowdown * candidate.data_factor;
    if wait_seconds + run_seconds > demand.time_left.as_secs_f64() {
        return None;
    }
    let failure_cost = if candidate.failed_before {
        FAILED_BEFORE_COST_SECONDS
    } else {
        0.0
    };
    Some(Score {
        cost_seconds: wait_seconds * WAIT_COST_FACTOR + run_seconds + failure_cost,
        expected_wait: Duration::from_secs_f64(wait_seconds),
    })
}
