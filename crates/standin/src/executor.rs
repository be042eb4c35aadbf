//! Model of a backend server as its agent sees it: the lease, the fencing token and the lists of
//! running and ended tasks. Time is an argument, so that random tests in virtual time and tests
//! with real processes use the same model.
//!
//! Each start of a task has a number. A start is refused if its number is
//! not above that of an earlier start of the task which ended or was stopped.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use ibisspool_core::spool::agent::{Ended, Listing, LongPoll, Running, StartAnswer};
use ibisspool_core::spool::job::TaskName;
use ibisspool_core::spool::message::End;

/// Longest lease in milliseconds that the platform grants.
const DEFAULT_LONGEST_LEASE_MS: u64 = 1_000;

/// A running task. Times are true time in microseconds.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Job and index of the task.
    pub name: TaskName,
    /// Time of the start.
    pub started_us: u64,
    /// Time at which the task ends by itself or, once stopped, by the stop.
    pub ends_at_us: u64,
    /// Whether the task fails when it ends.
    pub will_fail: bool,
    /// Whether the task was told to stop; its end is then [`End::Lost`].
    pub is_stopping: bool,
    /// Processor share in thousandths of a core.
    pub cpu_millis: u32,
}

/// State of a backend server.
#[derive(Debug, Clone)]
pub struct Executor {
    /// Processor capacity in thousandths of a core. The model does not enforce this limit; tests
    /// check [`Executor::used_cpu_millis`] against it.
    pub capacity_cpu_millis: u32,
    /// Rate of the server's clock relative to true time; 1 is exact.
    pub clock_rate: f64,
    /// Factor by which the tests lengthen the run times of tasks on this server.
    pub run_time_factor: f64,
    /// True time of the server's start in microseconds; also identifies the incarnation.
    pub started_us: u64,
    /// Longest lease in milliseconds that the server grants.
    pub longest_lease_ms: u64,
    /// Running tasks by the number of their start.
    pub running: BTreeMap<u64, RunningTask>,
    /// Tasks that ended before their work was done, and the work that was lost with each, in
    /// thousandths of a core times microseconds.
    pub lost_work: Vec<(TaskName, u64)>,
    /// Tasks that have ended as done.
    pub done_tasks: Vec<TaskName>,
    unacknowledged_ends: Vec<Ended>,
    last_sequence: u64,
    lease_until_ms: u64,
    highest_token: u64,
    highest_refused_start: HashMap<TaskName, u64>,
}

impl Executor {
    /// Returns a server that runs nothing and has no lease.
    pub fn new(capacity: u32, rate: f64, slowness: f64, born: u64) -> Self {
        Self {
            capacity_cpu_millis: capacity,
            clock_rate: rate,
            run_time_factor: slowness,
            started_us: born,
            longest_lease_ms: DEFAULT_LONGEST_LEASE_MS,
            running: BTreeMap::new(),
            lost_work: Vec::new(),
            done_tasks: Vec::new(),
            unacknowledged_ends: Vec::new(),
            last_sequence: 0,
            lease_until_ms: 0,
            highest_token: 0,
            highest_refused_start: HashMap::new(),
        }
    }

    /// Returns the server's clock in milliseconds since its start; `now` is true time in
    /// microseconds.
    pub fn clock_ms(&self, now: u64) -> u64 {
        ((now.saturating_sub(self.started_us)) as f64 * self.clock_rate / 1_000.0) as u64
    }

    fn record_end(&mut self, number: u64, end: End) {
        if let Some(work) = self.running.remove(&number) {
            self.last_sequence += 1;
            self.highest_refused_start.insert(work.name, number);
            if end == End::Done {
                self.done_tasks.push(work.name);
            }
            self.unacknowledged_ends.push(Ended {
                sequence: self.last_sequence,
                start_number: number,
                end,
            });
        }
    }

    /// Extends the lease to `until` in milliseconds of the server's clock, at most to the longest
    /// lease from now. A lease never becomes shorter.
    fn extend_lease(&mut self, until: u64, now: u64) {
        self.lease_until_ms = self
            .lease_until_ms
            .max(until.min(self.clock_ms(now) + self.longest_lease_ms));
    }

