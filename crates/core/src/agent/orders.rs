//! Orders of entries: dispatches, recalls and queries.

use super::{Action, Agent, BUSY, Record, Waiting};
use crate::frame::{Attempt, Dispatch, End, NotStarted, Order, Outcome};
use crate::job::Task;
use crate::time::Now;

/// Said of a task whose outcome was acknowledged and then dropped.
const DROPPED: &str = "it ended, and an entry has received its output, which is no longer held";

/// Said of a task that cannot be remembered as refused.
const FULL: &str = "the agent's ledger is full; raise its --max-records";

impl Agent {
    pub(super) fn ordered(&mut self, link: u64, order: Order, now: Now, actions: &mut Vec<Action>) {
        let uses_agent =
            order.asks_for_stamp() || !order.dispatches.is_empty() || !order.queries.is_empty();
        if !order.entries.is_empty() {
            actions.push(Action::Attach {
                entries: order.entries,
            });
        }
        if order.agent_incarnation != self.incarnation {
            self.tell_all();
            return actions.push(Action::ForeignOrder);
        }
        let old_epoch = order.epoch < self.epoch;
        self.epoch = self.epoch.max(order.epoch);
        if let Some(state) = self.links.get_mut(&link) {
            if !old_epoch {
                state.permit = state.permit.max(order.permit);
            }
            if uses_agent {
                if now.mono >= state.busy_until {
                    state.next_report = now.mono;
                }
                state.busy_until = now.mono.plus(BUSY);
                state.next_report = state.next_report.min(now.mono.plus(self.timing.report));
            }
        }
        self.acknowledge(link, order.acknowledged);
        for task in order.recalls {
            self.recall(task, now);
        }
        for query in order.queries {
            self.query(link, query, now);
        }
        for dispatch in order.dispatches {
            let waiting = Waiting {
                link,
                dispatch,
                epoch: order.epoch,
                since: now.mono,
            };
            self.take(waiting, old_epoch, now);
        }
    }

    fn acknowledge(&mut self, link: u64, received: u64) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        while let Some(task) = state.acknowledge(received) {
            self.ledger.acknowledge(task);
        }
    }

    /// Queues a dispatch, answers it from the ledger, or refuses it.
    fn take(&mut self, waiting: Waiting, old_epoch: bool, now: Now) {
        let Dispatch { task, attempt, .. } = waiting.dispatch;
        if self.answer_from_ledger(waiting.link, Attempt { task, attempt }) {
            return;
        }
        match self.ledger.record(&task) {
            Some(Record::Declined {
                attempt: last,
                reason,
            }) if attempt <= *last => {
                let reason = *reason;
                return self.decline(&waiting, reason, now);
            }
            Some(Record::Started) => return,
            _ => {}
        }
        if self.queue.contains(&task) {
            return;
        }
        if old_epoch {
            return self.decline(&waiting, NotStarted::OldEpoch, now);
        }
        if self.hello.leaving {
            return self.decline(&waiting, NotStarted::Leaving, now);
        }
        let queue_full = self.queue.len() >= self.hello.slots as usize * self.queue_per_slot;
        if queue_full || self.ledger.is_full(self.queue.len()) {
            return self.decline(&waiting, NotStarted::Full, now);
        }
        self.queue.push(waiting);
    }

    /// Tells the outcome of a task that ended, under the number of the attempt that asks.
    fn answer_from_ledger(&mut self, link: u64, asked: Attempt) -> bool {
        let outcome = match self.ledger.record(&asked.task) {
            Some(Record::Ended { outcome, .. }) => Outcome {
                attempt: asked.attempt,
                ..(**outcome).clone()
            },
            Some(Record::Dropped) => outcome(asked, End::Unknown(DROPPED.to_owned())),
            _ => return false,
        };
        self.tell(link, outcome);
        true
    }

    /// Refuses a dispatch. Each dispatch is sent once over one connection, so a refusal that the
    /// full ledger cannot hold has no second copy to fear.
    pub(super) fn decline(&mut self, waiting: &Waiting, reason: NotStarted, now: Now) {
        let Dispatch { task, attempt, .. } = waiting.dispatch;
        self.ledger.decline(task, attempt, reason, now.mono);
        let queue_us = now.mono.since(waiting.since).as_micros() as u64;
        let refused = Outcome {
            queue_us,
            ..outcome(Attempt { task, attempt }, End::NotStarted(reason))
        };
        self.tell(waiting.link, refused);
    }

    fn recall(&mut self, task: Task, now: Now) {
        if let Some(waiting) = self.queue.remove(&task) {
            self.decline(&waiting, NotStarted::Recalled, now);
        }
    }

    /// Tells what became of an attempt, or promises that it never starts.
    fn query(&mut self, link: u64, query: Attempt, now: Now) {
        let Attempt { task, attempt } = query;
        if let Some(waiting) = self.queue.get_mut(&task) {
            waiting.link = link;
            return;
        }
        if let Some(running) = self.running.get_mut(&task) {
            running.link = link;
            return;
        }
        if self.answer_from_ledger(link, query) {
            return;
        }
        let promised = self
            .ledger
            .decline(task, attempt, NotStarted::Tombstoned, now.mono);
        let end = if promised {
            End::NotStarted(NotStarted::Tombstoned)
        } else {
            End::Unknown(FULL.to_owned())
        };
        self.tell(link, outcome(query, end));
    }
}

fn outcome(attempt: Attempt, end: End) -> Outcome {
    Outcome {
        task: attempt.task,
        attempt: attempt.attempt,
        end,
        queue_us: 0,
        run_us: 0,
    }
}
