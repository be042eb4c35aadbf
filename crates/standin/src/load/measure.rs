//! Figures of one run and their table.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt::Write;

use anyhow::Result;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Slowdowns are kept as whole thousandths.
const SLOWDOWN_UNIT: f64 = 1_000.0;

/// Quantiles of one measure.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90 in 100 are at or under it.
    pub p90: f64,
    /// 99 in 100 are at or under it.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

/// Figures of one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Jobs that arrived.
    pub jobs: u64,
    /// Jobs with a whole answer.
    pub complete: u64,
    /// Response time of complete jobs in milliseconds.
    pub response_ms: Quantiles,
    /// Response time of complete jobs over the ideal.
    pub slowdown: Quantiles,
    /// Time to a refusal other than a timeout in milliseconds.
    pub refusal_ms: Quantiles,
    /// Refused jobs by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Dispatches of single tasks.
    pub dispatches: u64,
    /// Frames between entries and agents, with or without tasks, for each task that ended.
    pub frames_per_task: f64,
    /// Dispatches, outcomes and recalls, for each task that ended.
    pub messages_per_task: f64,
    /// Messages that did no work, by kind.
    pub wasted: BTreeMap<String, u64>,
    /// Share of wasted messages.
    pub wasted_share: f64,
    /// Work of complete jobs within the arrivals, as a share of capacity.
    pub goodput: f64,
    /// Time the backend servers were busy within the arrivals, as a share of slots.
    pub busy: f64,
    /// Seconds from the start of the burst until its last job ended.
    pub burst_over_s: Option<f64>,
    /// Seconds that the whole fleet needs for the work that arrived in the burst.
    pub burst_work_s: Option<f64>,
    /// Median and 99th percentile of the response time in milliseconds by second of arrival.
    pub timeline: Vec<(f64, f64, f64)>,
}

/// Collects samples.
#[derive(Debug)]
pub struct Samples {
    /// Response times in microseconds.
    pub response: Histogram<u64>,
    /// Slowdowns in thousandths.
    pub slowdown: Histogram<u64>,
    /// Times to a refusal in microseconds.
    pub refusal: Histogram<u64>,
    seconds: BTreeMap<u64, Histogram<u64>>,
}

impl Samples {
    /// Makes an empty collection.
    ///
    /// # Errors
    /// Fails if a histogram cannot be made.
    pub fn new() -> Result<Self> {
        Ok(Self {
            response: Histogram::new(3)?,
            slowdown: Histogram::new(3)?,
            refusal: Histogram::new(3)?,
            seconds: BTreeMap::new(),
        })
    }

    /// Adds a complete job.
    ///
    /// # Errors
    /// Fails if a value is out of range.
    pub fn complete(&mut self, arrived_us: u64, response_us: u64, ideal_us: f64) -> Result<()> {
        self.response.record(response_us)?;
        self.slowdown
            .record((response_us as f64 / ideal_us * SLOWDOWN_UNIT) as u64)?;
        let second = arrived_us / 1_000_000;
        match self.seconds.entry(second) {
            Entry::Occupied(mut known) => known.get_mut().record(response_us)?,
            Entry::Vacant(free) => free.insert(Histogram::new(3)?).record(response_us)?,
        }
        Ok(())
    }

    /// Writes the quantiles into the figures.
    pub fn fill(&self, figures: &mut Figures) {
        figures.response_ms = quantiles(&self.response, 1_000.0);
        figures.slowdown = quantiles(&self.slowdown, SLOWDOWN_UNIT);
        figures.refusal_ms = quantiles(&self.refusal, 1_000.0);
        figures.timeline = self
            .seconds
            .iter()
            .map(|(second, histogram)| {
                let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
                (*second as f64, at(0.5), at(0.99))
            })
            .collect();
    }
}

fn quantiles(histogram: &Histogram<u64>, unit: f64) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / unit;
    Quantiles {
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        max: histogram.max() as f64 / unit,
    }
}

/// Returns the figures of all policies as a text table.
pub fn table(all: &[Figures]) -> String {
    let mut text = format!(
        "{:<14} {:>6} {:>6} | {:>7} {:>7} {:>8} {:>8} | {:>6} {:>6} {:>7} {:>8} | {:>6} {:>6} {:>6} | {:>5} {:>5}\n",
        "policy",
        "jobs",
        "whole",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms",
        "sd50",
        "sd90",
        "sd99",
        "sdmax",
        "frames",
        "msgs",
        "waste",
        "good",
        "busy"
    );
    for f in all {
        let (r, s) = (f.response_ms, f.slowdown);
        let line = format!(
            "{:<14} {:>6} {:>6} | {:>7.0} {:>7.0} {:>8.0} {:>8.0} | {:>6.2} {:>6.2} {:>7.2} {:>8.2} | {:>6.3} {:>6.3} {:>5.2}% | {:>5.3} {:>5.3}",
            f.policy,
            f.jobs,
            f.complete,
            r.p50,
            r.p90,
            r.p99,
            r.max,
            s.p50,
            s.p90,
            s.p99,
            s.max,
            f.frames_per_task,
            f.messages_per_task,
            f.wasted_share * 100.0,
            f.goodput,
            f.busy
        );
        let _infallible = writeln!(text, "{line}");
        if !f.refusals.is_empty() {
            let _infallible = writeln!(
                text,
                "  refused {:?}; time to refusal p99 {:.1} ms, max {:.1} ms",
                f.refusals, f.refusal_ms.p99, f.refusal_ms.max
            );
        }
        if !f.wasted.is_empty() {
            let _infallible = writeln!(text, "  wasted {:?}", f.wasted);
        }
        if let (Some(over), Some(work)) = (f.burst_over_s, f.burst_work_s) {
            let _infallible = writeln!(
                text,
                "  burst over after {over:.2} s; its work takes {work:.2} s"
            );
        }
    }
    text
}