    /// Ends the tasks that are due, or all if the lease has expired; returns whether any task
    /// ended.
    pub fn end_due_tasks(&mut self, now: u64) -> bool {
        let lease_expired = self.clock_ms(now) >= self.lease_until_ms;
        let due_ends: Vec<(u64, End)> = self
            .running
            .iter()
            .filter_map(|(number, work)| match work {
                _ if lease_expired => Some((*number, End::Lost)),
                work if work.ends_at_us > now => None,
                work if work.is_stopping => Some((*number, End::Lost)),
                work if work.will_fail => Some((*number, End::Failed)),
                _ => Some((*number, End::Done)),
            })
            .collect();
        let has_ended_any = !due_ends.is_empty();
        for (number, end) in due_ends {
            if end == End::Lost
                && let Some(work) = self.running.get(&number)
            {
                let ran_us = now.saturating_sub(work.started_us);
                let lost = ran_us * u64::from(work.cpu_millis);
                self.lost_work.push((work.name, lost));
            }
            self.record_end(number, end);
        }
        has_ended_any
    }

    /// Returns the processor share of all running tasks in thousandths of a core.
    pub fn used_cpu_millis(&self) -> u32 {
        self.running.values().map(|work| work.cpu_millis).sum()
    }

    /// Starts a task and extends the lease to `until`. A fencing token below the highest one seen
    /// gives [`StartAnswer::Fenced`]; an expired lease, or the number of a start that was refused
    /// for good, gives [`StartAnswer::Refused`].
    pub fn start(
        &mut self,
        number: u64,
        until: u64,
        token: u64,
        work: RunningTask,
        now: u64,
    ) -> StartAnswer {
        self.end_due_tasks(now);
        if token < self.highest_token {
            return StartAnswer::Fenced;
        }
        self.highest_token = token;
        let is_refused = self
            .highest_refused_start
            .get(&work.name)
            .is_some_and(|last| number <= *last);
        if is_refused || until <= self.clock_ms(now) {
            return StartAnswer::Refused;
        }
        self.extend_lease(until, now);
        self.running.insert(number, work);
        StartAnswer::Started
    }

    /// Makes a running task end at `ends` at the latest and refuses starts of the task with this
    /// number or a lower one from now on. Returns `false` if the fencing token is below the highest
    /// one seen.
    pub fn stop(&mut self, name: TaskName, number: u64, token: u64, ends: u64) -> bool {
        if token < self.highest_token {
            return false;
        }
        self.highest_token = token;
        let last = self.highest_refused_start.entry(name).or_default();
        *last = (*last).max(number);
        if let Some(work) = self.running.get_mut(&number)
            && !work.is_stopping
        {
            work.is_stopping = true;
            work.ends_at_us = work.ends_at_us.min(ends);
        }
        true
    }

    /// Renews the lease and drops the ends that the agent has acknowledged. Returns `None` if the
    /// fencing token is below the highest one seen.
    pub fn renew_lease(&mut self, hold: &LongPoll, now: u64) -> Option<Listing> {
        self.end_due_tasks(now);
        if hold.token < self.highest_token {
            return None;
        }
        self.highest_token = hold.token;
        self.extend_lease(hold.lease_until_ms.unwrap_or(0), now);
        self.unacknowledged_ends
            .retain(|ended| ended.sequence > hold.acknowledged_end);
        Some(self.listing(now))
    }

    /// Returns the running tasks with their progress and the ends that are not acknowledged.
    pub fn listing(&self, now: u64) -> Listing {
        let percent = |work: &RunningTask| {
            let total_us = work.ends_at_us.saturating_sub(work.started_us).max(1);
            (now.saturating_sub(work.started_us) * 100 / total_us).min(99) as u8
        };
        Listing {
            // The model has no name; its owner fills in the one that a poll gave.
            incarnation: Arc::from(""),
            started_at_ms: self.started_us,
            clock_ms: self.clock_ms(now),
            running: self
                .running
                .iter()
                .map(|(number, work)| Running {
                    name: work.name,
                    start_number: *number,
                    percent: Some(percent(work)),
                })
                .collect(),
            ended: self.unacknowledged_ends.clone(),
            ..Listing::default()
        }
    }

    /// Returns whether an end of a task is not acknowledged yet.
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.unacknowledged_ends.is_empty()
    }
}
