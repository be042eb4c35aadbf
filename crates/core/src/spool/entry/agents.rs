//! Handles the connections and reports of agents and the outcomes of their tasks.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::job::Resources;
use super::super::log_line::{LogLine, key_label};
use super::super::message::{
    AgentHello, DeclineReason, DispatchId, End, Kind, Load, Neighbourhood, Order, Outcome,
    Presence, Report, ServerState, Start, Timestamp,
};
use super::estimate::mean_slowdown;
use super::gossip::take_unsent_members;
use super::report_rate::ReportRate;
use super::{Action, ConnectionKey, Entry, Evidence, Orphan, Route, TaskKey, TaskState};
use crate::rendezvous::weight;
use crate::time::{Monotonic, Now};

/// Share of the silence bound in [`super::Safety`] after which an agent without reports gets no new
/// task.
const FRESH_SILENCE_SHARE: f64 = 0.8;

/// Age up to which a report at the reduced rate tells the present load. In twice this time, tasks of
/// other entries may have started at a busy server.
const MAX_REDUCED_LOAD_AGE: Duration = Duration::from_millis(5);

/// Interval of heartbeats to an agent that has tasks of this entry. The agent stops its tasks when
/// an entry is silent for too long, and sends a report about every 90 ms to prompt the next
/// heartbeat.
const BUSY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of heartbeats to an agent without tasks of this entry. The heartbeats let the agent
/// tell a dead connection from an idle one.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A dispatched task that is not yet counted in the load that the agent reports.
#[derive(Debug, Clone, Copy)]
struct UnreportedStart {
    /// Sequence number of the order that carried the task.
    sequence: u64,
    needs: Resources,
    /// [`Kind::OTHER`] if the entry does not separate kinds.
    kind: Kind,
}

/// An order that shows, once it is acknowledged, that the agent knows of earlier connections.
#[derive(Debug, Clone, Copy)]
struct Milestone {
    /// Sequence number of the order.
    sequence: u64,
    /// Value of `Entry::agent_connections` when the order was sent.
    connections: u64,
}

/// An agent on an open connection.
#[derive(Debug)]
pub(super) struct Agent {
    pub name: String,
    pub number: u32,
    /// Position of the connection among all that agents have opened to this entry.
    ordinal: u64,
    route: Route,
    /// Orders that the agent has not acknowledged, of those that were the first after another
    /// connection had been opened.
    milestones: VecDeque<Milestone>,
    /// Every report on this connection was made after the agent connections up to this ordinal had
    /// been opened, as the agent has acknowledged an order that was sent later.
    known_connections: u64,
    pub data_centre: String,
    pub server: Option<ServerState>,
    pub load: Load,
    /// Newest timestamp in the agent's reports, which every order echoes so that the agent can tell
    /// how old the entry's view is. `None` before the first report.
    last_stamp: Option<Timestamp>,
    last_report_at: Monotonic,
    last_order_sequence: u64,
    /// When the last order without tasks was sent because a heartbeat or update was due.
    last_heartbeat_at: Monotonic,
    /// Version of the catalogue whose list of data centres out of service the agent was sent.
    catalogue_version_sent: u64,
    /// Number of items of `Entry::known_entries` already sent to the agent.
    members_sent: usize,
    unreported_starts: VecDeque<UnreportedStart>,
    /// Running and queued tasks of the server in the last report, by kind; `None` if the agent does
    /// not tell them.
    reported_present: Option<SmallVec<[Presence; 8]>>,
    /// Number of tasks sent over this connection whose outcome is not known.
    pub dispatched_tasks: usize,
    pub report_rate: ReportRate,
    /// Whether the agent belongs to the home share of this entry: it always reports frequently, and
    /// tasks are placed there first.
    pub is_home: bool,
    /// Rendezvous weight of the agent at this entry. The agents with the lowest weights are the
    /// entry's home share.
    pub rendezvous_weight: u64,
    /// When this entry last sent the agent a task or asked it for frequent reports.
    pub last_used_at: Monotonic,
}

impl Agent {
    /// Returns the resources that are free after all tasks sent so far.
    pub fn free(&self) -> Resources {
        self.unreported_starts
            .iter()
            .fold(self.load.free, |free, pending| free.without(&pending.needs))
    }

    /// Returns the CPU that queued tasks need at the agent, in thousandths of a core, including
    /// tasks sent beyond its free CPU.
    pub fn queued_cpu(&self) -> f64 {
        let sent: f64 = self
            .unreported_starts
            .iter()
            .map(|pending| f64::from(pending.needs.cpu_millicores))
            .sum();
        f64::from(self.load.queued_cpu) + (sent - f64::from(self.load.free.cpu_millicores)).max(0.0)
    }

