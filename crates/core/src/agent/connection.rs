//! State of one connection to an entry: its permit, when to report, and unacknowledged outcomes.

use std::collections::VecDeque;

use crate::frame::Outcome;
use crate::job::Task;
use crate::time::Monotonic;

/// One connection to an entry.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Latest timestamp of this agent's clock that the entry has echoed in an order.
    pub permit: Option<Monotonic>,
    /// Whether the entry was sent the present [`crate::frame::Hello`].
    pub is_hello_sent: bool,
    /// When the next report is due.
    pub next_report_at: Monotonic,
    /// Until when reports are sent at the shorter interval, because the entry uses this agent.
    pub frequent_reports_until: Monotonic,
    /// Outcomes for the next report.
    pub unreported: Vec<Outcome>,
    /// Tasks whose outcomes were reported but not yet acknowledged, oldest first.
    unacknowledged: VecDeque<Task>,
    /// Number of outcomes that the entry has acknowledged on this connection.
    acknowledged_count: u64,
}

impl Connection {
    /// Creates the state of a connection that was opened at `now`. The first report is due at once.
    pub fn new(now: Monotonic) -> Self {
        Self {
            permit: None,
            is_hello_sent: false,
            next_report_at: now,
            frequent_reports_until: now,
            unreported: Vec::new(),
            unacknowledged: VecDeque::new(),
            acknowledged_count: 0,
        }
    }

    /// Returns the outcomes for a report and marks them as awaiting acknowledgement.
    pub fn take_unreported(&mut self) -> Vec<Outcome> {
        let outcomes = std::mem::take(&mut self.unreported);
        self.unacknowledged
            .extend(outcomes.iter().map(|outcome| outcome.task));
        outcomes
    }

    /// Marks the oldest unacknowledged outcome as acknowledged and returns its task; `None` once
    /// `acknowledged_total` outcomes of this connection are acknowledged.
    pub fn acknowledge_next(&mut self, acknowledged_total: u64) -> Option<Task> {
        if self.acknowledged_count >= acknowledged_total {
            return None;
        }
        let task = self.unacknowledged.pop_front()?;
        self.acknowledged_count += 1;
        Some(task)
    }

    /// Returns whether every outcome was reported and acknowledged.
    pub fn has_only_acknowledged_outcomes(&self) -> bool {
        self.unreported.is_empty() && self.unacknowledged.is_empty()
    }

    /// Returns the tasks whose outcomes were not acknowledged.
    pub fn into_unacknowledged_tasks(self) -> impl Iterator<Item = Task> {
        let unreported = self.unreported.into_iter().map(|outcome| outcome.task);
        self.unacknowledged.into_iter().chain(unreported)
    }
}
