//! Deduplication table of an agent: one record per recent task, so that no task starts twice.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::frame::{End, NotStarted, Outcome};
use crate::job::Task;
use crate::time::Monotonic;

/// One in this many records is reserved for declined attempts, so that a ledger which accepts no
/// new tasks can still record that it declined them.
const DECLINE_RESERVE_DIVISOR: usize = 8;

/// State of a task at this agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The task started and has not ended.
    Started,
    /// The task started and ended.
    Ended {
        /// How the task ended.
        outcome: Box<Outcome>,
        /// Whether an entry has received the outcome.
        acknowledged: bool,
    },
    /// The task started and ended; its output was acknowledged and then dropped to free memory.
    OutputDropped,
    /// Attempts up to this one were declined; a later attempt may start the task.
    Declined {
        /// Highest attempt that was declined.
        attempt: u32,
        /// Reason given for that attempt.
        reason: NotStarted,
    },
}

/// Memory bounds of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of records. New tasks are declined when it is reached.
    pub max_records: usize,
    /// Maximum bytes of stored outputs. Beyond it, acknowledged outputs are dropped, oldest first;
    /// new tasks are declined while the unacknowledged outputs alone exceed it.
    pub max_output_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_records: 300_000,
            max_output_bytes: 32 << 20,
        }
    }
}

/// Records of all tasks of the retention window, [`crate::settings::Timing::retention_window`].
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    records: HashMap<Task, (Monotonic, Record)>,
    /// Times at which records other than [`Record::Started`] were written, oldest first. An element
    /// is outdated if its record was written again later.
    expiry_queue: VecDeque<(Monotonic, Task)>,
    running_count: usize,
    output_bytes: usize,
    /// Tasks whose outputs may be dropped, in the order of their acknowledgement.
    acknowledged_tasks: VecDeque<Task>,
    bounds: Bounds,
}

impl Ledger {
    /// Creates an empty ledger with default bounds.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the bounds.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns the record of a task.
    pub fn record(&self, task: &Task) -> Option<&Record> {
        self.records.get(task).map(|(_at, record)| record)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total bytes of stored outputs and error details.
    pub fn output_bytes(&self) -> usize {
        self.output_bytes
    }

    /// Returns whether the ledger has no room for another task in addition to `queued` ones that
    /// have not started. The records reserved for declined attempts do not count as room.
    pub fn is_full(&self, queued: usize) -> bool {
        let reserved = self.bounds.max_records / DECLINE_RESERVE_DIVISOR;
        self.expiry_queue.len() + self.running_count + queued + reserved >= self.bounds.max_records
            || self.output_bytes > self.bounds.max_output_bytes
    }

    /// Records that a task starts.
    ///
    /// # Panics
    /// Panics if the task has started before: ending the process is safe, a second start is not.
    pub fn record_start(&mut self, task: Task, now: Monotonic) {
        let previous = self.record(&task);
        assert!(
            matches!(previous, None | Some(Record::Declined { .. })),
            "invariant broken: task {} of job {} would start twice; keep the logs and report them",
            task.index,
            task.job
        );
        self.records.insert(task, (now, Record::Started));
        self.running_count += 1;
    }

    /// Records the end of a running task.
    pub fn record_end(&mut self, outcome: Outcome, now: Monotonic) {
        self.running_count -= 1;
        self.output_bytes += output_bytes(&outcome);
        let task = outcome.task;
        let record = Record::Ended {
            outcome: Box::new(outcome),
            acknowledged: false,
        };
        self.insert_expiring(task, record, now);
    }

    /// Records that a start was abandoned before anything was sent to the backend server. The task
    /// counts as declined, so a later attempt may start it.
    pub fn record_abandoned_start(
        &mut self,
        task: Task,
        attempt: u32,
        reason: NotStarted,
        now: Monotonic,
    ) {
        self.running_count -= 1;
        self.insert_expiring(task, Record::Declined { attempt, reason }, now);
    }

    /// Records that an attempt was declined. Returns `false`, and records nothing, if the task has
    /// started or the ledger is full.
    pub fn record_decline(
        &mut self,
        task: Task,
        attempt: u32,
        reason: NotStarted,
        now: Monotonic,
    ) -> bool {
        match self.record(&task) {
            None if self.expiry_queue.len() + self.running_count >= self.bounds.max_records => {
                false
            }
            None => {
                self.insert_expiring(task, Record::Declined { attempt, reason }, now);
                true
            }
            Some(Record::Declined {
                attempt: last_declined,
                ..
            }) => {
                if *last_declined < attempt {
                    self.insert_expiring(task, Record::Declined { attempt, reason }, now);
                }
                true
            }
            Some(_) => false,
        }
    }

    /// Records that an entry has received the outcome of a task.
    pub fn record_acknowledgement(&mut self, task: Task) {
        let Some((_at, Record::Ended { acknowledged, .. })) = self.records.get_mut(&task) else {
            return;
        };
        if !std::mem::replace(acknowledged, true) {
            self.acknowledged_tasks.push_back(task);
        }
        self.drop_acknowledged_outputs();
    }

    /// Removes records that were written longer ago than `window` and calls `on_expired` with each
    /// task. Records of running tasks are kept.
    pub fn expire<F>(&mut self, now: Monotonic, window: Duration, mut on_expired: F)
    where
        F: FnMut(&Task),
    {
        while let Some((at, task)) = self.expiry_queue.front().copied() {
            if now.since(at) <= window {
                break;
            }
            self.expiry_queue.pop_front();
            if self
                .records
                .get(&task)
                .is_some_and(|(changed, record)| *changed == at && *record != Record::Started)
            {
                self.remove_record(&task);
                on_expired(&task);
            }
        }
        while let Some(task) = self.acknowledged_tasks.front()
            && !self.records.contains_key(task)
        {
            self.acknowledged_tasks.pop_front();
        }
    }

    /// Drops acknowledged outputs, oldest first, until the stored bytes are within the bound.
    fn drop_acknowledged_outputs(&mut self) {
        while self.output_bytes > self.bounds.max_output_bytes {
            let Some(task) = self.acknowledged_tasks.pop_front() else {
                return;
            };
            if let Some((_at, record)) = self.records.get_mut(&task)
                && let Record::Ended { outcome, .. } = record
            {
                self.output_bytes -= output_bytes(outcome);
                *record = Record::OutputDropped;
            }
        }
    }

    fn remove_record(&mut self, task: &Task) {
        if let Some((_at, Record::Ended { outcome, .. })) = self.records.remove(task) {
            self.output_bytes -= output_bytes(&outcome);
        }
    }

    /// Writes a record that expires after the retention window.
    fn insert_expiring(&mut self, task: Task, record: Record, now: Monotonic) {
        self.records.insert(task, (now, record));
        self.expiry_queue.push_back((now, task));
    }
}

fn output_bytes(outcome: &Outcome) -> usize {
    match &outcome.end {
        End::Done(output) => output.len(),
        End::Failed(detail) | End::Unknown(detail) => detail.len(),
        End::NotStarted(_) => 0,
    }
}