    /// Reserves resources for a task that goes out with the next order.
    pub fn reserve(&mut self, start: &Start, kind: Kind, now: Monotonic) {
        self.dispatched_tasks += 1;
        self.report_rate = ReportRate::Frequent;
        self.last_used_at = now;
        self.unreported_starts.push_back(UnreportedStart {
            sequence: self.last_order_sequence + 1,
            needs: start.needs,
            kind,
        });
    }

    /// Returns the running and queued tasks of the server by kind, after all tasks sent so far;
    /// `None` if the agent does not tell them.
    pub fn present(&self) -> Option<SmallVec<[Presence; 8]>> {
        let mut present: SmallVec<[Presence; 8]> = self.reported_present.as_ref()?.clone();
        for start in &self.unreported_starts {
            let (kind, cpu_millicores) = (start.kind, start.needs.cpu_millicores);
            match present.iter_mut().find(|group| group.kind == kind) {
                Some(group) => {
                    group.tasks += 1;
                    group.cpu_millicores = group.cpu_millicores.saturating_add(cpu_millicores);
                }
                None => present.push(Presence {
                    kind,
                    tasks: 1,
                    cpu_millicores,
                }),
            }
        }
        Some(present)
    }

    pub fn time_since_report(&self, now: Monotonic) -> Duration {
        now.since(self.last_report_at)
    }

    /// Returns how many more tasks the agent accepts. Agents limit this while their server is on
    /// probation.
    pub fn open_slots(&self) -> u32 {
        self.load
            .open_slots
            .saturating_sub(self.unreported_starts.len() as u32)
    }
}

impl Entry {
    /// Adds an agent that has just connected by `route`. Tasks are placed there once its first
    /// report has come.
    pub fn add_agent(&mut self, hello: AgentHello, route: Route, now: Now) -> ConnectionKey {
        self.agent_connections += 1;
        let next = self.agent_numbers.len() as u32;
        let number = *self.agent_numbers.entry(hello.name.clone()).or_insert(next);
        let rendezvous_weight = weight(&self.members[0].name, hello.name.as_bytes());
        let line = LogLine::new("An agent connected.")
            .with("agent", &hello.name)
            .with("number", number)
            .with("from", route.from)
            .with("to", route.to)
            .with("data_centre", &hello.data_centre);
        let connection = self.agents.insert(Agent {
            name: hello.name,
            number,
            ordinal: self.agent_connections,
            route,
            milestones: VecDeque::new(),
            known_connections: 0,
            data_centre: hello.data_centre,
            server: None,
            load: Load::default(),
            last_stamp: None,
            last_report_at: now.mono,
            last_order_sequence: 0,
            last_heartbeat_at: Monotonic(0),
            catalogue_version_sent: 0,
            members_sent: 0,
            unreported_starts: VecDeque::new(),
            reported_present: None,
            dispatched_tasks: 0,
            report_rate: ReportRate::Frequent,
            is_home: false,
            rendezvous_weight,
            last_used_at: now.mono,
        });
        self.startup.record_agent(now.mono);
        self.log(line.with("connection", key_label(connection)));
        connection
    }

    /// Removes an agent whose connection has ended. Its tasks stay orphaned until the safety bound
    /// has passed or the agent reports that they are gone, because until then they may still run.
    pub fn remove_agent(&mut self, connection: ConnectionKey, now: Now) {
        self.expire_due(now);
        let Some(agent) = self.agents.remove(connection) else {
            return;
        };
        let orphan = Orphan {
            agent_number: agent.number,
            connection,
            ordinal: agent.ordinal,
            route: agent.route,
            lost_at: now.mono,
        };
        let sent: Vec<(TaskKey, DispatchId)> = self
            .tasks
            .iter()
            .filter_map(|(key, task)| match task.state {
                TaskState::Dispatched {
                    connection: task_connection,
                    ticket,
                    ..
                } if task_connection == connection => Some((key, ticket)),
                _ => None,
            })
            .collect();
        for (key, ticket) in &sent {
            self.tasks_by_ticket.remove(ticket);
            self.set_state(*key, TaskState::Orphaned(orphan));
            self.jobs[self.tasks[*key].job].may_have_run = true;
        }
        let line = LogLine::warn("Lost the connection of an agent.")
            .with("agent", &agent.name)
            .with("connection", key_label(connection))
            .with("tasks", sent.len())
            .with(
                "silent_ms",
                now.mono.since(agent.last_report_at).as_millis(),
            );
        self.log(line);
        self.dispatch(now);
    }

