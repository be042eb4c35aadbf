//! Comparison of the wall clocks of entries.
//!
//! After a change of members, job ids move between coordinators, and an entry tells by the creation
//! time within an id whether another coordinator may have accepted the job before. That is only
//! safe if the wall clocks of entries differ by at most [`Timing::max_clock_difference`].
//!
//! Each entry measures the clocks of the other members by heartbeats and gives up its lease if its
//! own clock disagrees with too many of them. Two entries with a lease therefore share a member
//! with which both agree, so their clocks differ by at most three times [`tolerance`]: twice the
//! tolerance and twice the largest measurement error that is accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::Row;
use crate::settings::Timing;
use crate::time::Monotonic;

/// Measurements older than this are ignored.
const MEASUREMENT_MAX_AGE: Duration = Duration::from_secs(10);

/// Returns the largest measured difference at which two clocks count as agreeing.
pub fn tolerance(timing: &Timing) -> Duration {
    timing.max_clock_difference / 3
}

/// Differences between the wall clocks of the other members and the own one.
#[derive(Debug, Clone, Default)]
pub struct ClockOffsets {
    /// Time of the last measurement and milliseconds that the member's clock is ahead, by name.
    offsets: BTreeMap<String, (Monotonic, i64)>,
    is_out_of_agreement: bool,
}

impl ClockOffsets {
    /// Creates a comparison without measurements, under which all clocks agree.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the clock of a member is `ahead_ms` milliseconds ahead of the own one, with an
    /// uncertainty of `error` in either direction. A measurement with an error above half the
    /// [`tolerance`] is dropped.
    pub fn record(
        &mut self,
        name: &str,
        ahead_ms: i64,
        error: Duration,
        timing: &Timing,
        now: Monotonic,
    ) {
        if error <= tolerance(timing) / 2 {
            self.offsets.insert(name.to_owned(), (now, ahead_ms));
        }
    }

    /// Returns whether the clock of this entry was out of agreement at the last [`Self::update`].
    pub fn is_out_of_agreement(&self) -> bool {
        self.is_out_of_agreement
    }

    /// Evaluates the measurements again; returns whether the result of
    /// [`Self::is_out_of_agreement`] changed.
    ///
    /// The clock of this entry is out of agreement if it differs by more than the tolerance from so
    /// many members that the remaining ones are no majority. Members without a recent measurement
    /// count as agreeing.
    pub fn update(&mut self, row: &Row, timing: &Timing, now: Monotonic) -> bool {
        let tolerance_ms = tolerance(timing).as_millis() as u64;
        let disagreeing = row.members.iter().filter(|member| {
            self.offsets.get(&member.name).is_some_and(|(at, ahead)| {
                now.since(*at) <= MEASUREMENT_MAX_AGE && ahead.unsigned_abs() > tolerance_ms
            })
        });
        let is_out_of_agreement =
            !row.members.is_empty() && disagreeing.count() >= row.blocking_size();
        std::mem::replace(&mut self.is_out_of_agreement, is_out_of_agreement) != is_out_of_agreement
    }
}
