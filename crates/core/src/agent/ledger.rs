//! What an agent remembers of each task, so that none starts twice.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::frame::{End, NotStarted, Outcome};
use crate::job::Task;
use crate::time::Mono;

/// One in this many records is kept for refusals when no new task is taken.
const REFUSALS_SHARE: usize = 8;

/// What became of a task at this agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// It started and has not ended.
    Started,
    /// It started and ended.
    Ended {
        /// How.
        outcome: Box<Outcome>,
        /// Whether an entry has received the outcome.
        acknowledged: bool,
    },
    /// It started and ended; its output was acknowledged and is no longer held.
    Dropped,
    /// Attempts up to this one were refused; a later one may start.
    Declined {
        /// The highest attempt that was refused.
        attempt: u32,
        /// Why.
        reason: NotStarted,
    },
}

/// Bounds on the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Tasks remembered; no new task is taken beyond it.
    pub records: usize,
    /// Bytes of outputs held. Acknowledged outputs beyond it are dropped, oldest first, and no
    /// new task is taken while the others alone exceed it.
    pub output_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            records: 300_000,
            output_bytes: 32 << 20,
        }
    }
}

/// Records of all tasks of the window.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    records: HashMap<Task, (Mono, Record)>,
    /// Expiries of the records that are not running, oldest first.
    order: VecDeque<(Mono, Task)>,
    running: usize,
    output_bytes: usize,
    acknowledged: VecDeque<Task>,
    bounds: Bounds,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the bounds.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns what is remembered of a task.
    pub fn record(&self, task: &Task) -> Option<&Record> {
        self.records.get(task).map(|(_at, record)| record)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the outputs held.
    pub fn output_bytes(&self) -> usize {
        self.output_bytes
    }

    /// Returns whether the ledger has no room to start another task besides `queued` ones. A
    /// share of the records is kept for refusals.
    pub fn is_full(&self, queued: usize) -> bool {
        let kept = self.bounds.records / REFUSALS_SHARE;
        self.order.len() + self.running + queued + kept >= self.bounds.records
            || self.output_bytes > self.bounds.output_bytes
    }

    /// Records a start.
    ///
    /// # Panics
    /// Ends the process if the task started before: a stop is safe, a second start is not.
    pub fn start(&mut self, task: Task, now: Mono) {
        let known = self.record(&task);
        assert!(
            matches!(known, None | Some(Record::Declined { .. })),
            "invariant broken: task {} of job {} would start twice; keep the logs and report them",
            task.index,
            task.job
        );
        self.records.insert(task, (now, Record::Started));
        self.running += 1;
    }

    /// Records the end of a running task.
    pub fn end(&mut self, outcome: Outcome, now: Mono) {
        self.running -= 1;
        self.output_bytes += output_bytes(&outcome);
        let task = outcome.task;
        let record = Record::Ended {
            outcome: Box::new(outcome),
            acknowledged: false,
        };
        self.put(task, record, now);
    }

    /// Records that a start was called off before anything was sent to the backend server.
    pub fn call_off(&mut self, task: Task, attempt: u32, reason: NotStarted, now: Mono) {
        self.running -= 1;
        self.put(task, Record::Declined { attempt, reason }, now);
    }

    /// Records that an attempt was refused; returns whether the record says so, which it does not
    /// when the task has started or the ledger is full.
    pub fn decline(&mut self, task: Task, attempt: u32, reason: NotStarted, now: Mono) -> bool {
        match self.record(&task) {
            None if self.order.len() + self.running >= self.bounds.records => false,
            None => {
                self.put(task, Record::Declined { attempt, reason }, now);
                true
            }
            Some(Record::Declined { attempt: last, .. }) => {
                if *last < attempt {
                    self.put(task, Record::Declined { attempt, reason }, now);
                }
                true
            }
            Some(_) => false,
        }
    }

    /// Records that an entry has received the outcome of a task.
    pub fn acknowledge(&mut self, task: Task) {
        let Some((_at, Record::Ended { acknowledged, .. })) = self.records.get_mut(&task) else {
            return;
        };
        if !std::mem::replace(acknowledged, true) {
            self.acknowledged.push_back(task);
        }
        self.drop_outputs();
    }

    /// Forgets records last changed longer ago than the window and names them. Running tasks
    /// stay.
    pub fn expire<F>(&mut self, now: Mono, window: Duration, mut forgotten: F)
    where
        F: FnMut(&Task),
    {
        while let Some((at, task)) = self.order.front().copied() {
            if now.since(at) <= window {
                break;
            }
            self.order.pop_front();
            if self
                .records
                .get(&task)
                .is_some_and(|(changed, record)| *changed == at && *record != Record::Started)
            {
                self.forget(&task);
                forgotten(&task);
            }
        }
        while let Some(task) = self.acknowledged.front()
            && !self.records.contains_key(task)
        {
            self.acknowledged.pop_front();
        }
    }

    fn drop_outputs(&mut self) {
        while self.output_bytes > self.bounds.output_bytes {
            let Some(task) = self.acknowledged.pop_front() else {
                return;
            };
            if let Some((_at, record)) = self.records.get_mut(&task)
                && let Record::Ended { outcome, .. } = record
            {
                self.output_bytes -= output_bytes(outcome);
                *record = Record::Dropped;
            }
        }
    }

    fn forget(&mut self, task: &Task) {
        if let Some((_at, Record::Ended { outcome, .. })) = self.records.remove(task) {
            self.output_bytes -= output_bytes(&outcome);
        }
    }

    fn put(&mut self, task: Task, record: Record, now: Mono) {
        self.records.insert(task, (now, record));
        self.order.push_back((now, task));
    }
}

fn output_bytes(outcome: &Outcome) -> usize {
    match &outcome.end {
        End::Done(output) => output.len(),
        End::Failed(detail) | End::Unknown(detail) => detail.len(),
        End::NotStarted(_) => 0,
    }
}
