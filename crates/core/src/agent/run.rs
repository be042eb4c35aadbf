//! Starts and ends of tasks.

use super::{Action, Agent, Waiting};
use crate::frame::{Dispatch, End, NotStarted, Outcome};
use crate::job::Task;
use crate::time::{Mono, Now};

/// A task that runs at the backend server.
#[derive(Debug, Clone)]
pub struct Running {
    /// Connection that gets its outcome.
    pub link: u64,
    attempt: u32,
    queue_us: u64,
    since: Mono,
}

impl Agent {
    /// Starts queued tasks while slots are free and their permits are fresh.
    pub(super) fn start_ready(&mut self, now: Now, actions: &mut Vec<Action>) {
        while self.running.len() < self.hello.slots as usize {
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            if waiting.epoch < self.epoch {
                self.decline(&waiting, NotStarted::OldEpoch, now);
                continue;
            }
            match self.permit_end(waiting.link) {
                Some(expires) if now.mono <= expires => {
                    self.start(waiting, expires, now, actions);
                }
                _ => self.decline(&waiting, NotStarted::Stale, now),
            }
        }
    }

    /// Returns when the newest permit of a connection expires.
    fn permit_end(&self, link: u64) -> Option<Mono> {
        let permit = self.links.get(&link)?.permit?;
        Some(permit.plus(self.timing.lease))
    }

    fn start(&mut self, waiting: Waiting, expires: Mono, now: Now, actions: &mut Vec<Action>) {
        let queue_us = now.mono.since(waiting.since).as_micros() as u64;
        let Dispatch {
            task,
            attempt,
            kind,
            input,
            timeout_ms,
        } = waiting.dispatch;
        self.ledger.start(task, now.mono);
        let running = Running {
            link: waiting.link,
            attempt,
            queue_us,
            since: now.mono,
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

    pub(super) fn ended(&mut self, task: Task, end: End, now: Now) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let Running {
            link,
            attempt,
            queue_us,
            since,
        } = running;
        let outcome = Outcome {
            task,
            attempt,
            end,
            queue_us,
            run_us: now.mono.since(since).as_micros() as u64,
        };
        let End::NotStarted(reason) = outcome.end else {
            self.ledger.end(outcome.clone(), now.mono);
            return self.tell(link, outcome);
        };
        self.ledger.call_off(task, attempt, reason, now.mono);
        self.tell(link, outcome);
        if reason == NotStarted::Leaving && !self.hello.leaving {
            self.leave(now);
        }
    }
}
