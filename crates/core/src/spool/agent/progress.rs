//! Judges a running task by its progress and by the other runs of its server.
//!
//! A run that takes far longer than estimated has one of two causes: the task is long, or the server
//! is slow. Only in the second case does another server end it sooner. A slow server delays all of
//! its runs, so the other runs there tell the two apart: each one that takes far longer than
//! estimated counts as a vote for a slow server, each other one as a vote against it.
//!
//! Designed for servers of two to a hundred runs at a time, of which 3% take 7 times the usual time.
//! Long tasks stay for longer, so about 18% of the runs in progress at any time are long ones. The
//! votes stay reliable with estimates that are off by 40%, all in the same direction or not.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Monotonic;

/// Least time without progress after which a task counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(300);

/// Least run time before a run is judged by the share of done work.
const MIN_RUN_TIME_TO_JUDGE: Duration = Duration::from_millis(200);

/// Least run time before a run counts as a vote on its server. Shorter than the one above, so that the
/// votes are there when the first run is judged.
const MIN_RUN_TIME_TO_VOTE: Duration = Duration::from_millis(50);

/// A run is judged further only if its predicted run time is this many times the expected one.
const TOO_SLOW_FACTOR: f64 = 2.5;

/// Factor on the time of a whole run elsewhere that the remaining time has to exceed for a move to
/// pay. It covers the stop, the way back to the entry, and servers that are not of typical speed.
const MOVE_MARGIN: f64 = 1.5;

/// Range of the server's slowdown by which estimates are corrected for the run that is judged.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 2.0);

/// Ratio of run time to estimate, in multiples of the server's usual one, from which on a run is a
/// vote for a slow server. Wrong estimates and the spread within a queue alone reach 1.75, and a
/// server that turns 5 times slower exceeds 2 for nearly all of its runs.
const SLOW_VOTE_FACTOR: f64 = 2.0;

/// Range of the slowdown that counts as usual for a vote. A higher upper limit would let a server
/// become its own standard while it turns slow.
const USUAL_SLOWDOWN_RANGE: (f64, f64) = (0.5, 1.5);

/// Weight of the vote of a run that started after the run that is judged, so that all of its time
/// falls into the time in question.
const LATER_RUN_WEIGHT: u32 = 2;

/// Weight of the vote of an earlier run that is still in progress, and of the earlier ends together.
const EARLIER_RUN_WEIGHT: u32 = 1;

/// Number of ends from before the judged run started that give one vote together. They only break a
/// tie, as the server may have turned slow since.
const MIN_EARLIER_ENDS: usize = 3;

/// Time over which the present pace of a run is measured; two long polls pass in it at most.
const PACE_TIME: Duration = Duration::from_millis(200);

/// Least time between two readings that are kept to measure the pace.
const READING_INTERVAL: Duration = Duration::from_millis(100);

/// Age up to which ends are evidence.
const MAX_END_AGE: Duration = Duration::from_secs(2);

/// Number of ends kept as evidence.
const MAX_ENDS: usize = 16;

/// Progress of a run as the lists of its server have shown it.
#[derive(Debug, Clone)]
pub struct Progress {
    started_at: Monotonic,
    percent: u8,
    grown_at: Monotonic,
    /// When the lists last told the progress.
    read_at: Monotonic,
    /// Earlier readings of percent, oldest first. The first is the start, or the newest one that is
    /// at least [`PACE_TIME`] old.
    readings: SmallVec<[(u8, Monotonic); 4]>,
}

impl Progress {
    /// Creates the progress of a run that was sent to the server at `started_at`.
    pub fn new(started_at: Monotonic) -> Self {
        Self {
            started_at,
            percent: 0,
            grown_at: started_at,
            read_at: started_at,
            readings: SmallVec::from_slice(&[(0, started_at)]),
        }
    }

    /// Adds the share of done work that the lists told at `now`.
    pub fn record(&mut self, percent: u8, now: Monotonic) {
        if percent > self.percent {
            self.percent = percent;
            self.grown_at = now;
        }
        self.read_at = now;
        let last = self.readings.last().map_or(self.started_at, |last| last.1);
        if now.since(last) >= READING_INTERVAL {
            self.readings.push((self.percent, now));
        }
        while self.readings.len() > 1 && now.since(self.readings[1].1) >= PACE_TIME {
            self.readings.remove(0);
        }
    }

    /// Returns the share of done work in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Returns the time since the share of done work last grew.
    pub fn time_without_growth(&self, now: Monotonic) -> Duration {
        now.since(self.grown_at)
    }

    /// Returns the run time up to the last reading.
    pub fn ran(&self) -> Duration {
        self.read_at.since(self.started_at)
    }

