//! Registry of metrics, served in the text format of Prometheus.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder, exponential_buckets,
};

/// Upper bound of the first bucket of each histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;

/// Number of buckets of each histogram. Each upper bound is twice the one before.
const BUCKET_COUNT: usize = 18;

/// Registry of the metrics of one process. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter at zero.
    ///
    /// # Panics
    /// Panics if the name is malformed or already registered.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help).expect("the name is valid"))
    }

    /// Registers a gauge at zero.
    ///
    /// # Panics
    /// Panics if the name is malformed or already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(Gauge::new(name, help).expect("the name is valid"))
    }

    /// Registers a counter with one label. A label value appears in the output once it was used.
    ///
    /// # Panics
    /// Panics if the name or label is malformed or the name is already registered.
    pub fn labeled_counter(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let options = Opts::new(name, help);
        self.register(IntCounterVec::new(options, &[label]).expect("the name is valid"))
    }

    /// Registers a gauge with labels. It has a value for each combination of label values that was
    /// set.
    ///
    /// # Panics
    /// Panics if the name or a label is malformed or the name is already registered.
    pub fn labeled_gauge(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        self.register(GaugeVec::new(Opts::new(name, help), labels).expect("the name is valid"))
    }

    /// Registers a histogram of times in seconds, with bounds from half a millisecond to a minute.
    ///
    /// # Panics
    /// Panics if the name is malformed or already registered.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let buckets =
            exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT).expect("valid buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        self.register(Histogram::with_opts(options).expect("the name is valid"))
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        debug_assert!(encoded.is_ok(), "metrics of this program can be encoded");
        text
    }

    fn register<C>(&self, metric: C) -> C
    where
        C: Collector + Clone + 'static,
    {
        let registered = self.registry.register(Box::new(metric.clone()));
        registered.expect("the name is unique");
        metric
    }
}
