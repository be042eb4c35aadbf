//! Orders that entries send: dispatches, recalls and queries.

use super::{Action, Agent, FREQUENT_REPORTS_AFTER_ORDER, QueuedTask, Record};
use crate::frame::{Attempt, Dispatch, End, NotStarted, Order, Outcome};
use crate::job::Task;
use crate::time::Now;

/// Detail of the outcome of a task whose output was acknowledged and then dropped.
const OUTPUT_DROPPED_DETAIL: &str =
    "the task ended and an entry has received its output, which the agent no longer holds";

/// Detail of the outcome of a queried task that the full ledger cannot record as declined.
const LEDGER_FULL_DETAIL: &str = "the agent's ledger is full; raise its --max-records";

impl Agent {
    /// Applies an order. An order for another incarnation is ignored except for the addresses; the
    /// hello in the next report then tells the entry the present incarnation.
    pub(super) fn handle_order(
        &mut self,
        connection: u64,
        order: Order,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let is_agent_used =
            order.is_stamp_request() || !order.dispatches.is_empty() || !order.queries.is_empty();
        if !order.entries.is_empty() {
            actions.push(Action::Connect {
                entries: order.entries,
            });
        }
        if order.agent_incarnation != self.incarnation {
            self.mark_hello_unsent();
            return actions.push(Action::ForeignOrder);
        }
        let is_epoch_old = order.epoch < self.epoch;
        self.epoch = self.epoch.max(order.epoch);
        if let Some(state) = self.connections.get_mut(&connection) {
            if !is_epoch_old {
                state.permit = state.permit.max(order.permit);
            }
            if is_agent_used {
                if now.mono >= state.frequent_reports_until {
                    state.next_report_at = now.mono;
                }
                state.frequent_reports_until = now.mono.plus(FREQUENT_REPORTS_AFTER_ORDER);
                state.next_report_at = state
                    .next_report_at
                    .min(now.mono.plus(self.timing.report_interval));
            }
        }
        self.acknowledge_outcomes(connection, order.acknowledged);
        for task in order.recalls {
            self.recall_queued(task, now);
        }
        for query in order.queries {
            self.answer_query(connection, query, now);
        }
        for dispatch in order.dispatches {
            let queued = QueuedTask {
                connection,
                dispatch,
                order_epoch: order.epoch,
                queued_at: now.mono,
            };
            self.accept_dispatch(queued, is_epoch_old, now);
        }
    }

    /// Records that an entry has received the first `received` outcomes of a connection.
    fn acknowledge_outcomes(&mut self, connection: u64, received: u64) {
        let Some(state) = self.connections.get_mut(&connection) else {
            return;
        };
        while let Some(task) = state.acknowledge_next(received) {
            self.ledger.record_acknowledgement(task);
        }
    }

    /// Queues a dispatch, answers it from the ledger, or declines it. A repeated dispatch of a task
    /// that is queued or running is ignored.
    fn accept_dispatch(&mut self, queued: QueuedTask, is_epoch_old: bool, now: Now) {
        let Dispatch { task, attempt, .. } = queued.dispatch;
        if self.answer_from_ledger(queued.connection, Attempt { task, attempt }) {
            return;
        }
        match self.ledger.record(&task) {
            Some(Record::Declined {
                attempt: last_declined,
                reason,
            }) if attempt <= *last_declined => {
                let reason = *reason;
                return self.decline_dispatch(&queued, reason, now);
            }
            Some(Record::Started) => return,
            _ => {}
        }
        if self.queue.contains(&task) {
            return;
        }
        if is_epoch_old {
            return self.decline_dispatch(&queued, NotStarted::OldEpoch, now);
        }
        if self.hello.leaving {
            return self.decline_dispatch(&queued, NotStarted::Leaving, now);
        }
        let is_queue_full =
            self.queue.len() >= self.hello.slots as usize * self.max_queued_per_slot;
        if is_queue_full || self.ledger.is_full(self.queue.len()) {
            return self.decline_dispatch(&queued, NotStarted::Full, now);
        }
        self.queue.push(queued);
    }

    /// Reports the recorded outcome of a task that ended, under the attempt number of the request,
    /// and returns whether there is one.
    fn answer_from_ledger(&mut self, connection: u64, asked: Attempt) -> bool {
        let outcome = match self.ledger.record(&asked.task) {
            Some(Record::Ended { outcome, .. }) => Outcome {
                attempt: asked.attempt,
                ..(**outcome).clone()
            },
            Some(Record::OutputDropped) => {
                outcome(asked, End::Unknown(OUTPUT_DROPPED_DETAIL.to_owned()))
            }
            _ => return false,
        };
        self.queue_outcome(connection, outcome);
        true
    }

    /// Reports a dispatch as not started. If the ledger is too full to record that, no later copy
    /// of the dispatch can start the task either, since an entry sends each dispatch only once,
    /// over one connection.
    pub(super) fn decline_dispatch(&mut self, queued: &QueuedTask, reason: NotStarted, now: Now) {
        let Dispatch { task, attempt, .. } = queued.dispatch;
        self.ledger.record_decline(task, attempt, reason, now.mono);
        let queue_us = now.mono.since(queued.queued_at).as_micros() as u64;
        let declined = Outcome {
            queue_us,
            ..outcome(Attempt { task, attempt }, End::NotStarted(reason))
        };
        self.queue_outcome(queued.connection, declined);
    }

    /// Declines a task that an entry takes back, unless the task has started already.
    fn recall_queued(&mut self, task: Task, now: Now) {
        if let Some(queued) = self.queue.remove(&task) {
            self.decline_dispatch(&queued, NotStarted::Recalled, now);
        }
    }

    /// Reports the state of an attempt. An attempt that the agent does not know is recorded as
    /// declined, so that it cannot start if its dispatch arrives later; then the entry may safely
    /// send another one.
    fn answer_query(&mut self, connection: u64, query: Attempt, now: Now) {
        let Attempt { task, attempt } = query;
        if let Some(queued) = self.queue.get_mut(&task) {
            queued.connection = connection;
            return;
        }
        if let Some(running) = self.running.get_mut(&task) {
            running.connection = connection;
            return;
        }
        if self.answer_from_ledger(connection, query) {
            return;
        }
        let is_decline_recorded =
            self.ledger
                .record_decline(task, attempt, NotStarted::Tombstoned, now.mono);
        let end = if is_decline_recorded {
            End::NotStarted(NotStarted::Tombstoned)
        } else {
            End::Unknown(LEDGER_FULL_DETAIL.to_owned())
        };
        self.queue_outcome(connection, outcome(query, end));
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
