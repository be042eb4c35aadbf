//! Starts and ends of tasks.

use super::{Action, Agent, QueuedTask};
use crate::frame::{Dispatch, End, NotStarted, Outcome};
use crate::job::Task;
use crate::time::{Monotonic, Now};

/// A task that runs at the backend server.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Connection over which the outcome is reported.
    pub connection: u64,
    attempt: u32,
    queue_us: u64,
    started_at: Monotonic,
}

impl Agent {
    /// Starts queued tasks while slots are free. A task whose permit has expired or whose order is
    /// of an older epoch is declined instead, so that the entry dispatches it again.
    pub(super) fn start_queued_tasks(&mut self, now: Now, actions: &mut Vec<Action>) {
        while self.running.len() < self.hello.slots as usize {
            let Some(queued) = self.queue.pop() else {
                return;
            };
            if queued.order_epoch < self.epoch {
                self.decline_dispatch(&queued, NotStarted::OldEpoch, now);
                continue;
            }
            match self.permit_expiry(queued.connection) {
                Some(expires) if now.mono <= expires => {
                    self.start_task(queued, expires, now, actions);
                }
                _ => self.decline_dispatch(&queued, NotStarted::Stale, now),
            }
        }
    }

    /// Returns when the latest permit of a connection expires, `None` without a connection or
    /// permit.
    fn permit_expiry(&self, connection: u64) -> Option<Monotonic> {
        let permit = self.connections.get(&connection)?.permit?;
        Some(permit.plus(self.timing.lease_duration))
    }

    fn start_task(
        &mut self,
        queued: QueuedTask,
        expires: Monotonic,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let queue_us = now.mono.since(queued.queued_at).as_micros() as u64;
        let Dispatch {
            task,
            attempt,
            kind,
            input,
            timeout_ms,
        } = queued.dispatch;
        self.ledger.record_start(task, now.mono);
        let running = RunningTask {
            connection: queued.connection,
            attempt,
            queue_us,
            started_at: now.mono,
        };
        self.running.insert(task, running);
        actions.push(Action::Start {
            task,
            kind,
            input,
            timeout_ms,
            expires,
        });
    }

    /// Records and reports the end of a started task. A task that never reached the backend server
    /// counts as not started and may be dispatched again.
    pub(super) fn handle_task_end(&mut self, task: Task, end: End, now: Now) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let RunningTask {
            connection,
            attempt,
            queue_us,
            started_at,
        } = running;
        let outcome = Outcome {
            task,
            attempt,
            end,
            queue_us,
            run_us: now.mono.since(started_at).as_micros() as u64,
        };
        let End::NotStarted(reason) = outcome.end else {
            self.ledger.record_end(outcome.clone(), now.mono);
            return self.queue_outcome(connection, outcome);
        };
        self.ledger
            .record_abandoned_start(task, attempt, reason, now.mono);
        self.queue_outcome(connection, outcome);
        if reason == NotStarted::Leaving && !self.hello.leaving {
            self.start_leaving(now);
        }
    }
}
