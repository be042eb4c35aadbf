//! Agents: their connections, reports and the outcomes of tasks.

use std::collections::VecDeque;
use std::time::Duration;

use super::super::job::Resources;
use super::super::message::{
    AgentHello, DeclineReason, DispatchId, End, Load, Order, Outcome, Report, ServerState, Start,
    Timestamp,
};
use super::super::note::LogLine;
use super::estimate::usual_pace;
use super::gossip::untold;
use super::watch::Watch;
use super::{Action, Entry, LinkKey, Place, TaskKey};
use crate::rendezvous::weight;
use crate::time::{Monotonic, Now};

/// Part of the silence bound after which an agent without reports gets no new task.
const FRESH_PART: f64 = 0.8;

/// Pause between two signs of life to an agent; it asks about every 90 ms.
const RENEW_PAUSE: Duration = Duration::from_millis(50);

/// Time after which an agent without our tasks gets a sign of life, so that it can tell a silent
/// connection from an idle one.
const IDLE_PAUSE: Duration = Duration::from_millis(400);

/// What was sent and is not yet in a report.
#[derive(Debug, Clone, Copy)]
struct Pending {
    sequence: u64,
    needs: Resources,
}

/// A connected agent.
#[derive(Debug)]
pub(super) struct Agent {
    pub name: String,
    pub number: u32,
    pub data_centre: String,
    pub server: Option<ServerState>,
    pub load: Load,
    stamp: Option<Timestamp>,
    heard: Monotonic,
    sequence: u64,
    order_sent: Monotonic,
    out_of_service_sent: u64,
    /// How many of the entries it was told.
    members_told: usize,
    pending: VecDeque<Pending>,
    pub sent: usize,
    pub watch: Watch,
    /// Order among the agents that this entry watches; the lowest come first.
    pub rank: u64,
    /// When it last got a task of ours or was woken.
    pub used: Monotonic,
}

impl Agent {
    /// Returns the room left after everything sent.
    pub fn free(&self) -> Resources {
        self.pending
            .iter()
            .fold(self.load.free, |free, pending| free.without(&pending.needs))
    }

    /// Returns what waits there needs, with what was sent beyond its room.
    pub fn queued(&self) -> f64 {
        let sent: f64 = self
            .pending
            .iter()
            .map(|pending| f64::from(pending.needs.cpu_millicores))
            .sum();
        f64::from(self.load.queued_cpu) + (sent - f64::from(self.load.free.cpu_millicores)).max(0.0)
    }

    /// Counts a task that goes along with the next order.
    pub fn reserve(&mut self, start: &Start, now: Monotonic) {
        self.sent += 1;
        self.watch = Watch::Close;
        self.used = now;
        self.pending.push_back(Pending {
            sequence: self.sequence + 1,
            needs: start.needs,
        });
    }

    /// Returns the time since the last report.
    pub fn silence(&self, now: Monotonic) -> Duration {
        now.since(self.heard)
    }

    /// Returns how many more tasks it takes.
    pub fn open(&self) -> u32 {
        self.load
            .open_slots
            .saturating_sub(self.pending.len() as u32)
    }
}

impl Entry {
    /// Notes a new connection of an agent.
    pub fn connect(&mut self, hello: AgentHello, now: Now) -> LinkKey {
        let next = self.numbers.len() as u32;
        let number = *self.numbers.entry(hello.name.clone()).or_insert(next);
        let note = LogLine::new("An agent connected.")
            .with("agent", &hello.name)
            .with("data_centre", &hello.data_centre);
        self.note(note);
        let rank = weight(&self.members[0].name, hello.name.as_bytes());
        self.agents.insert(Agent {
            name: hello.name,
            number,
            data_centre: hello.data_centre,
            server: None,
            load: Load::default(),
            stamp: None,
            heard: now.mono,
            sequence: 0,
            order_sent: Monotonic(0),
            out_of_service_sent: 0,
            members_told: 0,
            pending: VecDeque::new(),
            sent: 0,
            watch: Watch::Close,
            rank,
            used: now.mono,
        })
    }

