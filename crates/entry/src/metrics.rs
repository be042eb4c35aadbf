//! Counters and histograms of an entry, in the text form of Prometheus.

use ibisspool_core::refusal::{Reason, Retry};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
    exponential_buckets,
};
use strum::IntoEnumIterator;

/// First bucket of the histograms in seconds.
const FIRST_BUCKET: f64 = 0.000_5;

/// Buckets of the histograms, each twice as wide as the one before.
const BUCKETS: usize = 18;

/// All metrics of one entry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Tasks dispatched again, by reason.
    pub retries: IntCounterVec,
    /// Tasks dispatched.
    pub dispatches: IntCounter,
    /// Orders sent to agents.
    pub orders: IntCounter,
    /// Reports received from agents.
    pub reports: IntCounter,
    /// Messages of other processes that could not be decoded.
    pub malformed: IntCounter,
    /// Reads and writes of the table service, by outcome.
    pub store: IntCounterVec,
    /// Operators' changes by outcome.
    pub changes: IntCounterVec,
    /// Time from a request to its answer, in seconds.
    pub response: Histogram,
    /// Time of a task in its agent's queue, in seconds.
    pub queue_wait: Histogram,
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
        let family = |name: &str, help: &str, label: &str| {
            let family =
                IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
            registry
                .register(Box::new(family.clone()))
                .expect("the name is unique");
            family
        };
        let histogram = |name: &str, help: &str| {
            let buckets = exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS).expect("valid buckets");
            let options = HistogramOpts::new(name, help).buckets(buckets);
            let histogram = Histogram::with_opts(options).expect("the name is valid");
            registry
                .register(Box::new(histogram.clone()))
                .expect("the name is unique");
            histogram
        };
        let metrics = Self {
            refusals: family("ibisspool_refusals_total", "Refusals by reason", "reason"),
            retries: family(
                "ibisspool_retries_total",
                "Tasks dispatched again, by reason",
                "reason",
            ),
            dispatches: counter("ibisspool_dispatches_total", "Tasks dispatched"),
            orders: counter("ibisspool_orders_total", "Orders sent to agents"),
            reports: counter("ibisspool_reports_total", "Reports received from agents"),
            malformed: counter(
                "ibisspool_malformed_total",
                "Messages that could not be decoded",
            ),
            store: family(
                "ibisspool_store_total",
                "Calls of the table service by outcome",
                "outcome",
            ),
            changes: family(
                "ibisspool_changes_total",
                "Operators' changes by outcome",
                "outcome",
            ),
            response: histogram(
                "ibisspool_response_seconds",
                "Time from a request to its answer",
            ),
            queue_wait: histogram("ibisspool_queue_wait_seconds", "Time in an agent's queue"),
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
