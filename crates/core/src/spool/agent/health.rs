//! Whether a backend server can be trusted with tasks, learned from how its tasks end.
//!
//! Load pattern: servers that fail, stall or slow down everything they start while they announce
//! themselves as ready, beside jobs that fail on every server.

use std::time::Duration;

use super::super::job::Id;
use crate::time::Mono;

/// Bad ends of different jobs in a row that close the server. Two can be chance where a few
/// percent of the jobs fail everywhere.
const STREAK: usize = 3;

/// First time that a server stays closed; doubled for each failed probe.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time that a server stays closed, so that a mended one is found within seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Weight of one run in the pace.
const PACE_WEIGHT: f32 = 0.15;

/// Bounds on one run's share in the pace: estimates are off by 40%, so a longer run is slow.
const PACE_BOUNDS: (f32, f32) = (0.2, 12.0);

/// Time in which half of what is known about the pace is forgotten without new runs.
const PACE_HALF_LIFE: Duration = Duration::from_secs(4);

/// A task that stands still for this long is stuck.
const STUCK_AFTER: Duration = Duration::from_millis(300);

/// Least run time before a prediction from the share of done work counts.
const PREDICT_AFTER: Duration = Duration::from_millis(200);

/// A task moves away if it would take this many times its expected run time here.
const TOO_SLOW: f64 = 2.5;

/// How a running task is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Fine,
    /// It makes no progress.
    Stuck,
    /// It would take far longer here than elsewhere.
    TooSlow,
}

/// What is known about a server.
#[derive(Debug, Clone)]
pub struct Health {
    bad: Vec<Id>,
    closed_until: Option<Mono>,
    pause: Duration,
    pace: f32,
    pace_at: Mono,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            bad: Vec::new(),
            closed_until: None,
            pause: FIRST_PAUSE,
            pace: 1.0,
            pace_at: Mono(0),
        }
    }
}

impl Health {
    /// Notes a task that ended well after `ran`, estimated at `estimate`.
    pub fn good(&mut self, ran: Duration, estimate: Duration, now: Mono) {
        self.bad.clear();
        self.closed_until = None;
        self.pause = FIRST_PAUSE;
        self.learn(ran, estimate, now);
    }

    /// Notes a task that failed or stood still. One that has failed elsewhere says little.
    pub fn bad(&mut self, job: Id, retried: bool, now: Mono) -> bool {
        if self.closed_until.is_some() {
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.closed_until = Some(now.plus(self.pause));
            return false;
        }
        if !retried && !self.bad.contains(&job) {
            self.bad.push(job);
        }
        let closes = self.bad.len() >= STREAK;
        if closes {
            self.closed_until = Some(now.plus(self.pause));
        }
        closes
    }

    /// Notes a run time.
    pub fn learn(&mut self, ran: Duration, estimate: Duration, now: Mono) {
        if estimate.is_zero() {
            return;
        }
        let ratio =
            (ran.as_secs_f32() / estimate.as_secs_f32()).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace = self.pace(now) * (1.0 - PACE_WEIGHT) + ratio * PACE_WEIGHT;
        self.pace_at = now;
    }

    /// Returns the run time here against the estimates.
    pub fn pace(&self, now: Mono) -> f32 {
        let age = now.since(self.pace_at).as_secs_f32() / PACE_HALF_LIFE.as_secs_f32();
        1.0 + (self.pace - 1.0) * (-age).exp2()
    }

    /// Returns how many more tasks the server may get, with `running` there now.
    pub fn open(&self, running: usize, now: Mono) -> u32 {
        match self.closed_until {
            None => u32::MAX,
            Some(until) if now >= until && running == 0 => 1,
            Some(_) => 0,
        }
    }

    /// Judges a running task by its share of done work.
    pub fn judge(ran: Duration, expected: Duration, percent: u8, still: Duration) -> Verdict {
        if still >= STUCK_AFTER.max(expected) && percent < 100 {
            return Verdict::Stuck;
        }
        if ran < PREDICT_AFTER || percent == 0 || percent >= 100 {
            return Verdict::Fine;
        }
        let predicted = ran.as_secs_f64() * 100.0 / f64::from(percent);
        let left = predicted - ran.as_secs_f64();
        let slow = predicted > TOO_SLOW * expected.as_secs_f64();
        if slow && left > 1.5 * expected.as_secs_f64() {
            Verdict::TooSlow
        } else {
            Verdict::Fine
        }
    }
}
