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
use crate::placement::{AgentKey, PlacementRequest};
use crate::time::{Monotonic, Now};

/// Most tasks of a job in the short lane.
const MAX_SHORT_JOB_TASKS: usize = 8;

/// Weight of a job's size in its rank: the rank is the arrival time plus this many times the time
/// that all agents together need for the job.
pub(super) const RANK_STRETCH: f64 = 10.0;

/// Backlog, as time that all agents together need for it, beyond which tasks take any free slot:
/// none is reserved for short jobs, and no task waits for a faster backend server.
pub(super) const BACKLOG_THRESHOLD_MS: f64 = 100.0;

/// Least time that a permit must still be valid to be used, so that it does not expire on the way
/// to the agent.
const PERMIT_MARGIN: Duration = Duration::from_millis(100);

/// One pass over the queue, which collects the dispatches to each agent in one order.
#[derive(Debug)]
struct DispatchRound {
    epoch_confirmed_at: Monotonic,
    now: Now,
    /// Whether the backlog is over [`BACKLOG_THRESHOLD_MS`].
    is_backlogged: bool,
    places: MemberPositions,
    orders: BTreeMap<AgentKey, Order>,
}

impl Entry {
    /// Puts all tasks of an accepted job into the queue.
    pub(super) fn enqueue(&mut self, job: JobKey, now: Now) {
        let spec = &self.jobs[job].spec;
        let tasks = spec.inputs.len();
        let work_ms = tasks as f64 * self.expected_work_ms(&spec.kind);
        let fleet_ms = work_ms / self.fleet.capacity().max(1.0);
        let rank = now.mono.0 + (RANK_STRETCH * fleet_ms * 1_000.0) as u64;
        let (kind, lane) = (&self.jobs[job].spec.kind, lane_for_tasks(tasks));
        let indices = 0..tasks as u32;
        self.queue
            .push(job, indices, kind, lane, rank, &self.catalogue);
    }

    /// Puts a task that did not start or may run again back into the queue, ahead of the other
    /// tasks of its job or, if none of them waits, of its owner.
    pub(super) fn requeue(&mut self, job: JobKey, index: u32) {
        if self.queue.put_back(job, index) {
            return;
        }
        let spec = &self.jobs[job].spec;
        let lane = lane_for_tasks(spec.inputs.len());
        self.queue
            .push(job, [index], &spec.kind, lane, 0, &self.catalogue);
    }

    /// Returns the expected run time of a task of the kind on a backend server of typical speed,
    /// in milliseconds.
    pub(super) fn expected_work_ms(&self, kind: &str) -> f64 {
        self.fleet.work_ms(kind, self.declared_run_ms(kind))
    }

    /// Returns the run time that the catalogue declares for a kind, in milliseconds; 0 if the
    /// catalogue does not have the kind.
    pub(super) fn declared_run_ms(&self, kind: &str) -> f64 {
        self.catalogue
            .kind(kind)
            .map_or(0.0, |kind| kind.expected_run_ms as f64)
    }

    /// Returns the time in milliseconds that all agents together need for the waiting tasks of all
    /// entries. The other entries are assumed to have as much waiting work as this one.
    pub(super) fn fleet_backlog_ms(&self) -> f64 {
        let flows = self.queue.backlogged_flows();
        let waiting: f64 = flows
            .map(|flow| flow.waiting_tasks as f64 * self.expected_work_ms(&flow.kind))
            .sum();
        waiting * self.row.members.len() as f64 / self.fleet.capacity().max(f64::MIN_POSITIVE)
    }

    /// Sends queued tasks to agents with room, in one order for each agent. The cost grows with
    /// the number of flows and of tasks sent, not with the number of tasks that stay queued.
    pub(super) fn dispatch_queued(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let Some(epoch_confirmed_at) = self.epoch_confirmed_at(now) else {
            return;
        };
        let mut round = DispatchRound {
            epoch_confirmed_at,
            now,
            is_backlogged: self.fleet_backlog_ms() > BACKLOG_THRESHOLD_MS,
            places: self.limit_places(),
            orders: BTreeMap::new(),
        };
        let mut blocked_flows: SmallVec<[FlowKey; 8]> = SmallVec::new();
        while let Some(flow) = self
            .queue
            .next_flow(|flow, _| !blocked_flows.contains(&flow))
        {
            if !self.is_within_limits(flow, &round) {
                blocked_flows.push(flow);
                continue;
            }
            match self.choose_agent(flow, &round, actions) {
                Some(agent) => self.assign_first_task(flow, agent, &mut round),
                None => blocked_flows.push(flow),
            }
        }
        for (key, order) in round.orders {
            if let Some(link) = self.fleet.agents[key].link {
                actions.push(Action::SendOrder { link, order });
            }
        }
    }

