//! Counters of an agent, in the text form of Prometheus.

use ibisspool_core::frame::{End, NotStarted};
use prometheus::{Encoder, Gauge, IntCounter, IntCounterVec, Opts, Registry, TextEncoder};
use strum::IntoEnumIterator;

/// All metrics of one agent.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Tasks started.
    pub starts: IntCounter,
    /// Ends of tasks: done, failed, unknown.
    pub ends: IntCounterVec,
    /// Dispatches that were not started, by reason.
    pub not_started: IntCounterVec,
    /// Orders for another incarnation.
    pub foreign: IntCounter,
    /// Messages of entries that could not be decoded.
    pub malformed: IntCounter,
    /// Answers of the backend server that belong to another task.
    pub crossed: IntCounter,
    /// Tasks in the ledger.
    pub records: Gauge,
    /// Bytes of outputs in the ledger.
    pub output_bytes: Gauge,
}

impl Metrics {
    /// Makes metrics with every reason at zero.
    ///
    /// # Panics
    /// Panics if two metrics share a name, which is a mistake in this file.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("the name is unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = Gauge::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name is unique");
            gauge
        };
        let family = |name: &str, help: &str, label: &str| {
            let family =
                IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
            registry
                .register(Box::new(family.clone()))
                .expect("the name is unique");
            family
        };
        let metrics = Self {
            starts: counter("ibisspool_agent_starts_total", "Tasks started"),
            ends: family("ibisspool_agent_ends_total", "Ends of tasks", "end"),
            not_started: family(
                "ibisspool_agent_not_started_total",
                "Dispatches not started",
                "reason",
            ),
            foreign: counter(
                "ibisspool_agent_foreign_total",
                "Orders for another incarnation",
            ),
            malformed: counter(
                "ibisspool_agent_malformed_total",
                "Messages that could not be decoded",
            ),
            crossed: counter(
                "ibisspool_agent_crossed_total",
                "Answers that belong to another task",
            ),
            records: gauge("ibisspool_agent_records", "Tasks in the ledger"),
            output_bytes: gauge(
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

    /// Counts the end of a dispatch.
    pub fn count(&self, end: &End) {
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
        self.ends.with_label_values(&[label]).inc();
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        debug_assert!(encoded.is_ok(), "metrics of this program can be encoded");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
