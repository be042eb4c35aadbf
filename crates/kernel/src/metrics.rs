//! A registry of metrics in the text form of Prometheus.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder, exponential_buckets,
};

/// First bucket of the histograms in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;

/// Buckets of the histograms, each twice as wide as the one before.
const BUCKET_COUNT: usize = 18;

/// Metrics of one process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a counter.
    ///
    /// # Panics
    /// Panics if the name is malformed or taken, as all metrics of this type do.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help).expect("the name is valid"))
    }

    /// Adds a gauge.
    ///
    /// # Panics
    /// Panics if the name is malformed or taken.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(Gauge::new(name, help).expect("the name is valid"))
    }

    /// Adds a counter for each value of a label.
    ///
    /// # Panics
    /// Panics if the name is malformed or taken.
    pub fn labeled_counter(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let options = Opts::new(name, help);
        self.register(IntCounterVec::new(options, &[label]).expect("the name is valid"))
    }

    /// Adds a histogram of times in seconds, from half a millisecond to a minute.
    ///
    /// # Panics
    /// Panics if the name is malformed or taken.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let buckets =
            exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT).expect("valid buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        self.register(Histogram::with_opts(options).expect("the name is valid"))
    }

    /// Returns all metrics as text.
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