    /// Notes the end of a connection. Its tasks may run on until the safety bound has passed or
    /// the agent says that they are gone.
    pub fn disconnect(&mut self, link: LinkKey, now: Now) {
        self.expire(now);
        let Some(agent) = self.agents.remove(link) else {
            return;
        };
        let until = now.mono.plus(self.safety.max_overrun());
        let mut orphans = 0;
        for task in self.tasks.values_mut() {
            if let Place::Sent { link: at, ticket } = task.place
                && at == link
            {
                self.sent.remove(&ticket);
                task.place = Place::Orphan {
                    agent: agent.number,
                    until,
                };
                self.jobs[task.job].started = true;
                orphans += 1;
            }
        }
        let note = LogLine::warn("Lost the connection of an agent.")
            .with("agent", &agent.name)
            .with("tasks", orphans)
            .with("silent_ms", now.mono.since(agent.heard).as_millis());
        self.note(note);
        self.dispatch(now);
    }

    /// Handles a report.
    pub fn report(&mut self, link: LinkKey, report: Report, now: Now) {
        self.expire(now);
        let Some(agent) = self.agents.get_mut(link) else {
            return;
        };
        agent.heard = now.mono;
        agent.stamp = Some(report.sent_at);
        if let Watch::Woken(_) = agent.watch {
            agent.watch = Watch::Close;
        }
        let same_pace = agent.load.run_time_ratio.to_bits() == report.load.run_time_ratio.to_bits();
        agent.load = report.load;
        while agent
            .pending
            .front()
            .is_some_and(|p| p.sequence <= report.last_sequence_seen)
        {
            agent.pending.pop_front();
        }
        let (number, pace) = (agent.number, report.load.run_time_ratio);
        if let Some(server) = report.server {
            let note = LogLine::new("A backend server's state changed.")
                .with("agent", &agent.name)
                .with("service", &server.service)
                .with("ready", server.ready)
                .with("cpu", server.capacity.cpu_millicores);
            agent.server = Some(server);
            self.note(note);
        }
        if !same_pace {
            let paces = self.agents.values().map(|agent| agent.load.run_time_ratio);
            self.usual_pace = usual_pace(paces);
        }
        if report.earlier_runs_cleared {
            self.release_orphans(now, |agent, _until| agent == number);
        }
        for outcome in report.outcomes {
            self.outcome(link, number, pace, outcome, now);
        }
        self.dispatch(now);
        self.renew(link, now.mono);
    }

    fn outcome(&mut self, link: LinkKey, agent: u32, pace: f32, outcome: Outcome, now: Now) {
        let Some(key) = self.sent.remove(&outcome.ticket) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(link) {
            agent.sent -= 1;
        }
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let server = self
            .agents
            .get(link)
            .and_then(|agent| agent.server.as_ref());
        let distance = server.map_or(1.0, |server| self.distance(server, step));
        match outcome.end {
            End::Done => {
                let queue = std::sync::Arc::clone(&job.queue.name);
                let near = outcome.ran.div_f64(distance);
                self.estimates.learn(&queue, near, pace);
                self.complete(key, now);
            }
            End::Failed => {
                self.note_retry(key, agent, "failed", now);
                self.fail(key, agent, now);
            }
            End::Lost => {
                self.note_retry(key, agent, "lost", now);
                self.lose(key, agent);
            }
            End::NotStarted(reason) => {
                self.note_retry(key, agent, reason.into(), now);
                if matches!(
                    reason,
                    DeclineReason::Unreachable | DeclineReason::Unanswered
                ) {
                    self.tasks[key].tried.push(agent);
                }
                self.wait_again(key);
            }
        }
    }

