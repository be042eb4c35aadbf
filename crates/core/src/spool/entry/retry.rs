//! Retry delays that refused callers are told.
//!
//! Designed for bursts in which hundreds of jobs are refused within a second. If all of them came
//! back at the same moment, they would overload the servers again, so the delays are spread over
//! the time in which the backlog and the refused work could be done.

use std::time::Duration;

use rand::Rng;

use crate::time::Monotonic;

/// Shortest retry delay. The `Retry-After` header holds whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest retry delay. After a minute a backlog has either cleared or won't clear soon.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Time constant of [`RefusedWork`]: the shortest retry delay, so that the sum stands for the work
/// that has not come back yet.
const REFUSED_SECONDS: f64 = 1.0;

/// Returns a retry delay in whole seconds, drawn from the time in which the servers could do the
/// work that waits and the work that was refused lately.
pub fn retry_after<R>(clearing_time: Duration, random: &mut R) -> Duration
where
    R: Rng,
{
    let spread = MAX_RETRY_AFTER
        .saturating_sub(MIN_RETRY_AFTER)
        .min(clearing_time);
    MIN_RETRY_AFTER + Duration::from_secs(random.random_range(0..=spread.as_secs()))
}

/// CPU of the jobs that were refused lately, in thousandths of a core. It decays, as their callers
/// come back or give up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RefusedWork {
    cpu: f64,
    updated_at: Monotonic,
}

impl RefusedWork {
    /// Adds the CPU of a refused job.
    pub fn record(&mut self, cpu: f64, now: Monotonic) {
        self.cpu = self.cpu(now) + cpu;
        self.updated_at = now;
    }

    /// Returns the CPU of the jobs refused lately.
    pub fn cpu(&self, now: Monotonic) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.cpu * (-age / REFUSED_SECONDS).exp()
    }
}
