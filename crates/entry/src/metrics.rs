//! Metrics of an entry, served in the text format of Prometheus.

use ibisspool_core::refusal::{Reason, Retry};
use ibisspool_kernel::metrics as kernel;
use prometheus::{Histogram, IntCounter, IntCounterVec};
use strum::IntoEnumIterator;

/// All metrics of one entry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: kernel::Metrics,
    /// Refused requests and failed jobs, by reason.
    pub refusals: IntCounterVec,
    /// Tasks that were dispatched again, by the reason of the retry.
    pub retries: IntCounterVec,
    /// Tasks that were dispatched to agents.
    pub dispatches: IntCounter,
    /// Messages sent to agents; each can carry several dispatched tasks.
    pub orders: IntCounter,
    /// Messages received from agents.
    pub reports: IntCounter,
    /// Messages of other processes that could not be decoded and were refused or ignored.
    pub malformed_messages: IntCounter,
    /// Calls of the table service, by outcome.
    pub store_calls: IntCounterVec,
    /// Changes made by operators, by outcome.
    pub changes: IntCounterVec,
    /// Time from the arrival of a caller's request to its answer.
    pub response_seconds: Histogram,
    /// Time that a task waited in its agent's queue.
    pub queue_wait_seconds: Histogram,
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
            refusals: registry.labeled_counter(
                "ibisspool_refusals_total",
                "Refusals by reason",
                "reason",
            ),
            retries: registry.labeled_counter(
                "ibisspool_retries_total",
                "Tasks dispatched again, by reason",
                "reason",
            ),
            dispatches: registry.counter("ibisspool_dispatches_total", "Tasks dispatched"),
            orders: registry.counter("ibisspool_orders_total", "Orders sent to agents"),
            reports: registry.counter("ibisspool_reports_total", "Reports received from agents"),
            malformed_messages: registry.counter(
                "ibisspool_malformed_total",
                "Messages that could not be decoded",
            ),
            store_calls: registry.labeled_counter(
                "ibisspool_store_total",
                "Calls of the table service by outcome",
                "outcome",
            ),
            changes: registry.labeled_counter(
                "ibisspool_changes_total",
                "Operators' changes by outcome",
                "outcome",
            ),
            response_seconds: registry.histogram(
                "ibisspool_response_seconds",
                "Time from a request to its answer",
            ),
            queue_wait_seconds: registry
                .histogram("ibisspool_queue_wait_seconds", "Time in an agent's queue"),
            registry: registry.clone(),
        };
        for reason in Reason::iter() {
            metrics
                .refusals
                .with_label_values(&[<&str>::from(reason)])
                .inc_by(0);
        }
        for reason in Retry::iter() {
            metrics
                .retries
                .with_label_values(&[<&str>::from(reason)])
                .inc_by(0);
        }
        metrics
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