    fn note_retry(&mut self, key: TaskKey, agent: u32, reason: &'static str, now: Now) {
        self.actions.push(Action::Retried(reason));
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let note = LogLine::new("A task goes elsewhere.")
            .with(
                "job",
                format_args!("{}/{}/{}", job.id, task.step, task.index),
            )
            .with("reason", reason)
            .with("agent", agent)
            .with("failures", task.failures)
            .with("age_ms", now.mono.since(job.arrived).as_millis());
        self.note(note);
    }

    /// Lets orphans run elsewhere once it is certain that they do not run any more.
    fn release_orphans<F>(&mut self, now: Now, is_gone: F)
    where
        F: Fn(u32, Monotonic) -> bool,
    {
        let gone: Vec<(TaskKey, u32)> = self
            .tasks
            .iter()
            .filter_map(|(key, task)| match task.place {
                Place::Orphan { agent, until } if is_gone(agent, until) => Some((key, agent)),
                _ => None,
            })
            .collect();
        for (key, agent) in gone {
            self.note_retry(key, agent, "connection_lost", now);
            self.lose(key, agent);
        }
    }

    pub(super) fn expire_orphans(&mut self, now: Now) {
        self.release_orphans(now, |_agent, until| until <= now.mono);
    }

    /// Returns whether an agent is known well enough to get a task.
    pub(super) fn is_fresh(&self, agent: &Agent, now: Monotonic) -> bool {
        let bound = self.safety.entry_silence_limit.mul_f64(FRESH_PART);
        agent.stamp.is_some() && now.since(agent.heard) < bound
    }

    /// Returns whether an agent rests, so that its connection may be silent for longer.
    pub fn rests(&self, link: LinkKey) -> bool {
        self.agents.get(link).is_some_and(Agent::rests)
    }

    /// Answers an agent that has tasks of ours with a sign of life.
    fn renew(&mut self, link: LinkKey, now: Monotonic) {
        let Some(agent) = self.agents.get(link) else {
            return;
        };
        let news = self.news_for(agent);
        let pause = if agent.sent > 0 {
            RENEW_PAUSE
        } else {
            IDLE_PAUSE
        };
        if news || now.since(agent.order_sent) >= pause {
            if let Some(agent) = self.agents.get_mut(link) {
                agent.order_sent = now;
            }
            self.send(link, Vec::new(), Vec::new());
        }
    }

    fn news_for(&self, agent: &Agent) -> bool {
        let version = self.catalogue.as_ref().map_or(0, |known| known.version);
        agent.out_of_service_sent < version || agent.members_told < self.members.len()
    }

    /// Tells all agents what has changed.
    pub(super) fn renew_agents(&mut self, now: Monotonic) {
        let behind: Vec<LinkKey> = self
            .agents
            .iter()
            .filter(|(_key, agent)| self.news_for(agent))
            .map(|(key, _agent)| key)
            .collect();
        for link in behind {
            self.renew(link, now);
        }
    }

    /// Sends an order, with whatever else the agent has to know.
    pub(super) fn send(&mut self, link: LinkKey, starts: Vec<Start>, cancels: Vec<DispatchId>) {
        let Some(agent) = self.agents.get_mut(link) else {
            return;
        };
        agent.sequence += 1;
        let sequence = agent.sequence;
        agent.sent = agent.sent.saturating_sub(cancels.len());
        let out_of_service = self
            .catalogue
            .as_ref()
            .filter(|known| known.version > agent.out_of_service_sent)
            .map(|known| (known.version, known.out_of_service.clone()));
        if let Some((version, _list)) = &out_of_service {
            agent.out_of_service_sent = *version;
        }
        let order = Order {
            echoed_timestamp: agent.stamp,
            sequence,
            starts,
            cancels,
            out_of_service,
            members: untold(&self.members, &mut agent.members_told),
            reduced_reporting: agent.rests(),
        };
        self.actions.push(Action::Order(link, order));
    }
}
