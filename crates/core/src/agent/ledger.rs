//! What an agent remembers of each task, so that none starts twice.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::frame::{NotStarted, Outcome};
use crate::job::Task;
use crate::time::Mono;

/// What became of a task at this agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// It started and has not ended.
    Started,
    /// It started and ended.
    Ended {
        /// How.
        outcome: Outcome,
    },
    /// Attempts up to this one were refused; a later one may start.
    Declined {
        /// The highest attempt that was refused.
        attempt: u32,
        /// Why.
        reason: NotStarted,
    },
}

/// Records of all tasks of the window.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    records: HashMap<Task, (Mono, Record)>,
    order: VecDeque<(Mono, Task)>,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
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
        self.put(task, Record::Started, now);
    }

    /// Records the end of a started task.
    pub fn end(&mut self, task: Task, outcome: Outcome, now: Mono) {
        self.put(task, Record::Ended { outcome }, now);
    }

    /// Records that an attempt was refused.
    pub fn decline(&mut self, task: Task, attempt: u32, reason: NotStarted, now: Mono) {
        match self.record(&task) {
            None => self.put(task, Record::Declined { attempt, reason }, now),
            Some(Record::Declined { attempt: last, .. }) if *last < attempt => {
                self.put(task, Record::Declined { attempt, reason }, now);
            }
            Some(_) => {}
        }
    }

    /// Forgets records last changed longer ago than the window.
    pub fn expire(&mut self, now: Mono, window: Duration) {
        while let Some((at, task)) = self.order.front().copied() {
            if now.since(at) <= window {
                return;
            }
            self.order.pop_front();
            if self
                .records
                .get(&task)
                .is_some_and(|(changed, _record)| *changed == at)
            {
                self.records.remove(&task);
            }
        }
    }

    fn put(&mut self, task: Task, record: Record, now: Mono) {
        self.records.insert(task, (now, record));
        self.order.push_back((now, task));
    }
}
