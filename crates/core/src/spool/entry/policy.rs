//! Replaceable parts of an entry's decisions.

use std::time::Duration;

use rand::rngs::SmallRng;
use smallvec::SmallVec;

use super::admission::{Backlog, admit};
use super::estimate::{least_run_time, long_task_limit};
use super::placement::{Candidate, Demand, Score, score};
use super::retry::retry_after;
use super::selection::{Rating, select};
use super::shed::{AdmittedWork, Waiting, select_shed};
use super::startup::{Outlook, Verdict, judge};
use crate::time::Monotonic;

/// Selects the positions of the waiting jobs that may give way to an arrival of a priority.
pub type Shed = fn(&[Waiting], u8, &AdmittedWork, Monotonic) -> SmallVec<[usize; 8]>;

/// The functions by which an entry chooses agents, admits jobs and estimates run times. The default is used in
/// production; load replays compare it with simpler ones.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Scores an agent for a task; `None` rules the agent out.
    pub score: fn(&Candidate, &Demand) -> Option<Score>,
    /// Selects one of the rated agents by its position, given the time until the end of the task is
    /// of no use any more.
    pub select: fn(&[Rating], Duration, &mut SmallRng) -> Option<usize>,
    /// Decides whether to accept a job that has to start within the given slack. The error is the
    /// expected wait.
    pub admit: fn(&Backlog, Duration) -> Result<(), Duration>,
    /// Returns how long a task takes at least on a server of typical speed, if a run of it was lost
    /// after the given time on a server with the given slowdown.
    pub least_run_time: fn(Duration, f32) -> Duration,
    /// Returns the run time, in multiples of the typical one, from which on a task counts as long,
    /// given the mean relative deviation of the run times of its queue.
    pub long_task_limit: fn(f64) -> f64,
    /// Draws the delay after which the caller of a refused job should retry, given the time in which
    /// the work that waits or was refused lately could be done.
    pub retry_after: fn(Duration, &mut SmallRng) -> Duration,
    /// Selects the waiting jobs that may give way to an arrival of the given priority.
    pub shed: Shed,
    /// Decides what happens to a job that can't be admitted by what is known of the servers.
    pub judge_unplaceable: fn(&Outlook) -> Verdict,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            score,
            select,
            admit,
            least_run_time,
            long_task_limit,
            retry_after: retry_after::<SmallRng>,
            shed: select_shed,
            judge_unplaceable: judge,
        }
    }
}
