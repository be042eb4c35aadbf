//! Comparison of the wall clocks of entries, which the time barrier of moved ids rests on.
//!
//! Each entry compares its clock with those of the members by heartbeats. While it may hold a
//! lease, its clock agrees with those of a majority as far as they were measured. Two such entries
//! share a member that both agree with, so their clocks differ by at most three times
//! [`tolerance`]: twice the tolerance and twice the largest error that is accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::Row;
use crate::settings::Timing;
use crate::time::Mono;

/// How long a measurement counts.
const KEEP: Duration = Duration::from_secs(10);

/// Returns the largest difference at which two clocks agree.
pub fn tolerance(timing: &Timing) -> Duration {
    timing.clock_skew / 3
}

/// Clocks of the other members, as measured by heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Clocks {
    measured: BTreeMap<String, (Mono, i64)>,
    apart: bool,
}

impl Clocks {
    /// Makes a comparison without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the clock of a member is `ahead_ms` ahead of this entry's, give or take
    /// `error`. A measurement with too large an error is dropped.
    pub fn record(
        &mut self,
        name: &str,
        ahead_ms: i64,
        error: Duration,
        timing: &Timing,
        now: Mono,
    ) {
        if error <= tolerance(timing) / 2 {
            self.measured.insert(name.to_owned(), (now, ahead_ms));
        }
    }

    /// Returns whether this entry's clock was out of agreement at the last [`Self::update`].
    pub fn is_apart(&self) -> bool {
        self.apart
    }

    /// Compares this entry's clock with the members' anew; returns whether the outcome changed.
    ///
    /// It is out of agreement if it differs from so many members' that those which may agree with
    /// it are no majority.
    pub fn update(&mut self, row: &Row, timing: &Timing, now: Mono) -> bool {
        let most = tolerance(timing).as_millis() as u64;
        let apart = row.members.iter().filter(|member| {
            self.measured
                .get(&member.name)
                .is_some_and(|(at, ahead)| now.since(*at) <= KEEP && ahead.unsigned_abs() > most)
        });
        let apart = !row.members.is_empty() && apart.count() >= row.blocking();
        std::mem::replace(&mut self.apart, apart) != apart
    }
}