    /// Handles a report: updates the agent's load, handles the outcomes of tasks, dispatches queued
    /// tasks and answers with a heartbeat if one is due.
    pub fn handle_report(&mut self, connection: ConnectionKey, report: Report, now: Now) {
        self.handle_report_with_neighbourhood(connection, report, None, now);
    }

    /// Handles a report and the optional part behind it. See [`Entry::handle_report`].
    pub fn handle_report_with_neighbourhood(
        &mut self,
        connection: ConnectionKey,
        report: Report,
        neighbourhood: Option<Neighbourhood>,
        now: Now,
    ) {
        self.expire_due(now);
        let neighbourhood = neighbourhood.filter(|_part| self.interference.is_some());
        if let Some(neighbourhood) = &neighbourhood {
            self.learn_from_ended(connection, &report, neighbourhood, now.mono);
        }
        let Some(agent) = self.agents.get_mut(connection) else {
            return;
        };
        agent.reported_present = neighbourhood.map(|part| part.present.into());
        let took_tasks = agent.server.is_some() && agent.load.open_slots > 0;
        agent.last_report_at = now.mono;
        agent.last_stamp = Some(report.sent_at);
        if let ReportRate::Resuming(_) = agent.report_rate {
            agent.report_rate = ReportRate::Frequent;
        }
        let is_slowdown_unchanged = agent.load.slowdown.to_bits() == report.load.slowdown.to_bits();
        agent.load = report.load;
        while agent
            .unreported_starts
            .front()
            .is_some_and(|p| p.sequence <= report.last_sequence_seen)
        {
            agent.unreported_starts.pop_front();
        }
        while let Some(milestone) = agent.milestones.front()
            && milestone.sequence <= report.last_sequence_seen
        {
            agent.known_connections = milestone.connections;
            agent.milestones.pop_front();
        }
        let (number, slowdown) = (agent.number, report.load.slowdown);
        if let Some(server) = report.server {
            let line = LogLine::new("A backend server's state changed.")
                .with("agent", &agent.name)
                .with("service", &server.service)
                .with("ready", server.ready)
                .with("cpu", server.capacity.cpu_millicores);
            agent.server = Some(server);
            self.log(line);
        }
        let takes_tasks = self.agents[connection].server.is_some() && report.load.open_slots > 0;
        if takes_tasks && !took_tasks {
            self.startup.record_server(now.mono);
        }
        if !is_slowdown_unchanged {
            let slowdowns = self.agents.values().map(|agent| agent.load.slowdown);
            self.mean_slowdown = mean_slowdown(slowdowns);
        }
        if report.earlier_runs_cleared {
            self.requeue_cleared_orphans(connection, now);
        }
        for outcome in report.outcomes {
            self.handle_outcome(connection, number, slowdown, outcome, now);
        }
        self.review_waiting_jobs(now);
        self.dispatch(now);
        self.send_heartbeat_if_due(connection, now.mono);
    }

    /// Handles the outcome of a task. An outcome with an unknown ticket belongs to a job that was
    /// answered meanwhile and is ignored.
    fn handle_outcome(
        &mut self,
        connection: ConnectionKey,
        agent_number: u32,
        slowdown: f32,
        outcome: Outcome,
        now: Now,
    ) {
        let Some(key) = self.tasks_by_ticket.remove(&outcome.ticket) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(connection) {
            agent.dispatched_tasks -= 1;
        }
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let step = &job.request.steps[usize::from(task.step)];
        let server = self
            .agents
            .get(connection)
            .and_then(|agent| agent.server.as_ref());
        let data_factor = server.map_or(1.0, |server| self.data_factor(server, step));
        match outcome.end {
            End::Done => {
                let queue = std::sync::Arc::clone(&job.queue.name);
                let ran_near_data = outcome.ran.div_f64(data_factor);
                let declared = step.estimate;
                self.estimates
                    .record_run(&queue, ran_near_data, declared, slowdown, now.mono);
                self.complete_task(key, now);
            }
            End::Failed => {
                self.record_retry(
                    key,
                    agent_number,
                    connection,
                    "failed",
                    Evidence::Outcome,
                    now,
                );
                self.record_failure(key, agent_number, now);
            }
            End::Lost => {
                let ran_near_data = outcome.ran.div_f64(data_factor);
                let least = (self.policy.least_run_time)(ran_near_data, slowdown);
                let task = &mut self.tasks[key];
                task.least_run_time = task.least_run_time.max(least);
                self.record_retry(
                    key,
                    agent_number,
                    connection,
                    "lost",
                    Evidence::Outcome,
                    now,
                );
                self.requeue_lost_task(key, agent_number);
            }
            End::NotStarted(reason) => {
                self.record_retry(
                    key,
                    agent_number,
                    connection,
                    reason.into(),
                    Evidence::Outcome,
                    now,
                );
                if matches!(
                    reason,
                    DeclineReason::Unreachable | DeclineReason::Unanswered
                ) {
                    self.tasks[key].failed_on.push(agent_number);
                }
                self.requeue(key);
            }
        }
    }

