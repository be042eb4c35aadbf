//! Metrics of an agent, served in the text format of Prometheus.

use ibisspool_core::frame::{End, NotStarted};
use ibisspool_kernel::metrics as kernel;
use prometheus::{Gauge, IntCounter, IntCounterVec};
use strum::IntoEnumIterator;

/// All metrics of one agent.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: kernel::Metrics,
    /// Tasks that were sent to the backend server.
    pub tasks_started: IntCounter,
    /// Ended tasks by end: done, failed, or unknown if no whole answer arrived.
    pub task_ends: IntCounterVec,
    /// Tasks that an entry sent and that were not started, by reason.
    pub not_started: IntCounterVec,
    /// Orders that were meant for another incarnation (process) of this agent and were ignored.
    pub foreign_orders: IntCounter,
    /// Messages of entries that could not be decoded and were ignored.
    pub malformed_messages: IntCounter,
    /// Answers of the backend server that named another task than the one that was sent.
    pub wrong_task_answers: IntCounter,
    /// Tasks in the ledger of started tasks.
    pub ledger_records: Gauge,
    /// Total size of the outputs in the ledger.
    pub ledger_output_bytes: Gauge,
}

impl Metrics {
    /// Returns the registry, in which further parts of the process register their metrics.
    pub fn registry(&self) -> &kernel::Metrics {
        &self.registry
    }

    /// Registers all metrics; every reason starts at zero, so that a scraper sees it before its
    /// first event.
    ///
    /// # Panics
    /// Panics if two metrics in this file have the same name.
    pub fn new() -> Self {
        let registry = kernel::Metrics::new();
        let metrics = Self {
            tasks_started: registry.counter("ibisspool_agent_starts_total", "Tasks started"),
            task_ends: registry.labeled_counter(
                "ibisspool_agent_ends_total",
                "Ends of tasks",
                "end",
            ),
            not_started: registry.labeled_counter(
                "ibisspool_agent_not_started_total",
                "Dispatches not started",
                "reason",
            ),
            foreign_orders: registry.counter(
                "ibisspool_agent_foreign_total",
                "Orders for another incarnation",
            ),
            malformed_messages: registry.counter(
                "ibisspool_agent_malformed_total",
                "Messages that could not be decoded",
            ),
            wrong_task_answers: registry.counter(
                "ibisspool_agent_crossed_total",
                "Answers that belong to another task",
            ),
            ledger_records: registry.gauge("ibisspool_agent_records", "Tasks in the ledger"),
            ledger_output_bytes: registry.gauge(
                "ibisspool_agent_output_bytes",
                "Bytes of outputs in the ledger",
            ),
            registry: registry.clone(),
        };
        for reason in NotStarted::iter() {
            metrics
                .not_started
                .with_label_values(&[reason.to_string()])
                .inc_by(0);
        }
        metrics
    }

    /// Counts how a task that an entry sent has ended.
    pub fn count_end(&self, end: &End) {
        let label = match end {
            End::Done(_) => "done",
            End::Failed(_) => "failed",
            End::Unknown(_) => "unknown",
            End::NotStarted(reason) => {
                return self
                    .not_started
                    .with_label_values(&[reason.to_string()])
                    .inc();
            }
        };
        self.task_ends.with_label_values(&[label]).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> Vec<u8> {
        self.registry.encode_text()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
