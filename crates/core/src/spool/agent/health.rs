//! Circuit breaker and run time ratio of a backend server, both learned from its tasks.
//!
//! Some servers announce themselves as ready while they fail, stall or slow down every task that
//! they start. The breaker has to tell them from servers that merely got a job that fails on every
//! server.

use std::time::Duration;

use super::super::job::Id;
use crate::time::Monotonic;

/// Different jobs that have to fail in a row to open the circuit breaker. Two can be chance where
/// a few percent of the jobs fail on every server.
const FAILED_JOBS_TO_OPEN: usize = 3;

/// Time for which the breaker opens first; doubled for each task that fails while it is open,
/// such as a probe.
const INITIAL_OPEN_DURATION: Duration = Duration::from_millis(400);

/// Longest time for which the breaker stays open, so that a server that has recovered is found
/// within seconds.
const MAX_OPEN_DURATION: Duration = Duration::from_secs(2);

/// Weight of one run in the EWMA of run time divided by estimate.
const RATIO_WEIGHT: f32 = 0.15;

/// Range that the ratio of one run is clamped to. Estimates are off by 40%, so a larger ratio means
/// a slow server and counts as such.
const RATIO_SAMPLE_RANGE: (f32, f32) = (0.2, 12.0);

/// Half-life with which the run time ratio returns to 1 while no tasks end.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(4);

/// A ratio of more than this many times the usual one is an outlier, which counts only once another
/// run supports it. Wrong estimates and the spread within a queue alone reach 1.75.
const OUTLIER_FACTOR: f32 = 2.0;

/// Returns whether the ratio of one run, given the usual one, is an outlier.
pub fn is_outlier(ratio: f32, usual: f32) -> bool {
    ratio > OUTLIER_FACTOR * usual
}

/// Circuit breaker and run time ratio of one backend server.
#[derive(Debug, Clone)]
pub struct Health {
    /// Different jobs that have failed since the last success.
    failed_jobs: Vec<Id>,
    /// End of the time in which no task may start, `None` while the breaker is closed. After that
    /// time the breaker is half-open: one task at a time may start as a probe.
    open_until: Option<Monotonic>,
    /// Time for which the breaker opens next.
    open_duration: Duration,
    /// EWMA of run time divided by estimate, as of `ratio_updated_at`.
    slowdown: f32,
    ratio_updated_at: Monotonic,
    /// Ratio of the last run that counted.
    last_ratio: f32,
    /// Ratio of the last run, if it is an outlier that nothing supports yet.
    held_back: Option<f32>,
    is_outlier: fn(f32, f32) -> bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed_jobs: Vec::new(),
            open_until: None,
            open_duration: INITIAL_OPEN_DURATION,
            slowdown: 1.0,
            ratio_updated_at: Monotonic(0),
            last_ratio: 1.0,
            held_back: None,
            is_outlier,
        }
    }
}

impl Health {
    /// Replaces the function that tells outliers among the ratios of runs.
    #[must_use]
    pub fn with_outliers(mut self, is_outlier: fn(f32, f32) -> bool) -> Self {
        self.is_outlier = is_outlier;
        self
    }

    /// Records a successful task; closes the breaker.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.open_until = None;
        self.open_duration = INITIAL_OPEN_DURATION;
    }

    /// Records a task that failed or stalled. Returns whether this opens the closed breaker; while
    /// it is open, a failure extends the open time instead.
    ///
    /// A task that was `retried` has failed on another server too, so its failure does not count
    /// against this one.
    pub fn record_failure(&mut self, job: Id, retried: bool, now: Monotonic) -> bool {
        if self.open_until.is_some() {
            self.open_duration = (self.open_duration * 2).min(MAX_OPEN_DURATION);
            self.open_until = Some(now.plus(self.open_duration));
            return false;
        }
        if !retried && !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let opens = self.failed_jobs.len() >= FAILED_JOBS_TO_OPEN;
        if opens {
            self.open_until = Some(now.plus(self.open_duration));
        }
        opens
    }

    /// Adds the ratio of run time to estimate of one task to the run time ratio. `is_supported` tells
    /// whether other runs show too that the server is slow.
    ///
    /// An outlier without support is held back until the next run: if that run's ratio is of the same
    /// size, both count, else the outlier is dropped as a long task. So a few long tasks do not raise
    /// the ratio, while a server that has turned slow has the same ratio after two runs as without
    /// this rule, and at once if its other runs are slow too. A median over more runs would follow
    /// later, and a cap on single runs would raise the ratio with each long task and follow later.
    pub fn record_ratio(&mut self, ratio: f32, is_supported: bool, now: Monotonic) {
        let ratio = ratio.clamp(RATIO_SAMPLE_RANGE.0, RATIO_SAMPLE_RANGE.1);
        let confirmed = self
            .held_back
            .take()
            .filter(|held| *held <= ratio * OUTLIER_FACTOR);
        if !is_supported && confirmed.is_none() && self.is_outlier(ratio, now) {
            self.held_back = Some(ratio);
            return;
        }
        if let Some(held) = confirmed {
            self.add_ratio(held, now);
        }
        self.add_ratio(ratio, now);
    }

    /// Returns whether the ratio of a run is an outlier, given the ratio so far and the last run.
    pub fn is_outlier(&self, ratio: f32, now: Monotonic) -> bool {
        (self.is_outlier)(ratio, self.slowdown(now).max(self.last_ratio))
    }

    fn add_ratio(&mut self, ratio: f32, now: Monotonic) {
        self.slowdown = self.slowdown(now) * (1.0 - RATIO_WEIGHT) + ratio * RATIO_WEIGHT;
        self.ratio_updated_at = now;
        self.last_ratio = ratio;
    }

    /// Returns the expected ratio of run time here to estimate; 1 for a server of usual speed.
    pub fn slowdown(&self, now: Monotonic) -> f32 {
        let age = now.since(self.ratio_updated_at).as_secs_f32() / RATIO_HALF_LIFE.as_secs_f32();
        1.0 + (self.slowdown - 1.0) * (-age).exp2()
    }

    /// Returns how many more tasks the breaker lets the server start while `running` tasks are
    /// there.
    pub fn open_slots(&self, running: usize, now: Monotonic) -> u32 {
        match self.open_until {
            None => u32::MAX,
            Some(until) if now >= until && running == 0 => 1,
            Some(_) => 0,
        }
    }
}
