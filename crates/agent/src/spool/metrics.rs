//! Counters and latencies of an agent.

use ibisspool_core::spool::message::{End, Outcome};
use ibisspool_kernel::metrics::Metrics;
use prometheus::{Histogram, IntCounter, IntCounterVec};

/// The metrics of an agent.
#[derive(Debug)]
pub struct Meter {
    /// All of them.
    pub all: Metrics,
    ends: IntCounterVec,
    ran: Histogram,
    /// Calls that the backend server did not answer.
    pub silent: IntCounter,
}

impl Meter {
    /// Makes metrics at zero.
    pub fn new() -> Self {
        let all = Metrics::new();
        Self {
            ends: all.labeled_counter("ibisspool_task_ends_total", "Ends of tasks", "end"),
            ran: all.histogram(
                "ibisspool_task_seconds",
                "Run time of tasks that ended well",
            ),
            silent: all.counter("ibisspool_silent_calls_total", "Calls without an answer"),
            all,
        }
    }

    /// Counts the end of a task.
    pub fn outcome(&self, outcome: &Outcome) {
        let label = match outcome.end {
            End::Done => {
                self.ran.observe(outcome.ran.as_secs_f64());
                "done"
            }
            End::Failed => "failed",
            End::Lost => "lost",
            End::NotStarted(reason) => reason.into(),
        };
        self.ends.with_label_values(&[label]).inc();
    }
}
