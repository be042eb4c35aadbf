//! Connections to entries: permits, reports, and outcomes until they are acknowledged.

use std::collections::VecDeque;

use crate::frame::Outcome;
use crate::job::Task;
use crate::time::Mono;

/// One connection to an entry.
#[derive(Debug, Clone)]
pub struct Link {
    /// Newest stamp of this agent that the entry echoed.
    pub permit: Option<Mono>,
    /// Whether the entry knows what this agent says of itself.
    pub told: bool,
    /// When the next report is due.
    pub next_report: Mono,
    /// Until when reports are frequent.
    pub busy_until: Mono,
    /// Outcomes for the next report.
    pub outcomes: Vec<Outcome>,
    /// Tasks whose outcomes were reported and not acknowledged, oldest first.
    sent: VecDeque<Task>,
    acknowledged: u64,
}

impl Link {
    /// Makes a connection that opened at `now`.
    pub fn new(now: Mono) -> Self {
        Self {
            permit: None,
            told: false,
            next_report: now,
            busy_until: now,
            outcomes: Vec::new(),
            sent: VecDeque::new(),
            acknowledged: 0,
        }
    }

    /// Takes the outcomes for a report.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        let outcomes = std::mem::take(&mut self.outcomes);
        self.sent
            .extend(outcomes.iter().map(|outcome| outcome.task));
        outcomes
    }

    /// Returns the next task whose outcome is among the first `received` of this connection and
    /// was not acknowledged before.
    pub fn acknowledge(&mut self, received: u64) -> Option<Task> {
        if self.acknowledged >= received {
            return None;
        }
        let task = self.sent.pop_front()?;
        self.acknowledged += 1;
        Some(task)
    }

    /// Returns whether every outcome was reported and acknowledged.
    pub fn is_settled(&self) -> bool {
        self.outcomes.is_empty() && self.sent.is_empty()
    }

    /// Returns the tasks whose outcomes were not acknowledged.
    pub fn into_unsettled(self) -> impl Iterator<Item = Task> {
        let waiting = self.outcomes.into_iter().map(|outcome| outcome.task);
        self.sent.into_iter().chain(waiting)
    }
}
