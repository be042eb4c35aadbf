//! Counters and run times of an agent for jobs that are not recorded durably.

use ibisspool_core::spool::agent::progress::Verdict;
use ibisspool_core::spool::agent::{Doubt, Evidence};
use ibisspool_core::spool::message::{End, Outcome};
use ibisspool_kernel::metrics::Metrics;
use prometheus::{Histogram, IntCounter, IntCounterVec};

/// Metrics of an agent.
#[derive(Debug)]
pub struct AgentMetrics {
    /// Registry that holds all metrics.
    pub registry: Metrics,
    ends: IntCounterVec,
    evidence: IntCounterVec,
    stops: IntCounterVec,
    doubts: IntCounterVec,
    run_time: Histogram,
    /// Calls to the backend server that got no answer.
    pub unanswered_calls: IntCounter,
}

impl AgentMetrics {
    /// Registers all metrics at zero.
    pub fn new() -> Self {
        let registry = Metrics::new();
        Self {
            ends: registry.labeled_counter("ibisspool_task_ends_total", "Ends of tasks", "end"),
            evidence: registry.labeled_counter(
                "ibisspool_run_evidence_total",
                "Ends of runs by what showed them",
                "evidence",
            ),
            stops: registry.labeled_counter(
                "ibisspool_stopped_runs_total",
                "Runs stopped so that they run elsewhere, by the verdict on their progress",
                "verdict",
            ),
            doubts: registry.labeled_counter(
                "ibisspool_ignored_announcements_total",
                "Announcements of the backend server that were not believed, by the doubt",
                "doubt",
            ),
            run_time: registry.histogram(
                "ibisspool_task_seconds",
                "Run time of tasks that ended well",
            ),
            unanswered_calls: registry
                .counter("ibisspool_silent_calls_total", "Calls without an answer"),
            registry,
        }
    }

    /// Counts how a task ended; of a successful one, also records the run time.
    pub fn record_outcome(&self, outcome: &Outcome) {
        let label = match outcome.end {
            End::Done => {
                self.run_time.observe(outcome.ran.as_secs_f64());
                "done"
            }
            End::Failed => "failed",
            End::Lost => "lost",
            End::NotStarted(reason) => reason.into(),
        };
        self.ends.with_label_values(&[label]).inc();
    }

    /// Counts a run that was stopped because of its progress.
    pub fn record_stop(&self, verdict: Verdict) {
        let label: &str = verdict.into();
        self.stops.with_label_values(&[label]).inc();
    }

    /// Counts an announcement that was not believed.
    pub fn record_doubt(&self, doubt: Doubt) {
        let label: &str = doubt.into();
        self.doubts.with_label_values(&[label]).inc();
    }

    /// Counts the end of a run by what showed it.
    pub fn record_evidence(&self, evidence: Evidence) {
        let label: &str = evidence.into();
        self.evidence.with_label_values(&[label]).inc();
    }
}