    /// Returns the present pace, `None` while the lists have told no progress.
    ///
    /// The average since the start holds unless the last readings contradict it by more than the
    /// one percent to which shares are rounded: then the server has become slower or faster.
    pub fn pace(&self) -> Option<Pace> {
        if self.percent == 0 {
            return None;
        }
        let percent = f64::from(self.percent);
        let average = self.ran().as_secs_f64() * 100.0 / percent;
        let steady = Pace {
            whole_run_seconds: average,
            since: self.started_at,
        };
        let (from_percent, from) = self.readings[0];
        let elapsed = self.read_at.since(from);
        if elapsed < PACE_TIME {
            return Some(steady);
        }
        let grown = percent - f64::from(from_percent);
        let shortest = elapsed.as_secs_f64() * 100.0 / (grown + 1.0);
        let longest = if grown > 1.0 {
            elapsed.as_secs_f64() * 100.0 / (grown - 1.0)
        } else {
            f64::INFINITY
        };
        if average < shortest {
            return Some(Pace {
                whole_run_seconds: shortest,
                since: from,
            });
        }
        Some(Pace {
            whole_run_seconds: average.min(longest),
            ..steady
        })
    }
}

/// Pace at which a run makes progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time that the whole task takes at this pace.
    pub whole_run_seconds: f64,
    /// Since when the run has had this pace: its start, unless it has become slower.
    pub since: Monotonic,
}

/// A run of the server as evidence of the server's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Start number of the run.
    pub start_number: u64,
    /// When the start request was sent.
    pub started_at: Monotonic,
    /// Whether the run has ended.
    pub has_ended: bool,
    /// Time of a whole run, as measured or at the present pace, divided by the estimate.
    pub ratio: f64,
    /// Least value of `ratio`, given that shares of done work are rounded.
    pub least_ratio: f64,
}

impl Sample {
    /// Returns a run in progress as evidence, `None` while it tells nothing. A zero estimate tells
    /// nothing either.
    pub fn of_progress(start_number: u64, progress: &Progress, estimate: Duration) -> Option<Self> {
        let ran = progress.ran();
        if ran < MIN_RUN_TIME_TO_VOTE || estimate.is_zero() {
            return None;
        }
        let estimate = estimate.as_secs_f64();
        let elapsed_ratio = ran.as_secs_f64() / estimate;
        let sample = |ratio: f64, least_ratio: f64| Self {
            start_number,
            started_at: progress.started_at,
            has_ended: false,
            ratio,
            least_ratio,
        };
        match progress.pace() {
            Some(pace) => {
                let percent = f64::from(progress.percent());
                let ratio = pace.whole_run_seconds / estimate;
                let rounded = ratio * percent / (percent + 1.0);
                Some(sample(ratio.max(elapsed_ratio), rounded.max(elapsed_ratio)))
            }
            None if elapsed_ratio >= SLOW_VOTE_FACTOR => Some(sample(elapsed_ratio, elapsed_ratio)),
            None => None,
        }
    }
}

/// The last ends of tasks on a server.
#[derive(Debug, Clone, Default)]
pub struct RecentEnds {
    /// Oldest first, with the time of the end.
    ends: SmallVec<[(Monotonic, Sample); MAX_ENDS]>,
}

impl RecentEnds {
    /// Adds the end of a run that took, or would have taken, `ratio` times its estimate.
    pub fn record(&mut self, start_number: u64, started_at: Monotonic, ratio: f64, now: Monotonic) {
        if self.ends.len() == MAX_ENDS {
            self.ends.remove(0);
        }
        let sample = Sample {
            start_number,
            started_at,
            has_ended: true,
            ratio,
            least_ratio: ratio,
        };
        self.ends.push((now, sample));
    }

    /// Returns the ends that are recent enough to be evidence.
    pub fn samples(&self, now: Monotonic) -> impl Iterator<Item = Sample> {
        let is_recent = move |at: Monotonic| now.since(at) <= MAX_END_AGE;
        self.ends
            .iter()
            .filter(move |(at, _sample)| is_recent(*at))
            .map(|(_at, sample)| *sample)
    }
}

/// Votes of the other runs of a server on its speed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Votes {
    /// Weight of the runs that take far longer than estimated.
    pub slow: u32,
    /// Weight of the runs that do not.
    pub healthy: u32,
    /// Median ratio of run time to estimate of the runs that have voted; 1 if there are none.
    pub ratio: f64,
}

