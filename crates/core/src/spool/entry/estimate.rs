//! Expected run times: the caller's declared estimate blended with an EWMA of observed run times.
//!
//! Designed for queues of which a few percent of the tasks take many times the usual time. Such a long
//! task is rare and its run time extreme, so that a plain EWMA would jump by a third with each one.
//! The typical run time of a queue therefore counts it only up to a limit, which follows from the
//! spread of the ordinary run times; share and length of the long tasks are estimated apart.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Monotonic;

/// Weight of the newest run in the averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Weight of the declared run time against the queue's average. Declared times are off by 40% and
/// the run times within a queue vary as much, so both are about equally informative.
const DECLARED_WEIGHT: f64 = 0.5;

/// Assumed run time of tasks for which no time was declared or observed.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// Mean relative deviation assumed of a queue before its run times are known: that of run times with a
/// standard deviation of 40%.
const DEFAULT_SPREAD: f64 = 0.32;

/// Number of mean deviations above the typical run time from which on a task counts as long. Normally
/// distributed run times exceed it once in a thousand.
const LONG_TASK_DEVIATIONS: f64 = 4.0;

/// Range of the run time, in multiples of the typical one, from which on a task counts as long.
const LONG_TASK_RANGE: (f64, f64) = (2.0, 4.0);

/// Weight of the newest run in the share of long tasks, and of the newest long task in their length.
/// A share of 3% needs an average over at least 50 runs.
const LONG_TASK_WEIGHT: f64 = 0.02;

/// Share from which on long tasks are no exceptions: the run times of the queue have changed, and all
/// runs count in full.
const CHANGED_SHARE: f64 = 0.25;

/// Half-life with which spread and share of long tasks return to their defaults while no task of the
/// queue ends.
const TAIL_HALF_LIFE: Duration = Duration::from_secs(30);

/// Least typical run time, so that ratios to it stay within bounds: the resolution of a run's time.
const MIN_TYPICAL_SECONDS: f64 = 1e-4;

/// Number of queues whose run times are kept. Catalogues have some tens; the least recently used ones
/// of earlier catalogues are dropped.
const MAX_QUEUES: usize = 256;

/// Returns the run time, in multiples of the typical one, from which on a task of a queue counts as
/// long. `spread` is the mean relative deviation of the run times of the queue.
pub fn long_task_limit(spread: f64) -> f64 {
    (1.0 + LONG_TASK_DEVIATIONS * spread).clamp(LONG_TASK_RANGE.0, LONG_TASK_RANGE.1)
}

/// Returns how long a task takes at least on a server of typical speed, if a run of it was lost after
/// `ran` on a server with the given slowdown.
pub fn least_run_time(ran: Duration, slowdown: f32) -> Duration {
    ran.div_f64(f64::from(slowdown.max(MIN_SLOWDOWN)))
}

/// Least slowdown by which run times are corrected; a server is never ten times as fast as usual.
const MIN_SLOWDOWN: f32 = 0.1;

/// Run times of one queue, normalized to a server of typical speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueRunTimes {
    /// Average, with long tasks counted up to the limit.
    pub typical_seconds: f64,
    /// Mean relative deviation of the ordinary tasks.
    pub spread: f64,
    /// Share of the long tasks.
    pub long_share: f64,
    /// Mean run time of the long tasks in multiples of the typical one.
    pub long_factor: f64,
    updated_at: Monotonic,
}

impl QueueRunTimes {
    fn new(typical_seconds: f64, now: Monotonic) -> Self {
        Self {
            typical_seconds: typical_seconds.max(MIN_TYPICAL_SECONDS),
            spread: DEFAULT_SPREAD,
            long_share: 0.0,
            long_factor: LONG_TASK_RANGE.1,
            updated_at: now,
        }
    }

    /// Returns the run times with the spread and the share of long tasks aged to `now`.
    fn at(&self, now: Monotonic) -> Self {
        let age = now.since(self.updated_at).as_secs_f64() / TAIL_HALF_LIFE.as_secs_f64();
        let left = (-age).exp2();
        Self {
            spread: DEFAULT_SPREAD + (self.spread - DEFAULT_SPREAD) * left,
            long_share: self.long_share * left,
            updated_at: now,
            ..*self
        }
    }

    /// Adds a run, with `limit` in multiples of the typical run time for a long task. Returns what it
    /// contributes to the mean run time of all tasks.
    fn record(&mut self, seconds: f64, limit: f64) -> f64 {
        let ratio = seconds / self.typical_seconds;
        let is_long = ratio > limit;
        let sample = if is_long { 1.0 } else { 0.0 };
        self.long_share += (sample - self.long_share) * LONG_TASK_WEIGHT;
        if is_long {
            self.long_factor += (ratio - self.long_factor) * LONG_TASK_WEIGHT;
        } else {
            self.spread += ((ratio - 1.0).abs() - self.spread) * EWMA_WEIGHT;
        }
        if is_long && self.long_share >= CHANGED_SHARE || !limit.is_finite() {
            self.move_typical_towards(seconds);
            return seconds;
        }
        let limited = seconds.min(self.typical_seconds * limit);
        let beyond_limit = self.long_share * (self.long_factor - limit).max(0.0);
        let contribution = limited + self.typical_seconds * beyond_limit;
        self.move_typical_towards(limited);
        contribution
    }

