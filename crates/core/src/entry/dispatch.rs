//! Dispatch of queued tasks to agents.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Action, Entry, JobKey, StepKind, TaskState};
use crate::fair_queue::{FlowKey, Lane};
use crate::frame::{Dispatch, Order};
use crate::job::Task;
use crate::limits::MemberPositions;
use crate::placement::{Key, PlacementRequest};
use crate::time::{Monotonic, Now};

/// Most tasks of a job in the short lane.
const SHORT_TASKS: usize = 8;

/// A job's rank is its arrival plus this many times its share of the fleet's time.
pub(super) const RANK_STRETCH: f64 = 10.0;

/// Waiting work, as time of the whole fleet, beyond which no slot is kept back.
pub(super) const PRESSURE_MS: f64 = 100.0;

/// Rest of a permit's life below which it is not used.
const PERMIT_MARGIN: Duration = Duration::from_millis(100);

/// One round of dispatches.
#[derive(Debug)]
struct Round {
    basis: Monotonic,
    now: Now,
    pressed: bool,
    places: MemberPositions,
    orders: BTreeMap<Key, Order>,
}

impl Entry {
    /// Puts all tasks of an accepted job into the queue.
    pub(super) fn enqueue(&mut self, job: JobKey, now: Now) {
        let spec = &self.jobs[job].spec;
        let tasks = spec.inputs.len();
        let work_ms = tasks as f64 * self.work_ms(&spec.kind);
        let share_ms = work_ms / self.fleet.capacity().max(1.0);
        let rank = now.mono.0 + (RANK_STRETCH * share_ms * 1_000.0) as u64;
        let (kind, lane) = (&self.jobs[job].spec.kind, lane(tasks));
        let indices = 0..tasks as u32;
        self.queue
            .push(job, indices, kind, lane, rank, &self.catalogue);
    }

    /// Puts a task that did not start back into the queue, ahead of its owner's other tasks.
    pub(super) fn requeue(&mut self, job: JobKey, index: u32) {
        if self.queue.put_back(job, index) {
            return;
        }
        let spec = &self.jobs[job].spec;
        let lane = lane(spec.inputs.len());
        self.queue
            .push(job, [index], &spec.kind, lane, 0, &self.catalogue);
    }

    /// Returns the expected work of a task of the kind in milliseconds.
    pub(super) fn work_ms(&self, kind: &str) -> f64 {
        self.fleet.work_ms(kind, self.declared_ms(kind))
    }

    pub(super) fn declared_ms(&self, kind: &str) -> f64 {
        self.catalogue
            .kind(kind)
            .map_or(0.0, |kind| kind.expected_run_ms as f64)
    }

    /// Returns the time that the whole fleet needs for what waits at this entry and, by
    /// likeness, at the others, in milliseconds.
    pub(super) fn backlog_ms(&self) -> f64 {
        let flows = self.queue.backlogged_flows();
        let waiting: f64 = flows
            .map(|flow| flow.waiting_tasks as f64 * self.work_ms(&flow.kind))
            .sum();
        waiting * self.row.members.len() as f64 / self.fleet.capacity().max(f64::MIN_POSITIVE)
    }

    /// Sends queued tasks to agents with room, batched by agent. Costs time for each kind with
    /// waiting tasks and for each task that is sent, not for those that go on waiting.
    pub(super) fn dispatch(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let Some(basis) = self.lease_basis(now) else {
            return;
        };
        let mut round = Round {
            basis,
            now,
            pressed: self.backlog_ms() > PRESSURE_MS,
            places: self.places(),
            orders: BTreeMap::new(),
        };
        let mut blocked: SmallVec<[FlowKey; 8]> = SmallVec::new();
        while let Some(flow) = self.queue.next_flow(|flow, _| !blocked.contains(&flow)) {
            if !self.allows(flow, &round) {
                blocked.push(flow);
                continue;
            }
            match self.place(flow, &round, actions) {
                Some(agent) => self.send(flow, agent, &mut round),
                None => blocked.push(flow),
            }
        }
        for (key, order) in round.orders {
            if let Some(link) = self.fleet.agents[key].link {
                actions.push(Action::Order { link, order });
            }
        }
    }