impl Votes {
    /// Counts the votes on the time from `since` on, without the run `start_number` itself.
    /// `slowdown` is the server's ratio of run time to estimate so far.
    pub fn count(samples: &[Sample], start_number: u64, since: Monotonic, slowdown: f64) -> Self {
        let usual = slowdown.clamp(USUAL_SLOWDOWN_RANGE.0, USUAL_SLOWDOWN_RANGE.1);
        let slow_ratio = SLOW_VOTE_FACTOR * usual;
        let mut votes = Self::default();
        let mut ratios: SmallVec<[f64; 32]> = SmallVec::new();
        let mut earlier_ends: SmallVec<[f64; MAX_ENDS]> = SmallVec::new();
        for sample in samples {
            if sample.start_number == start_number {
                continue;
            }
            let is_later = sample.started_at >= since;
            if sample.has_ended && !is_later {
                earlier_ends.push(sample.ratio);
                continue;
            }
            let weight = if is_later {
                LATER_RUN_WEIGHT
            } else {
                EARLIER_RUN_WEIGHT
            };
            if votes.add(sample.least_ratio, sample.ratio, slow_ratio, weight) {
                ratios.push(sample.ratio);
            }
        }
        if earlier_ends.len() >= MIN_EARLIER_ENDS {
            let ratio = median(&mut earlier_ends);
            if votes.add(ratio, ratio, slow_ratio, EARLIER_RUN_WEIGHT) {
                ratios.push(ratio);
            }
        }
        votes.ratio = if ratios.is_empty() {
            1.0
        } else {
            median(&mut ratios)
        };
        votes
    }

    /// Adds a vote; returns whether there was one. A run whose ratio may lie on either side of
    /// `slow_ratio` has none.
    fn add(&mut self, least: f64, ratio: f64, slow_ratio: f64, weight: u32) -> bool {
        if least >= slow_ratio {
            self.slow += weight;
        } else if ratio < slow_ratio {
            self.healthy += weight;
        } else {
            return false;
        }
        true
    }

    /// Returns whether the server is slow by the majority of the votes. Without votes it is not.
    pub fn is_slow(&self) -> bool {
        self.slow > self.healthy
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Judgement of a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The task may go on.
    OnTrack,
    /// The task makes no progress.
    Stalled,
    /// The server is slow, and another one would end the task sooner.
    TooSlow,
}

/// A running task to be judged, and what is known of its server.
#[derive(Debug, Clone, Copy)]
pub struct Case<'a> {
    /// Start number of the run.
    pub start_number: u64,
    /// Progress of the run.
    pub progress: &'a Progress,
    /// Estimated run time on a server of typical speed.
    pub estimate: Duration,
    /// The server's ratio of run time to estimate so far.
    pub slowdown: f64,
    /// The runs of the server, in progress and recently ended; the run itself may be among them.
    pub samples: &'a [Sample],
}

impl Case<'_> {
    /// Returns the run time expected on this server.
    pub fn expected(&self) -> Duration {
        let slowdown = self.slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.estimate.mul_f64(slowdown)
    }

    /// Returns the predicted run time in seconds and the part of it that remains, `None` while the
    /// progress tells nothing.
    pub fn predicted_and_remaining(&self) -> Option<(f64, f64)> {
        let pace = self.progress.pace()?;
        let undone = 1.0 - f64::from(self.progress.percent().min(100)) / 100.0;
        let remaining = pace.whole_run_seconds * undone;
        Some((self.progress.ran().as_secs_f64() + remaining, remaining))
    }

    /// Returns the votes of the server's other runs on the time since which this run has had its
    /// present pace.
    pub fn votes(&self) -> Votes {
        let since = self.progress.pace().map_or(Monotonic(0), |pace| pace.since);
        Votes::count(self.samples, self.start_number, since, self.slowdown)
    }

    /// Returns whether the task makes no progress.
    pub fn is_stalled(&self, now: Monotonic) -> bool {
        let stall_time = MIN_STALL_TIME.max(self.expected());
        self.progress.percent() < 100 && self.progress.time_without_growth(now) >= stall_time
    }
}

/// Judges a running task.
///
/// A task is too slow here if its predicted run time far exceeds the expected one, the other runs
/// show that the server is the cause, and the remaining work here takes longer than the whole task
/// on a server of typical speed, which is as many times faster as the other runs here are slow.
pub fn judge(case: &Case<'_>, now: Monotonic) -> Verdict {
    if case.is_stalled(now) {
        return Verdict::Stalled;
    }
    if case.progress.ran() < MIN_RUN_TIME_TO_JUDGE {
        return Verdict::OnTrack;
    }
    let Some((predicted, remaining)) = case.predicted_and_remaining() else {
        return Verdict::OnTrack;
    };
    let expected = case.expected().as_secs_f64();
    if predicted <= TOO_SLOW_FACTOR * expected {
        return Verdict::OnTrack;
    }
    let votes = case.votes();
    let Some(pace) = case.progress.pace() else {
        return Verdict::OnTrack;
    };
    let elsewhere = pace.whole_run_seconds / votes.ratio.max(1.0);
    if votes.is_slow() && remaining > MOVE_MARGIN * elsewhere {
        Verdict::TooSlow
    } else {
        Verdict::OnTrack
    }
}