    /// Adds a run time to the typical one. The length of the long tasks stays the same in seconds, so
    /// that a queue whose run times have changed does not seem to have ever longer ones.
    fn move_typical_towards(&mut self, seconds: f64) {
        let before = self.typical_seconds;
        let after = before + (seconds - before) * EWMA_WEIGHT;
        self.typical_seconds = after.max(MIN_TYPICAL_SECONDS);
        self.long_factor *= before / self.typical_seconds;
    }
}

/// Run times observed so far, normalized to a server of typical speed.
#[derive(Debug)]
pub struct RunTimeEstimates {
    by_queue: HashMap<Arc<str>, QueueRunTimes>,
    /// Average over the tasks of all queues, with long tasks at their share.
    overall_mean_seconds: f64,
    long_task_limit: fn(f64) -> f64,
}

impl Default for RunTimeEstimates {
    fn default() -> Self {
        Self {
            by_queue: HashMap::new(),
            overall_mean_seconds: DEFAULT_RUN_TIME.as_secs_f64(),
            long_task_limit,
        }
    }
}

impl RunTimeEstimates {
    /// Replaces the function that tells from which run time on a task counts as long.
    #[must_use]
    pub fn with_long_task_limit(mut self, long_task_limit: fn(f64) -> f64) -> Self {
        self.long_task_limit = long_task_limit;
        self
    }

    /// Adds a run that took `ran` on a server with the given slowdown (actual run time divided by
    /// the estimate). `declared` is zero if the caller gave no estimate.
    pub fn record_run(
        &mut self,
        queue: &Arc<str>,
        ran: Duration,
        declared: Duration,
        slowdown: f32,
        now: Monotonic,
    ) {
        let seconds = least_run_time(ran, slowdown).as_secs_f64();
        let known = self.by_queue.get(queue).map(|known| known.at(now));
        if known.is_none() {
            self.make_room_for_queue();
        }
        let mut times = known.unwrap_or_else(|| {
            // The first run may be a long one, which the declared time shows.
            let limit = (self.long_task_limit)(DEFAULT_SPREAD);
            let is_long = !declared.is_zero() && seconds > declared.as_secs_f64() * limit;
            let typical = if is_long {
                declared.as_secs_f64()
            } else {
                seconds
            };
            QueueRunTimes::new(typical, now)
        });
        let contribution = times.record(seconds, (self.long_task_limit)(times.spread));
        self.overall_mean_seconds += (contribution - self.overall_mean_seconds) * EWMA_WEIGHT;
        self.by_queue.insert(Arc::clone(queue), times);
    }

    fn make_room_for_queue(&mut self) {
        if self.by_queue.len() < MAX_QUEUES {
            return;
        }
        let oldest = self
            .by_queue
            .iter()
            .min_by_key(|(_queue, times)| times.updated_at)
            .map(|(queue, _times)| Arc::clone(queue));
        if let Some(queue) = oldest {
            self.by_queue.remove(&queue);
        }
    }

    /// Returns what is known of the run times of a queue, `None` before the first run.
    pub fn queue_run_times(&self, queue: &str, now: Monotonic) -> Option<QueueRunTimes> {
        self.by_queue.get(queue).map(|times| times.at(now))
    }

    /// Returns the typical run time of each queue's tasks in seconds on a server of typical speed.
    pub fn typical_seconds_by_queue(&self) -> impl Iterator<Item = (&str, f64)> {
        let queues = self.by_queue.iter();
        queues.map(|(queue, times)| (&**queue, times.typical_seconds))
    }

    /// Returns the average run time of a task of any queue on a server of typical speed.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_mean_seconds)
    }

    /// Returns the expected run time of a task of the queue on a server of typical speed.
    /// `declared` is zero if the caller gave no estimate.
    pub fn expected_run_time(&self, queue: &Arc<str>, declared: Duration) -> Duration {
        let typical = self.by_queue.get(queue).map(|times| times.typical_seconds);
        match typical {
            Some(typical) if declared.is_zero() => Duration::from_secs_f64(typical),
            Some(typical) => {
                let mixed =
                    declared.as_secs_f64() * DECLARED_WEIGHT + typical * (1.0 - DECLARED_WEIGHT);
                Duration::from_secs_f64(mixed)
            }
            None if declared.is_zero() => DEFAULT_RUN_TIME,
            None => declared,
        }
    }
}

/// Multiple of the median slowdown above which a server counts as faulty and is left out of the
/// average.
const OUTLIER_FACTOR: f32 = 2.5;

/// Returns the harmonic mean of the servers' slowdowns, without faulty servers and those that have
/// not reported one; 1 if none is left.
pub fn mean_slowdown<P>(slowdowns: P) -> f64
where
    P: Iterator<Item = f32>,
{
    let mut known: Vec<f32> = slowdowns.filter(|slowdown| *slowdown > 0.0).collect();
    known.sort_by(f32::total_cmp);
    let Some(&median) = known.get(known.len() / 2) else {
        return 1.0;
    };
    known.retain(|slowdown| *slowdown <= median * OUTLIER_FACTOR);
    let speeds: f32 = known.iter().map(|slowdown| 1.0 / slowdown).sum();
    known.len() as f64 / f64::from(speeds)
}
