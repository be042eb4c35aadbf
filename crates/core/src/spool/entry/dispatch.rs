//! From the waiting tasks to the agents.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::super::job::{Step, TaskName};
use super::super::message::{DispatchId, ServerState, Start};
use super::super::note::LogLine;
use super::agents::Agent;
use super::placement::{Candidate, Demand, patience};
use super::{Entry, Job, LinkKey, Place, Task, TaskKey};
use crate::time::{Monotonic, Now};

/// Tasks in a row without a place after which a round ends: those behind need as much.
const FAILURES: usize = 12;

/// Random part of the cost in seconds, so that several entries do not choose alike.
const JITTER: f64 = 0.004;

/// Order among waiting tasks: on time before late, then by the latest start that meets the
/// objective, then by rank of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub late: bool,
    pub latest_start: Monotonic,
    pub priority: u8,
}

impl Entry {
    /// Sends what has a place, most urgent first, in one order for each agent.
    pub(super) fn dispatch(&mut self, now: Now) {
        if now.mono < self.settled {
            return;
        }
        self.demote(now.mono);
        let mut orders: BTreeMap<LinkKey, Vec<Start>> = BTreeMap::new();
        let mut failures = 0;
        let round: Vec<(Rank, TaskKey)> = self.waiting.iter().copied().collect();
        for (rank, key) in round {
            if failures >= FAILURES {
                break;
            }
            match self.choose(key, rank, now.mono) {
                Some((link, _wait)) if !self.is_fresh(&self.agents[link], now.mono) => {
                    self.wake(link, now.mono);
                    failures += 1;
                }
                Some((link, wait)) => {
                    self.waiting.remove(&(rank, key));
                    let start = self.start(key, rank, link, patience(wait), now.mono);
                    orders.entry(link).or_default().push(start);
                }
                None => failures += 1,
            }
        }
        for (link, starts) in orders {
            self.send(link, starts, Vec::new());
        }
    }

    /// Moves tasks that have missed their latest start behind those that can still meet it.
    fn demote(&mut self, now: Monotonic) {
        while let Some(&(rank, key)) = self.waiting.first()
            && !rank.late
            && rank.latest_start < now
        {
            self.waiting.pop_first();
            let late = Rank { late: true, ..rank };
            self.wait(key, late);
        }
    }

    /// Returns the best agent for a task, and the expected wait there.
    fn choose(&mut self, key: TaskKey, rank: Rank, now: Monotonic) -> Option<(LinkKey, Duration)> {
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let run = self.run_time(job, step);
        let last_useful_end = if rank.late {
            self.useful_until(job)
        } else {
            rank.latest_start.plus(run.mul_f64(self.usual_pace))
        };
        let demand = Demand {
            needs: step.needs,
            run,
            left: last_useful_end.since(now),
        };
        let mean_run = self.estimates.mean_run();
        let mut best: Option<(f64, LinkKey, Duration)> = None;
        for (link, agent) in &self.agents {
            let Some((server, wake)) = self.usable(agent, job, now) else {
                continue;
            };
            if !has_label(server, step) || !self.may_spread(task, step, link) {
                continue;
            }
            let candidate = Candidate {
                capacity: server.capacity,
                free: agent.free(),
                queued: agent.queued(),
                pace: f64::from(agent.load.run_time_ratio),
                mean_run: mean_run.mul_f64(f64::from(agent.load.run_time_ratio)),
                tried: task.tried.contains(&agent.number),
                distance: self.distance(server, step),
            };
            let Some(choice) = (self.policy.judge)(&candidate, &demand) else {
                continue;
            };
            let cost = choice.cost + wake + self.random.random::<f64>() * JITTER;
            if best.is_none_or(|(least, _link, _wait)| cost < least) {
                best = Some((cost, link, choice.wait));
            }
        }
        best.map(|(_cost, link, wait)| (link, wait))
    }

    /// Returns the server of an agent if tasks of the job may go there now, and the extra cost if
    /// the agent has to be woken.
    fn usable<'a>(
        &self,
        agent: &'a Agent,
        job: &Job,
        now: Monotonic,
    ) -> Option<(&'a ServerState, f64)> {
        let suits = |(server, _wake): &(&ServerState, f64)| {
            server.service == job.queue.service && agent.open() > 0
        };
        self.reach(agent, now).filter(suits)
    }

    /// Returns the factor on the run time of a task whose data may be elsewhere.
    pub(super) fn distance(&self, server: &ServerState, step: &Step) -> f64 {
        match &step.rack {
            Some(rack) if !server.labels.iter().any(|own| **own == **rack) => self.far,
            _ => 1.0,
        }
    }

    /// Returns whether the server may get one more task of the step.
    fn may_spread(&self, task: &Task, step: &Step, link: LinkKey) -> bool {
        let Some(most) = step.max_tasks_per_server else {
            return true;
        };
        let there = |key: &&TaskKey| {
            let other = &self.tasks[**key];
            other.step == task.step
                && matches!(other.place, Place::Sent { link: at, .. } if at == link)
        };
        let count = self.jobs[task.job].tasks.iter().filter(there).count();
        count < most as usize
    }

    /// Gives a task to an agent.
    fn start(
        &mut self,
        key: TaskKey,
        rank: Rank,
        link: LinkKey,
        patience: Duration,
        now: Monotonic,
    ) -> Start {
        self.last_ticket += 1;
        let ticket = DispatchId(self.last_ticket);
        let task = &mut self.tasks[key];
        task.place = Place::Sent { link, ticket };
        self.sent.insert(ticket, key);
        let task = &self.tasks[key];
        let job = &mut self.jobs[task.job];
        job.offered = true;
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let server = self.agents[link].server.as_ref();
        let distance = server.map_or(1.0, |server| self.distance(server, step));
        let start = Start {
            ticket,
            name: TaskName {
                job: job.id,
                step: task.step,
                index: task.index,
            },
            spec: Arc::clone(&job.request.spec),
            needs: step.needs,
            estimate: self.run_time(job, step).mul_f64(distance),
            slack_us: rank.latest_start.0.cast_signed() - now.0.cast_signed(),
            max_queue_time: patience,
            priority: rank.priority,
            has_failed_elsewhere: task.failures > 0,
            service: Arc::clone(&job.queue.service),
        };
        let waiting = self.waiting.len();
        let waited = now.since(job.arrived).as_millis();
        let agent = &mut self.agents[link];
        agent.reserve(&start, now);
        let note = LogLine::new("Sent a task.")
            .with("job", start.name)
            .with("agent", &agent.name)
            .with("age_ms", waited)
            .with("slack_ms", start.slack_us / 1_000)
            .with("free_cpu", agent.load.free.cpu_millicores)
            .with("pace", agent.load.run_time_ratio)
            .with("heard_ms", agent.silence(now).as_millis())
            .with("waiting", waiting);
        self.note(note);
        start
    }
}

fn has_label(server: &ServerState, step: &Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| server.labels.iter().any(|own| **own == **label))
}