    /// Returns the earliest time at which a stamp may have arrived to be used as a permit now. An
    /// older one could expire on its way to the agent.
    fn oldest_usable_receipt(&self, now: Now) -> Monotonic {
        let rest = self.timing.lease_duration.saturating_sub(PERMIT_MARGIN);
        Monotonic(now.mono.0.saturating_sub(rest.as_micros() as u64))
    }

    /// Returns whether the limits of its kind and owner allow one more task of the flow to start.
    fn is_within_limits(&mut self, flow: FlowKey, round: &DispatchRound) -> bool {
        let Some(kind) = self.catalogue.kind(&self.queue.flow(flow).kind) else {
            return true;
        };
        let owner = self.catalogue.owner(&kind.owner);
        self.limits
            .allows_start(kind, owner, &round.places, round.now.mono)
    }

    /// Returns the agent for the next task of a flow, `None` if the task has to wait. If an agent
    /// was skipped because its permit is too old, asks for a newer report or renews the lease.
    fn choose_agent(
        &mut self,
        flow: FlowKey,
        round: &DispatchRound,
        actions: &mut Vec<Action>,
    ) -> Option<AgentKey> {
        let flow = self.queue.flow(flow);
        let wanted = PlacementRequest {
            kind: &flow.kind,
            lane: flow.lane,
            is_backlogged: round.is_backlogged,
        };
        let (epoch, confirmed_at) = (self.row.epoch, round.epoch_confirmed_at);
        let oldest = self.oldest_usable_receipt(round.now);
        let without_permit = Cell::new(None);
        let mut rng = self.rng.clone();
        let chosen = self
            .fleet
            .choose_agent(self.policy, wanted, &mut rng, |key, agent| {
                if !self.is_in_service(agent)
                    || !self.has_ramp_up_room(agent, round.now)
                    || agent.epoch > epoch
                {
                    return false;
                }
                let has_permit = agent.has_permit_not_called_stale(confirmed_at)
                    && agent.has_permit_since(confirmed_at, oldest);
                if !has_permit && without_permit.get().is_none() {
                    without_permit.set(Some(key));
                }
                has_permit
            });
        self.rng = rng;
        if let Some(key) = without_permit.get() {
            self.request_report(key, round.now, actions);
        }
        if chosen.is_none() && self.fleet.has_agent_awaiting_permit(confirmed_at, oldest) {
            self.send_early_heartbeats(round.now, actions);
        }
        chosen
    }

    /// Asks an agent for a report with a new stamp if its last report is too old and it was not
    /// asked a moment ago.
    fn request_report(&mut self, key: AgentKey, now: Now, actions: &mut Vec<Action>) {
        let order = self.empty_order(key);
        let agent = &mut self.fleet.agents[key];
        let is_silent =
            now.mono.since(agent.newest_stamp_received_at()) >= self.timing.report_interval;
        let was_asked = agent
            .report_requested_at
            .is_some_and(|at| now.mono.since(at) < self.timing.report_interval);
        if let Some(link) = agent.link
            && is_silent
            && !was_asked
        {
            agent.report_requested_at = Some(now.mono);
            actions.push(Action::SendOrder { link, order });
        }
    }

    /// Takes the first task of a flow from the queue and adds it to the agent's order.
    fn assign_first_task(&mut self, flow: FlowKey, key: AgentKey, round: &mut DispatchRound) {
        let DispatchRound {
            epoch_confirmed_at,
            now,
            orders,
            ..
        } = round;
        let (lane, owner, work_ms) = {
            let flow = self.queue.flow(flow);
            (
                flow.lane,
                flow.owner.clone(),
                self.expected_work_ms(&flow.kind),
            )
        };
        let Some((job, index)) = self.queue.pop(flow, work_ms) else {
            return;
        };
        let TaskState::Queued { attempts } = self.jobs[job].tasks[index as usize] else {
            return;
        };
        let attempt = attempts + 1;
        let empty_order = self.empty_order(key);
        self.fleet.record_dispatch(key, lane, work_ms);
        let agent = &mut self.fleet.agents[key];
        let order = orders.entry(key).or_insert(empty_order);
        order.permit = agent.permit(*epoch_confirmed_at);
        agent.record_sent_permit(order.permit);
        let record = &mut self.jobs[job];
        record.tasks[index as usize] = TaskState::Dispatched {
            agent: key,
            attempt,
        };
        record.record_step(
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

/// Returns the lane of a job with this number of tasks.
pub(super) fn lane_for_tasks(tasks: usize) -> Lane {
    if tasks <= MAX_SHORT_JOB_TASKS {
        Lane::Short
    } else {
        Lane::Long
    }
}
