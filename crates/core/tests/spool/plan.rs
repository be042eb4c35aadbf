//! What a run plays, and what is seen in it.

use std::collections::{BTreeMap, HashSet};

use ibisspool_core::spool::entry::Policy;

/// Deliberate mistakes that the checks must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each order looks as if it echoed the newest stamp.
    FreshEcho,
    /// Agents count time on a clock that stands still while they are suspended.
    SteadyClock,
    /// Agents do not notice that an entry is silent.
    Patient,
    /// The lease is five times as long.
    LongLease,
    /// Entries do not learn that a caller has gone.
    NoClose,
    /// Stops never reach the backend server.
    NoStop,
    /// An entry lets an orphan run elsewhere at once.
    HastyOrphans,
}

/// What callers ask for, and what goes wrong.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub entries: usize,
    pub executors: Vec<(u32, f64)>,
    pub mutant: Option<Mutant>,
    /// Share of orders to backend servers that are carried out seconds later.
    pub late_orders: f64,
    /// Share of answers of backend servers that are lost.
    pub lost_answers: f64,
    pub policy: Policy,
    /// Share of the callers that come to the first entry, beside its usual part.
    pub skew: f64,
    /// Whether agents read a clock that moves in steps of a millisecond.
    pub coarse: bool,
    /// Agents that report often to an entry that does not use them.
    pub watched: usize,
    pub faults: Vec<(u64, Fault)>,
    pub jobs: Vec<(u64, Job)>,
    pub end: u64,
}

/// A job of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub id: u64,
    pub queue: usize,
    pub tasks: u32,
    pub cpu: u32,
    pub work: u64,
    pub declared: u64,
    pub budget: u64,
    /// Time after which the caller leaves, at most its budget.
    pub patience: u64,
    /// Whether it fails wherever it runs.
    pub fails: bool,
}

impl Job {
    /// Returns whether it can be served and its caller waits for that.
    pub fn is_owed(&self) -> bool {
        !self.fails && self.patience >= self.budget
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillEntry(usize, u64),
    KillAgent(usize, u64),
    PauseEntry(usize, u64),
    PauseAgent(usize, u64),
    /// Entry, agent, how long, which directions.
    Cut(usize, usize, u64, bool, bool),
    Reset(usize, usize),
    Reborn(usize),
    /// A backend server ends, nobody listens for a time, then it starts again.
    Crash(usize, u64),
    /// Slows a backend server down by a factor for a time.
    Slow(usize, u64, u64),
    /// All that runs on a backend server fails within a few milliseconds, for a time.
    Err(usize, u64),
    /// What is started on a backend server stands still for a time.
    Hang(usize, u64),
    Drain(usize),
    /// The time of day at an agent's VM jumps by milliseconds, ahead or back.
    Step(usize, i64),
}

/// Jobs of one queue.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub asked: u64,
    /// Served within the objective.
    pub in_time: u64,
    /// Served within three objectives.
    pub late: u64,
}

/// What callers saw, and what was broken.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub starts: u64,
    pub completed: u64,
    pub refused: u64,
    pub expired: u64,
    pub failed: u64,
    pub resubmitted: u64,
    /// Messages from agents to entries.
    pub reports: u64,
    /// By queue.
    pub(super) tallies: BTreeMap<usize, Tally>,
    /// By queue and the second in which the job came.
    pub(super) seconds: BTreeMap<(usize, u64), Tally>,
    /// Times until refusals.
    pub refused_after: Vec<u64>,
    pub violations: Vec<String>,
}

impl Seen {
    /// Returns the jobs of a queue that came in a span of seconds.
    pub fn tally_within(&self, queue: usize, seconds: std::ops::Range<u64>) -> Tally {
        let within = self
            .seconds
            .range((queue, seconds.start)..(queue, seconds.end));
        within.fold(Tally::default(), |sum, (_key, tally)| Tally {
            asked: sum.asked + tally.asked,
            in_time: sum.in_time + tally.in_time,
            late: sum.late + tally.late,
        })
    }

    pub(super) fn count(&mut self, queue: usize, came: u64, add: fn(&mut Tally)) {
        add(self.tallies.entry(queue).or_default());
        add(self.seconds.entry((queue, came / 1_000_000)).or_default());
    }

    /// Returns the jobs of a queue.
    pub fn tally(&self, queue: usize) -> Tally {
        self.tallies.get(&queue).copied().unwrap_or_default()
    }
}

/// Returns the ids in use once, so that a fixture cannot give one to two jobs.
pub fn distinct(jobs: &[(u64, Job)]) -> bool {
    let mut seen = HashSet::new();
    jobs.iter().all(|(_at, job)| seen.insert(job.id))
}
