//! Dispatches queued tasks to agents.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use super::super::job::{Step, TaskName};
use super::super::log_line::{LogLine, key_label};
use super::super::message::{DispatchId, ServerState, Start};
use super::agents::Agent;
use super::placement::{Candidate, Demand, queueing_timeout};
use super::selection::{Knowledge, Rating};
use super::separation::{Site, preferred_sites};
use super::{ConnectionKey, Entry, Job, Task, TaskKey, TaskState};
use crate::time::{Monotonic, Now};

/// Number of tasks without a suitable agent after which a round ends, because the tasks behind them
/// need about as much.
const MAX_MISSES_PER_ROUND: usize = 12;

/// Limit, in multiples of the expected run time, on what a lost run tells of the length of its task. A
/// run on a server that hung or died tells nothing, and a far too long estimate would keep the next
/// agent from noticing that its server hangs too.
const MAX_LOST_RUN_FACTOR: u32 = 8;

/// Sort key of queued tasks: tasks that can still meet their objective come before late ones, then
/// earlier latest starts first, then higher priority (a lower number). The order of the fields is
/// the order of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    pub late: bool,
    pub latest_start: Monotonic,
    pub priority: u8,
}

impl Entry {
    /// Dispatches queued tasks, most urgent first. All tasks for one agent go out in one order.
    pub(super) fn dispatch(&mut self, now: Now) {
        if now.mono < self.dispatch_from {
            return;
        }
        self.demote_late_tasks(now.mono);
        let mut orders: BTreeMap<ConnectionKey, Vec<Start>> = BTreeMap::new();
        let mut misses = 0;
        let mut next = self.queued_tasks.first().copied();
        while let Some((urgency, key)) = next
            && misses < MAX_MISSES_PER_ROUND
        {
            self.count_work(1);
            let behind = (Bound::Excluded((urgency, key)), Bound::Unbounded);
            next = self.queued_tasks.range(behind).next().copied();
            match self.choose_agent(key, urgency, now.mono) {
                Some((connection, _wait))
                    if !self.has_current_load(&self.agents[connection], now.mono) =>
                {
                    self.request_frequent_reports(connection, now.mono);
                    misses += 1;
                }
                Some((connection, expected_wait)) => {
                    self.queued_tasks.remove(&(urgency, key));
                    let start = self.assign_task(
                        key,
                        urgency,
                        connection,
                        queueing_timeout(expected_wait),
                        now.mono,
                    );
                    orders.entry(connection).or_default().push(start);
                }
                None => misses += 1,
            }
        }
        for (connection, starts) in orders {
            self.send_order(connection, starts, Vec::new());
        }
    }

    fn demote_late_tasks(&mut self, now: Monotonic) {
        while let Some(&(urgency, key)) = self.queued_tasks.first()
            && !urgency.late
            && urgency.latest_start < now
        {
            self.queued_tasks.pop_first();
            let late = Urgency {
                late: true,
                ..urgency
            };
            self.enqueue(key, late);
        }
    }

    /// Returns the agent to place a task on, and the expected wait there; `None` if no agent can
    /// run the task in time.
    fn choose_agent(
        &mut self,
        key: TaskKey,
        urgency: Urgency,
        now: Monotonic,
    ) -> Option<(ConnectionKey, Duration)> {
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let run_time = self.expected_run_time(job, step);
        let last_useful_end = if urgency.late {
            self.useful_until(job)
        } else {
            urgency
                .latest_start
                .plus(run_time.mul_f64(self.mean_slowdown))
        };
        let demand = Demand {
            needs: step.needs,
            run_time,
            time_left: last_useful_end.since(now),
        };
        let mean_run_time = self.estimates.mean_run_time();
        let mut ratings: Vec<Rating> = Vec::new();
        let mut options: Vec<(ConnectionKey, Duration)> = Vec::new();
        let mut extra_seconds: Vec<Option<f64>> = Vec::new();
        let kind = self.separated_kind(&job.queue.name);
        for (connection, agent) in &self.agents {
            let Some((server, resume_cost)) = self.usable_server(agent, job, now) else {
                continue;
            };
            if !has_label(server, step) || !self.is_below_spread_limit(task, step, connection) {
                continue;
            }
            let candidate = Candidate {
                capacity: server.capacity,
                free: agent.free(),
                queued_cpu: agent.queued_cpu(),
                slowdown: f64::from(agent.load.slowdown),
                mean_run_time: mean_run_time.mul_f64(f64::from(agent.load.slowdown)),
                failed_before: task.failed_on.contains(&agent.number),
                data_factor: self.data_factor(server, step),
            };
            let Some(score) = (self.policy.score)(&candidate, &demand) else {
                continue;
            };
            ratings.push(Rating {
                cost_seconds: score.cost_seconds + resume_cost,
                free_tasks: f64::from(candidate.free.cpu_millicores)
                    / f64::from(demand.needs.cpu_millicores.max(1)),
                knowledge: if resume_cost > 0.0 {
                    Knowledge::Outdated
                } else if agent.is_home {
                    Knowledge::Home
                } else {
                    Knowledge::Current
                },
            });
            options.push((connection, score.expected_wait));
            if let Some(kind) = kind {
                let run_time = demand
                    .run_time
                    .mul_f64(candidate.slowdown * candidate.data_factor);
                extra_seconds.push(self.extra_seconds(agent, kind, demand.needs, run_time));
            }
        }
        if kind.is_some() {
            let sites: Vec<Site> = ratings
                .iter()
                .zip(&options)
                .zip(&extra_seconds)
                .map(|((rating, (_connection, wait)), extra_seconds)| Site {
                    rating: *rating,
                    extra_seconds: *extra_seconds,
                    has_room: wait.is_zero(),
                })
                .collect();
            if let Some(preferred) = preferred_sites(&sites, demand.time_left) {
                ratings = preferred
                    .iter()
                    .map(|&(position, extra)| Rating {
                        cost_seconds: ratings[position].cost_seconds + extra,
                        ..ratings[position]
                    })
                    .collect();
                options = preferred
                    .iter()
                    .map(|&(position, _extra)| options[position])
                    .collect();
            }
        }
        (self.policy.select)(&ratings, demand.time_left, &mut self.random)
            .map(|position| options[position])
    }

