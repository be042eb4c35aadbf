//! Counters and latencies of an entry for jobs that are not recorded durably.

use ibisspool_core::spool::entry::Answer;
use ibisspool_kernel::metrics::Metrics;
use prometheus::{Histogram, IntCounter, IntCounterVec};

/// Metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Registry that holds all metrics.
    pub registry: Metrics,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    latency: Histogram,
    retries: IntCounterVec,
    /// Callers that disconnected before their answer.
    pub callers_left: IntCounter,
}

impl EntryMetrics {
    /// Registers all metrics at zero.
    pub fn new() -> Self {
        let registry = Metrics::new();
        Self {
            answers: registry.labeled_counter(
                "ibisspool_answers_total",
                "Answers to jobs",
                "answer",
            ),
            refusals: registry.labeled_counter(
                "ibisspool_refusals_total",
                "Jobs turned away",
                "reason",
            ),
            latency: registry.histogram("ibisspool_job_seconds", "Time to the answer of a job"),
            retries: registry.labeled_counter(
                "ibisspool_retries_total",
                "Tasks sent again",
                "reason",
            ),
            callers_left: registry.counter(
                "ibisspool_left_total",
                "Callers that left before the answer",
            ),
            registry,
        }
    }

    /// Counts a task that is sent to an agent again, by the reason.
    pub fn count_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts an answer, and a refusal by its reason, and records the time from the request to it.
    pub fn record_answer(&self, answer: Answer, seconds: f64) {
        let label = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::Expired => "expired",
            Answer::Refused { reason, .. } => {
                let reason: &str = reason.into();
                self.refusals.with_label_values(&[reason]).inc();
                "refused"
            }
        };
        self.answers.with_label_values(&[label]).inc();
        self.latency.observe(seconds);
    }
}
