//! A backend server as its agent sees it: lease, token, lists of runs. Time is an argument, so
//! searches in virtual time and runs of real processes use the same one.

use std::collections::{BTreeMap, HashMap};

use ibisspool_core::spool::agent::{Ended, Listing, LongPoll, Running, StartAnswer};
use ibisspool_core::spool::job::TaskName;
use ibisspool_core::spool::message::End;

/// Longest lease that the platform grants.
const LONGEST_LEASE_MS: u64 = 1_000;

/// A task at work. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct Work {
    /// Name of the task.
    pub name: TaskName,
    /// When it began.
    pub began: u64,
    /// When it ends, if nothing stops it.
    pub ends: u64,
    /// Whether it fails at its end.
    pub fails: bool,
    /// Whether it was told to stop.
    pub stops: bool,
    /// Thousandths of a core.
    pub cpu: u32,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Executor {
    /// Thousandths of a core.
    pub capacity: u32,
    /// Rate of its clock against true time.
    pub rate: f64,
    /// Factor on the work of its tasks.
    pub slowness: f64,
    /// When it started.
    pub born: u64,
    /// Longest lease that it grants.
    pub longest_lease_ms: u64,
    /// What runs, by the number of the start.
    pub running: BTreeMap<u64, Work>,
    ended: Vec<Ended>,
    ends: u64,
    until: u64,
    token: u64,
    refused_up_to: HashMap<TaskName, u64>,
}

impl Executor {
    /// Makes a server that runs nothing.
    pub fn new(capacity: u32, rate: f64, slowness: f64, born: u64) -> Self {
        Self {
            capacity,
            rate,
            slowness,
            born,
            longest_lease_ms: LONGEST_LEASE_MS,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            until: 0,
            token: 0,
            refused_up_to: HashMap::new(),
        }
    }

    /// Milliseconds on its clock at the true time `now` in microseconds.
    pub fn clock(&self, now: u64) -> u64 {
        ((now.saturating_sub(self.born)) as f64 * self.rate / 1_000.0) as u64
    }

    fn end(&mut self, number: u64, end: End) {
        if let Some(work) = self.running.remove(&number) {
            self.ends += 1;
            self.refused_up_to.insert(work.name, number);
            self.ended.push(Ended {
                sequence: self.ends,
                start_number: number,
                end,
            });
        }
    }

    /// Renews the lease, to the longest that the platform grants at most.
    fn renew(&mut self, until: u64, now: u64) {
        self.until = self
            .until
            .max(until.min(self.clock(now) + self.longest_lease_ms));
    }

    /// Ends what is due; returns whether anything ended.
    pub fn advance(&mut self, now: u64) -> bool {
        let lapsed = self.clock(now) >= self.until;
        let due: Vec<(u64, End)> = self
            .running
            .iter()
            .filter_map(|(number, work)| match work {
                _ if lapsed => Some((*number, End::Lost)),
                work if work.ends > now => None,
                work if work.stops => Some((*number, End::Lost)),
                work if work.fails => Some((*number, End::Failed)),
                _ => Some((*number, End::Done)),
            })
            .collect();
        let any = !due.is_empty();
        for (number, end) in due {
            self.end(number, end);
        }
        any
    }

    /// Returns what its tasks take of the capacity.
    pub fn used(&self) -> u32 {
        self.running.values().map(|work| work.cpu).sum()
    }

    /// Starts a task unless the lease, the token or the number forbids it.
    pub fn start(
        &mut self,
        number: u64,
        until: u64,
        token: u64,
        work: Work,
        now: u64,
    ) -> StartAnswer {
        self.advance(now);
        if token < self.token {
            return StartAnswer::Fenced;
        }
        self.token = token;
        let old = self
            .refused_up_to
            .get(&work.name)
            .is_some_and(|last| number <= *last);
        if old || until <= self.clock(now) {
            return StartAnswer::Refused;
        }
        self.renew(until, now);
        self.running.insert(number, work);
        StartAnswer::Started
    }

    /// Stops a run until `ends` and refuses it from now on; `false` if the token is too low.
    pub fn stop(&mut self, name: TaskName, number: u64, token: u64, ends: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        let last = self.refused_up_to.entry(name).or_default();
        *last = (*last).max(number);
        if let Some(work) = self.running.get_mut(&number)
            && !work.stops
        {
            work.stops = true;
            work.ends = work.ends.min(ends);
        }
        true
    }

    /// Renews and acknowledges; `None` if the token is too low.
    pub fn hold(&mut self, hold: &LongPoll, now: u64) -> Option<Listing> {
        self.advance(now);
        if hold.token < self.token {
            return None;
        }
        self.token = hold.token;
        self.renew(hold.lease_until_ms.unwrap_or(0), now);
        self.ended
            .retain(|ended| ended.sequence > hold.acknowledged_end);
        Some(self.listing(now))
    }

    /// Returns both lists.
    pub fn listing(&self, now: u64) -> Listing {
        let percent = |work: &Work| {
            let whole = work.ends.saturating_sub(work.began).max(1);
            (now.saturating_sub(work.began) * 100 / whole).min(99) as u8
        };
        Listing {
            started_at_ms: self.born,
            clock_ms: self.clock(now),
            running: self
                .running
                .iter()
                .map(|(number, work)| Running {
                    name: work.name,
                    start_number: *number,
                    percent: percent(work),
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }

    /// Returns whether an end was not acknowledged.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }
}