    /// Counts and logs that a task is queued again that was sent to an agent over `connection`.
    fn record_retry(
        &mut self,
        key: TaskKey,
        agent_number: u32,
        connection: ConnectionKey,
        reason: &'static str,
        evidence: Evidence,
        now: Now,
    ) {
        self.actions.push(Action::CountRetry(reason));
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let line = LogLine::new("A task is queued again.")
            .with(
                "job",
                format_args!("{}/{}/{}", job.id, task.step, task.index),
            )
            .with("reason", reason)
            .with("agent", agent_number)
            .with("name", self.agent_name(agent_number))
            .with("connection", key_label(connection))
            .with("evidence", evidence)
            .with("failures", task.failures)
            .with("age_ms", now.mono.since(job.submitted_at).as_millis());
        let line = match evidence {
            Evidence::Outcome => line,
            Evidence::Cleared(orphan) | Evidence::Bound(orphan) => {
                line.with("lost_ms", now.mono.since(orphan.lost_at).as_millis())
            }
        };
        self.log(line);
    }

    fn agent_name(&self, agent_number: u32) -> &str {
        self.agent_numbers
            .iter()
            .find(|(_name, number)| **number == agent_number)
            .map_or("", |(name, _number)| name)
    }

    /// Handles the report of an agent that no run of an earlier connection is left there: queues the
    /// orphaned tasks again that the report covers. If it may be older than one of their
    /// connections, the agent is asked for another report.
    fn requeue_cleared_orphans(&mut self, connection: ConnectionKey, now: Now) {
        let Some(agent) = self.agents.get(connection) else {
            return;
        };
        let (number, route) = (agent.number, agent.route);
        let known_connections = agent.known_connections;
        // Only by the same route does the report speak of the connection that was lost: another VM
        // may have the name, and an agent may keep connections to two addresses of this entry.
        let is_covered = |orphan: &Orphan| orphan.agent_number == number && orphan.route == route;
        // A report that was held up may be older than the lost connection, unless it acknowledges an
        // order that was sent after that connection had been opened.
        let is_newer = |orphan: &Orphan| orphan.ordinal <= known_connections;
        self.requeue_orphans(
            |orphan| {
                (is_covered(&orphan) && is_newer(&orphan)).then_some(Evidence::Cleared(orphan))
            },
            now,
        );
        let is_left = |key: &TaskKey| match self.tasks[*key].state {
            TaskState::Orphaned(orphan) => is_covered(&orphan),
            _ => false,
        };
        if known_connections < self.agent_connections && self.orphans.iter().any(is_left) {
            // An agent reports at once when it is asked for frequent reports again.
            self.reduce_reporting(connection);
            self.request_frequent_reports(connection, now.mono);
        }
    }

    /// Queues the orphaned tasks again for which `evidence_of` returns what shows that they are
    /// gone.
    fn requeue_orphans<F>(&mut self, evidence_of: F, now: Now)
    where
        F: Fn(Orphan) -> Option<Evidence>,
    {
        self.count_work(self.orphans.len());
        let gone: Vec<(TaskKey, Orphan, Evidence)> = self
            .orphans
            .iter()
            .filter_map(|key| match self.tasks[*key].state {
                TaskState::Orphaned(orphan) => {
                    evidence_of(orphan).map(|evidence| (*key, orphan, evidence))
                }
                _ => None,
            })
            .collect();
        for (key, orphan, evidence) in gone {
            let Orphan {
                agent_number,
                connection,
                ..
            } = orphan;
            self.record_retry(
                key,
                agent_number,
                connection,
                "connection_lost",
                evidence,
                now,
            );
            self.requeue_lost_task(key, agent_number);
        }
    }

