//! Collection of the figures of a run, and their text table.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt::Write;

use anyhow::Result;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Histograms hold whole numbers, so a slowdown is recorded in thousandths.
const SLOWDOWN_SCALE: f64 = 1_000.0;

/// Quantiles of a distribution.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// Figures of one run under one placement policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Name of the policy.
    pub policy: String,
    /// Jobs that arrived.
    pub jobs: u64,
    /// Jobs that were answered with the results of all tasks.
    pub complete: u64,
    /// Response time of complete jobs in milliseconds.
    pub response_ms: Quantiles,
    /// Response time of complete jobs divided by [`super::Workload::ideal_us`].
    pub slowdown: Quantiles,
    /// Time until a refusal for another reason than a timeout, in milliseconds.
    pub refusal_ms: Quantiles,
    /// Refused jobs by reason, and jobs without an answer when the run was cut off.
    pub refusals: BTreeMap<String, u64>,
    /// Dispatches of single tasks.
    pub dispatches: u64,
    /// Frames between entries and agents per ended task, including frames without tasks.
    pub frames_per_task: f64,
    /// Dispatches, outcomes and recalls per ended task.
    pub messages_per_task: f64,
    /// Dispatches that led to a retry and their replies, by reason of the retry.
    pub wasted: BTreeMap<String, u64>,
    /// Wasted messages as a share of all messages.
    pub wasted_share: f64,
    /// Work of the jobs completed within the period of arrivals, as a share of the capacity.
    pub goodput: f64,
    /// Share of slot time within the period of arrivals in which a task ran.
    pub busy: f64,
    /// Seconds from the start of the burst until the last job that arrived in it was answered.
    pub burst_over_s: Option<f64>,
    /// Seconds that all backend servers together need for the work that arrived in the burst.
    pub burst_work_s: Option<f64>,
    /// Second of arrival, with the median and the 99th percentile of the response time in
    /// milliseconds.
    pub timeline: Vec<(f64, f64, f64)>,
}

/// Histograms of one run, which become the quantiles of [`Figures`].
#[derive(Debug)]
pub struct Samples {
    /// Response times of complete jobs in microseconds.
    pub response_us: Histogram<u64>,
    /// Slowdowns of complete jobs in thousandths.
    pub slowdown_thousandths: Histogram<u64>,
    /// Times until a refusal in microseconds.
    pub refusal_us: Histogram<u64>,
    response_us_by_second: BTreeMap<u64, Histogram<u64>>,
}

impl Samples {
    /// Returns empty histograms.
    ///
    /// # Errors
    /// Fails if a histogram cannot be made.
    pub fn new() -> Result<Self> {
        Ok(Self {
            response_us: Histogram::new(3)?,
            slowdown_thousandths: Histogram::new(3)?,
            refusal_us: Histogram::new(3)?,
            response_us_by_second: BTreeMap::new(),
        })
    }

    /// Records a complete job.
    ///
    /// # Errors
    /// Fails if a value is out of the range of its histogram.
    pub fn record_complete(
        &mut self,
        arrived_us: u64,
        response_us: u64,
        ideal_us: f64,
    ) -> Result<()> {
        self.response_us.record(response_us)?;
        self.slowdown_thousandths
            .record((response_us as f64 / ideal_us * SLOWDOWN_SCALE) as u64)?;
        let second = arrived_us / 1_000_000;
        match self.response_us_by_second.entry(second) {
            Entry::Occupied(mut occupied) => occupied.get_mut().record(response_us)?,
            Entry::Vacant(vacant) => vacant.insert(Histogram::new(3)?).record(response_us)?,
        }
        Ok(())
    }

    /// Writes the quantiles into `figures`.
    pub fn write_to(&self, figures: &mut Figures) {
        figures.response_ms = quantiles(&self.response_us, 1_000.0);
        figures.slowdown = quantiles(&self.slowdown_thousandths, SLOWDOWN_SCALE);
        figures.refusal_ms = quantiles(&self.refusal_us, 1_000.0);
        figures.timeline = self
            .response_us_by_second
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

/// Returns the figures of all policies as a text table, with further lines for refusals, wasted
/// messages and bursts.
pub fn table(figures_by_policy: &[Figures]) -> String {
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
    for figures in figures_by_policy {
        let (response, slowdown) = (figures.response_ms, figures.slowdown);
        let line = format!(
            "{:<14} {:>6} {:>6} | {:>7.0} {:>7.0} {:>8.0} {:>8.0} | {:>6.2} {:>6.2} {:>7.2} {:>8.2} | {:>6.3} {:>6.3} {:>5.2}% | {:>5.3} {:>5.3}",
            figures.policy,
            figures.jobs,
            figures.complete,
            response.p50,
            response.p90,
            response.p99,
            response.max,
            slowdown.p50,
            slowdown.p90,
            slowdown.p99,
            slowdown.max,
            figures.frames_per_task,
            figures.messages_per_task,
            figures.wasted_share * 100.0,
            figures.goodput,
            figures.busy
        );
        let _infallible = writeln!(text, "{line}");
        if !figures.refusals.is_empty() {
            let _infallible = writeln!(
                text,
                "  refused {:?}; time to refusal p99 {:.1} ms, max {:.1} ms",
                figures.refusals, figures.refusal_ms.p99, figures.refusal_ms.max
            );
        }
        if !figures.wasted.is_empty() {
            let _infallible = writeln!(text, "  wasted {:?}", figures.wasted);
        }
        if let (Some(over_s), Some(work)) = (figures.burst_over_s, figures.burst_work_s) {
            let _infallible = writeln!(
                text,
                "  burst over after {over_s:.2} s; its work takes {work:.2} s"
            );
        }
    }
    text
}