    /// Returns the oldest receipt of a permit that does not lapse on its way to the agent.
    fn oldest_permit(&self, now: Now) -> Monotonic {
        let rest = self.timing.lease_duration.saturating_sub(PERMIT_MARGIN);
        Monotonic(now.mono.0.saturating_sub(rest.as_micros() as u64))
    }

    fn allows(&mut self, flow: FlowKey, round: &Round) -> bool {
        let Some(kind) = self.catalogue.kind(&self.queue.flow(flow).kind) else {
            return true;
        };
        let owner = self.catalogue.owner(&kind.owner);
        self.limits
            .allows_start(kind, owner, &round.places, round.now.mono)
    }

    fn place(&mut self, flow: FlowKey, round: &Round, actions: &mut Vec<Action>) -> Option<Key> {
        let flow = self.queue.flow(flow);
        let wanted = PlacementRequest {
            kind: &flow.kind,
            lane: flow.lane,
            is_backlogged: round.pressed,
        };
        let (epoch, basis) = (self.row.epoch, round.basis);
        let oldest = self.oldest_permit(round.now);
        let idle = Cell::new(None);
        let mut rng = self.rng.clone();
        let chosen = self
            .fleet
            .choose_agent(self.policy, wanted, &mut rng, |key, agent| {
                if !self.in_service(agent)
                    || !self.within_ramp(agent, round.now)
                    || agent.epoch > epoch
                {
                    return false;
                }
                let permitted = agent.has_permit_not_called_stale(basis)
                    && agent.has_permit_since(basis, oldest);
                if !permitted && idle.get().is_none() {
                    idle.set(Some(key));
                }
                permitted
            });
        self.rng = rng;
        if let Some(key) = idle.get() {
            self.ask_for_report(key, round.now, actions);
        }
        if chosen.is_none() && self.fleet.has_agent_awaiting_permit(basis, oldest) {
            self.hasten_beat(round.now, actions);
        }
        chosen
    }

    /// Asks an agent that has reported too long ago for a new stamp.
    fn ask_for_report(&mut self, key: Key, now: Now, actions: &mut Vec<Action>) {
        let order = self.order(key);
        let agent = &mut self.fleet.agents[key];
        let silent =
            now.mono.since(agent.newest_stamp_received_at()) >= self.timing.report_interval;
        let asked = agent
            .report_requested_at
            .is_some_and(|at| now.mono.since(at) < self.timing.report_interval);
        if let Some(link) = agent.link
            && silent
            && !asked
        {
            agent.report_requested_at = Some(now.mono);
            actions.push(Action::Order { link, order });
        }
    }

    /// Sends the first task of a flow to an agent.
    fn send(&mut self, flow: FlowKey, key: Key, round: &mut Round) {
        let Round {
            basis, now, orders, ..
        } = round;
        let (lane, owner, work_ms) = {
            let flow = self.queue.flow(flow);
            (flow.lane, flow.owner.clone(), self.work_ms(&flow.kind))
        };
        let Some((job, index)) = self.queue.pop(flow, work_ms) else {
            return;
        };
        let TaskState::Queued { attempts } = self.jobs[job].tasks[index as usize] else {
            return;
        };
        let attempt = attempts + 1;
        let blank = self.order(key);
        self.fleet.record_dispatch(key, lane, work_ms);
        let agent = &mut self.fleet.agents[key];
        let order = orders.entry(key).or_insert(blank);
        order.permit = agent.permit(*basis);
        agent.record_sent_permit(order.permit);
        let record = &mut self.jobs[job];
        record.tasks[index as usize] = TaskState::Dispatched {
            agent: key,
            attempt,
        };
        record.note(
            *now,
            StepKind::Dispatched {
                index,
                attempt,
                agent: agent.hello.agent.clone(),
            },
        );
        let task = Task {
            job: record.spec.id,
            index,
        };
        self.limits
            .record_start(task, key, &record.spec.kind, &owner);
        order.dispatches.push(Dispatch {
            task,
            attempt,
            kind: record.spec.kind.clone(),
            input: record.spec.inputs[index as usize].clone(),
            timeout_ms: record.deadline.since(now.mono).as_millis() as u64,
        });
    }
}

pub(super) fn lane(tasks: usize) -> Lane {
    if tasks <= SHORT_TASKS {
        Lane::Short
    } else {
        Lane::Long
    }
}