    /// Queues the orphaned tasks again that can't be running any more by the time bounds alone.
    pub(super) fn requeue_expired_orphans(&mut self, now: Now) {
        let bound = self.safety.max_overrun();
        self.requeue_orphans(
            |orphan| (now.mono.since(orphan.lost_at) >= bound).then_some(Evidence::Bound(orphan)),
            now,
        );
    }

    /// Returns whether the agent's last report is recent enough for the agent to accept tasks that
    /// echo it.
    pub(super) fn has_fresh_report(&self, agent: &Agent, now: Monotonic) -> bool {
        let bound = self.safety.entry_silence_limit.mul_f64(FRESH_SILENCE_SHARE);
        agent.last_stamp.is_some() && now.since(agent.last_report_at) < bound
    }

    /// Returns whether the load of an agent is recent enough to place tasks by it. A report at the
    /// reduced rate isn't followed by another one when the load changes, so that it is outdated
    /// much sooner.
    pub(super) fn has_current_load(&self, agent: &Agent, now: Monotonic) -> bool {
        self.has_fresh_report(agent, now)
            && (!agent.has_reduced_reporting()
                || agent.time_since_report(now) < MAX_REDUCED_LOAD_AGE)
    }

    /// Returns whether an agent reports at the reduced rate, so that a longer silence on its
    /// connection is normal.
    pub fn has_reduced_reporting(&self, connection: ConnectionKey) -> bool {
        self.agents
            .get(connection)
            .is_some_and(Agent::has_reduced_reporting)
    }

    /// Sends an order without tasks if the agent has to learn of a change or its next heartbeat is
    /// due.
    fn send_heartbeat_if_due(&mut self, connection: ConnectionKey, now: Monotonic) {
        let Some(agent) = self.agents.get(connection) else {
            return;
        };
        let has_updates = self.has_updates_for(agent);
        let interval = if agent.dispatched_tasks > 0 {
            BUSY_HEARTBEAT_INTERVAL
        } else {
            IDLE_HEARTBEAT_INTERVAL
        };
        if has_updates || now.since(agent.last_heartbeat_at) >= interval {
            if let Some(agent) = self.agents.get_mut(connection) {
                agent.last_heartbeat_at = now;
            }
            self.send_order(connection, Vec::new(), Vec::new());
        }
    }

    fn has_updates_for(&self, agent: &Agent) -> bool {
        let version = self.catalogue.as_ref().map_or(0, |known| known.version);
        agent.catalogue_version_sent < version || agent.members_sent < self.members.len()
    }

    /// Sends the latest catalogue version and list of entries to all agents that don't have them.
    pub(super) fn send_pending_updates(&mut self, now: Monotonic) {
        let outdated: Vec<ConnectionKey> = self
            .agents
            .iter()
            .filter(|(_key, agent)| self.has_updates_for(agent))
            .map(|(key, _agent)| key)
            .collect();
        for connection in outdated {
            self.send_heartbeat_if_due(connection, now);
        }
    }

    /// Sends an order, together with the changes that the agent has not been sent yet.
    pub(super) fn send_order(
        &mut self,
        connection: ConnectionKey,
        starts: Vec<Start>,
        cancels: Vec<DispatchId>,
    ) {
        let Some(agent) = self.agents.get_mut(connection) else {
            return;
        };
        agent.last_order_sequence += 1;
        let sequence = agent.last_order_sequence;
        let newest = agent
            .milestones
            .back()
            .map_or(agent.known_connections, |milestone| milestone.connections);
        if newest < self.agent_connections {
            agent.milestones.push_back(Milestone {
                sequence,
                connections: self.agent_connections,
            });
        }
        agent.dispatched_tasks = agent.dispatched_tasks.saturating_sub(cancels.len());
        let out_of_service = self
            .catalogue
            .as_ref()
            .filter(|known| known.version > agent.catalogue_version_sent)
            .map(|known| (known.version, known.out_of_service.clone()));
        if let Some((version, _list)) = &out_of_service {
            agent.catalogue_version_sent = *version;
        }
        let order = Order {
            echoed_timestamp: agent.last_stamp,
            sequence,
            starts,
            cancels,
            out_of_service,
            members: take_unsent_members(&self.members, &mut agent.members_sent),
            reduced_reporting: agent.has_reduced_reporting(),
        };
        let kinds = self.start_kinds(&order.starts);
        self.actions
            .push(Action::SendOrder(connection, order, kinds));
    }
}