    /// Returns the server of an agent if tasks of the job may go there now, and the penalty in
    /// seconds for an agent that first has to send a fresh report.
    fn usable_server<'a>(
        &self,
        agent: &'a Agent,
        job: &Job,
        now: Monotonic,
    ) -> Option<(&'a ServerState, f64)> {
        let accepts_task = |(server, _resume_cost): &(&ServerState, f64)| {
            server.service == job.queue.service && agent.open_slots() > 0
        };
        self.reachable_server(agent, now).filter(accepts_task)
    }

    /// Returns the factor on the run time of the step's tasks on this server: above 1 if their
    /// input data is in another rack.
    pub(super) fn data_factor(&self, server: &ServerState, step: &Step) -> f64 {
        match &step.rack {
            Some(rack) if !server.labels.iter().any(|own| **own == **rack) => {
                self.remote_data_factor
            }
            _ => 1.0,
        }
    }

    /// Returns whether the agent may get one more task of the step, whose `max_tasks_per_server`
    /// limits the tasks per server. A task that the agent got over an earlier connection counts
    /// until it is certainly gone.
    fn is_below_spread_limit(&self, task: &Task, step: &Step, connection: ConnectionKey) -> bool {
        let Some(limit) = step.max_tasks_per_server else {
            return true;
        };
        let this_agent = self.agents[connection].number;
        self.jobs[task.job].spread.count(task.step, this_agent) < limit
    }

    /// Assigns a queued task to an agent and returns the message that starts it there.
    /// `max_queue_time` is how long the task may wait in the agent's queue.
    fn assign_task(
        &mut self,
        key: TaskKey,
        urgency: Urgency,
        connection: ConnectionKey,
        max_queue_time: Duration,
        now: Monotonic,
    ) -> Start {
        self.last_ticket += 1;
        let ticket = DispatchId(self.last_ticket);
        let agent_number = self.agents[connection].number;
        self.set_state(
            key,
            TaskState::Dispatched {
                connection,
                ticket,
                agent_number,
            },
        );
        self.tasks_by_ticket.insert(ticket, key);
        let task = &self.tasks[key];
        let job = &mut self.jobs[task.job];
        job.has_dispatched = true;
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let server = self.agents[connection].server.as_ref();
        let data_factor = server.map_or(1.0, |server| self.data_factor(server, step));
        // A task whose run was stopped after a time takes at least as long. With a lower estimate the
        // next agent would stop it for the same reason. Placement and the end of useful time go by the
        // ordinary estimate: the lost run may have been slow or stalled, which an entry can't tell.
        let expected = self.expected_run_time(job, step);
        let least = task.least_run_time.min(expected * MAX_LOST_RUN_FACTOR);
        let run_time = expected.max(least);
        let start = Start {
            ticket,
            name: TaskName {
                job: job.id,
                step: task.step,
                index: task.index,
            },
            spec: Arc::clone(&job.request.spec),
            needs: step.needs,
            estimate: run_time.mul_f64(data_factor),
            slack_us: urgency.latest_start.0.cast_signed() - now.0.cast_signed(),
            max_queue_time,
            priority: urgency.priority,
            has_failed_elsewhere: task.failures > 0,
            service: Arc::clone(&job.queue.service),
        };
        let waiting = self.queued_tasks.len();
        let job_age_ms = now.since(job.submitted_at).as_millis();
        let kind = self.kind_of(&job.queue.name);
        self.tasks[key].dispatched_estimate = start.estimate;
        let agent = &mut self.agents[connection];
        agent.reserve(&start, kind, now);
        let line = LogLine::new("Sent a task.")
            .with("job", start.name)
            .with("agent", &agent.name)
            .with("connection", key_label(connection))
            .with("age_ms", job_age_ms)
            .with("slack_ms", start.slack_us / 1_000)
            .with("free_cpu", agent.load.free.cpu_millicores)
            .with("pace", agent.load.slowdown)
            .with("estimate_ms", start.estimate.as_millis())
            .with("heard_ms", agent.time_since_report(now).as_millis())
            .with("waiting", waiting);
        self.log(line);
        start
    }
}

/// Returns whether the server has the label that the step requires, if any.
fn has_label(server: &ServerState, step: &Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| server.labels.iter().any(|own| **own == **label))
}
