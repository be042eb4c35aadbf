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

/// Least time without progress after which a task counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(300);

/// Least run time before the total run time is predicted from the share of done work.
const MIN_RUN_TIME_TO_PREDICT: Duration = Duration::from_millis(200);

/// A task is moved to another server if its predicted run time is this many times the expected one.
const TOO_SLOW_FACTOR: f64 = 2.5;

/// Result of judging a running task by its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The task may go on.
    OnTrack,
    /// The task makes no progress.
    Stalled,
    /// The task would take far longer here than on another server.
    TooSlow,
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
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed_jobs: Vec::new(),
            open_until: None,
            open_duration: INITIAL_OPEN_DURATION,
            slowdown: 1.0,
            ratio_updated_at: Monotonic(0),
        }
    }
}

impl Health {
    /// Records a successful task that took `ran` with an estimate of `estimate`; closes the
    /// breaker.
    pub fn record_success(&mut self, ran: Duration, estimate: Duration, now: Monotonic) {
        self.failed_jobs.clear();
        self.open_until = None;
        self.open_duration = INITIAL_OPEN_DURATION;
        self.record_run_time(ran, estimate, now);
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

    /// Adds the run time of one task to the run time ratio. A zero estimate is ignored.
    pub fn record_run_time(&mut self, ran: Duration, estimate: Duration, now: Monotonic) {
        if estimate.is_zero() {
            return;
        }
        let ratio = (ran.as_secs_f32() / estimate.as_secs_f32())
            .clamp(RATIO_SAMPLE_RANGE.0, RATIO_SAMPLE_RANGE.1);
        self.slowdown = self.slowdown(now) * (1.0 - RATIO_WEIGHT) + ratio * RATIO_WEIGHT;
        self.ratio_updated_at = now;
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

    /// Judges a running task by its share of done work. `ran` is the run time so far, `expected`
    /// the total run time expected on this server and `without_progress` the time since `percent`
    /// grew.
    pub fn judge_progress(
        ran: Duration,
        expected: Duration,
        percent: u8,
        without_progress: Duration,
    ) -> Verdict {
        if without_progress >= MIN_STALL_TIME.max(expected) && percent < 100 {
            return Verdict::Stalled;
        }
        if ran < MIN_RUN_TIME_TO_PREDICT || percent == 0 || percent >= 100 {
            return Verdict::OnTrack;
        }
        let predicted = ran.as_secs_f64() * 100.0 / f64::from(percent);
        let remaining = predicted - ran.as_secs_f64();
        let is_slow = predicted > TOO_SLOW_FACTOR * expected.as_secs_f64();
        // Another server would run the task from its start, so one with little work left stays
        // here.
        if is_slow && remaining > 1.5 * expected.as_secs_f64() {
            Verdict::TooSlow
        } else {
            Verdict::OnTrack
        }
    }
}
