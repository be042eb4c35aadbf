//! Dispatch of queued tasks to agents.

use std::collections::{HashMap, VecDeque};

use super::{Action, Entry, JobKey, StepKind, TaskState};
use crate::frame::{Dispatch, Order};
use crate::job::Task;
use crate::placement::Key;
use crate::time::{Mono, Now};

impl Entry {
    /// Sends queued tasks to agents with room, batched by agent.
    pub(super) fn dispatch(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let Some(basis) = self.lease_basis(now) else {
            return;
        };
        let mut orders: HashMap<Key, Order> = HashMap::new();
        let mut waiting = VecDeque::new();
        let mut full: Vec<String> = Vec::new();
        while let Some((job, index)) = self.queue.pop_front() {
            let Some(attempts) = self.queued_attempts(job, index) else {
                continue;
            };
            let kind = self.jobs[job].spec.kind.clone();
            if full.contains(&kind) {
                waiting.push_back((job, index));
                continue;
            }
            if let Some(agent) = self.place(job, basis, now, actions) {
                self.send(job, index, attempts + 1, agent, basis, now, &mut orders);
            } else {
                full.push(kind);
                waiting.push_back((job, index));
            }
        }
        self.queue = waiting;
        for (key, order) in orders {
            if let Some(link) = self.fleet.agents[key].link {
                actions.push(Action::Order { link, order });
            }
        }
    }

    fn queued_attempts(&self, job: JobKey, index: u32) -> Option<u32> {
        match self.jobs.get(job)?.tasks.get(index as usize)? {
            TaskState::Queued { attempts } => Some(*attempts),
            _ => None,
        }
    }

    fn place(
        &mut self,
        job: JobKey,
        basis: Mono,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Key> {
        let name = &self.jobs[job].spec.kind;
        let declared_ms = self
            .catalogue
            .kind(name)
            .map_or(0.0, |kind| kind.expected_run_ms as f64);
        let epoch = self.row.epoch;
        let chosen = self.fleet.choose(name, declared_ms, |agent| {
            self.in_service(agent)
                && self.within_ramp(agent, now)
                && agent.epoch <= epoch
                && agent.has_fresh_permit(basis)
        });
        if chosen.is_none() && self.fleet.lacks_permit(basis) {
            self.hasten_beat(now, actions);
        }
        chosen
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one step of a dispatch round, private to it"
    )]
    fn send(
        &mut self,
        job: JobKey,
        index: u32,
        attempt: u32,
        key: Key,
        basis: Mono,
        now: Now,
        orders: &mut HashMap<Key, Order>,
    ) {
        let blank = self.order(key);
        let agent = &mut self.fleet.agents[key];
        agent.outstanding += 1;
        agent.unreported += 1;
        let order = orders.entry(key).or_insert(blank);
        order.permit = agent.permit(basis);
        agent.record_permit(order.permit);
        let record = &mut self.jobs[job];
        record.tasks[index as usize] = TaskState::Dispatched {
            agent: key,
            attempt,
        };
        record.note(
            now,
            StepKind::Dispatched {
                index,
                attempt,
                agent: agent.hello.agent.clone(),
            },
        );
        order.dispatches.push(Dispatch {
            task: Task {
                job: record.spec.id,
                index,
            },
            attempt,
            kind: record.spec.kind.clone(),
            input: record.spec.inputs[index as usize].clone(),
            timeout_ms: record.deadline.since(now.mono).as_millis() as u64,
        });
    }
}
