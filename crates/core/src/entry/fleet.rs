//! The agents of an entry: connections, reports, acknowledgements and lost agents.

use super::{Action, Entry, TaskState};
use crate::frame::{Attempt, End, Order, Outcome, Report};
use crate::job::Task;
use crate::placement::{Agent, AgentKey};
use crate::receipt::Receipt;
use crate::time::Now;

impl Entry {
    /// Handles a report of an agent: updates its load and stamp and records the outcomes of tasks.
    pub(super) fn handle_report(
        &mut self,
        link: u64,
        report: Report,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.read_row_if_behind(report.epoch, now, actions);
        let Some(key) = self.attach_agent(link, &report, now, actions) else {
            return;
        };
        let agent = &mut self.fleet.agents[key];
        agent.last_heard_at = now.mono;
        agent.load = report.load;
        agent.dispatched_since_report = 0;
        agent.epoch = agent.epoch.max(report.epoch);
        agent.record_stamp(report.stamp, now.mono);
        agent.receipt.record(report.outcomes.len(), now.mono);
        for outcome in report.outcomes {
            self.record_outcome(key, outcome, now, actions);
        }
        self.fleet.reindex(key);
    }

    /// Returns the agent at the other end of a connection, `None` before its first report.
    ///
    /// A report with a hello registers the agent, or attaches a known agent to the connection. If
    /// the incarnation is new, the agent has restarted and the tasks of its former process are
    /// lost.
    fn attach_agent(
        &mut self,
        link: u64,
        report: &Report,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<AgentKey> {
        let Some(hello) = &report.hello else {
            return self.agent_by_link.get(&link).copied();
        };
        if let Some(key) = self.fleet.key_by_name(&hello.agent) {
            if self.fleet.agents[key].incarnation == report.incarnation {
                self.reattach_agent(key, link, report, now, actions);
                return Some(key);
            }
            self.drop_lost_agent(key, now, actions);
        }
        let agent = Agent::new(hello.clone(), report.incarnation, link, now.mono);
        let key = self.fleet.insert(agent);
        self.agent_by_link.insert(link, key);
        self.announce_entries_to(key, actions);
        Some(key)
    }

    /// Attaches a known agent to a new connection. Outcomes may have been lost with the old one,
    /// so the entry asks about every attempt that it has open there.
    fn reattach_agent(
        &mut self,
        key: AgentKey,
        link: u64,
        report: &Report,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let agent = &mut self.fleet.agents[key];
        if let Some(hello) = &report.hello {
            agent.hello = hello.clone();
        }
        if agent.link == Some(link) {
            return;
        }
        agent.link = Some(link);
        agent.last_heard_at = now.mono;
        agent.receipt = Receipt::new();
        self.agent_by_link.retain(|_link, agent| *agent != key);
        self.agent_by_link.insert(link, key);
        let queries = self.open_attempts_on(key);
        if !queries.is_empty() {
            let order = Order {
                queries,
                ..self.empty_order(key)
            };
            actions.push(Action::SendOrder { link, order });
        }
        self.announce_entries_to(key, actions);
    }

    /// Marks an agent as disconnected. It counts as lost if it does not come back in time.
    pub(super) fn handle_disconnect(&mut self, link: u64, now: Now) {
        if let Some(key) = self.agent_by_link.remove(&link) {
            let agent = &mut self.fleet.agents[key];
            agent.link = None;
            agent.last_heard_at = now.mono;
            self.fleet.reindex(key);
        }
    }

    /// Updates the capacity of the fleet, sends acknowledgements that are due, and gives up agents
    /// that have been disconnected for too long.
    pub(super) fn tick_fleet(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.fleet.update_capacity(now.mono, self.row.members.len());
        self.send_due_acknowledgements(now, actions);
        let max_silence = self.timing.agent_loss_timeout;
        let lost_agents: Vec<AgentKey> = self
            .fleet
            .agents
            .iter()
            .filter(|(_key, agent)| {
                agent.link.is_none() && now.mono.since(agent.last_heard_at) > max_silence
            })
            .map(|(key, _agent)| key)
            .collect();
        for key in lost_agents {
            self.drop_lost_agent(key, now, actions);
        }
    }

    /// Adds the acknowledgement of received outcomes to each order that is about to be sent. Empty
    /// orders, which ask the agent for a report, stay empty.
    pub(super) fn add_acknowledgements(&mut self, actions: &mut [Action]) {
        for action in actions {
            let Action::SendOrder { link, order } = action else {
                continue;
            };
            if order.is_stamp_request() {
                continue;
            }
            if let Some(key) = self.agent_by_link.get(link) {
                order.acknowledged = self.fleet.agents[*key].receipt.acknowledge_all();
            }
        }
    }

    /// Sends an order with an acknowledgement to each agent for which no other order could carry
    /// it in time.
    fn send_due_acknowledgements(&mut self, now: Now, actions: &mut Vec<Action>) {
        let epoch = self.row.epoch;
        for agent in self.fleet.agents.values_mut() {
            if let Some(link) = agent.link
                && agent.receipt.is_due(agent.hello.leaving, now.mono)
            {
                let order = Order {
                    agent_incarnation: agent.incarnation,
                    epoch,
                    acknowledged: agent.receipt.acknowledge_all(),
                    ..Order::default()
                };
                actions.push(Action::SendOrder { link, order });
            }
        }
    }

    /// Removes an agent that was lost or restarted; the attempts open on it end with an unknown
    /// outcome.
    fn drop_lost_agent(&mut self, key: AgentKey, now: Now, actions: &mut Vec<Action>) {
        for Attempt { task, attempt } in self.open_attempts_on(key) {
            let end = End::Unknown("the agent was lost or restarted".to_owned());
            self.record_outcome(
                key,
                Outcome {
                    task,
                    attempt,
                    end,
                    queue_us: 0,
                    run_us: 0,
                },
                now,
                actions,
            );
        }
        self.limits.remove_agent(key);
        self.fleet.remove(key);
        self.agent_by_link.retain(|_link, agent| *agent != key);
    }

    /// Returns the attempts that were dispatched to an agent and have not ended.
    pub(super) fn open_attempts_on(&self, key: AgentKey) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_ended()) {
            for (index, state) in (0..).zip(&job.tasks) {
                if let TaskState::Dispatched { agent, attempt } = state
                    && *agent == key
                {
                    let task = Task {
                        job: job.spec.id,
                        index,
                    };
                    attempts.push(Attempt {
                        task,
                        attempt: *attempt,
                    });
                }
            }
        }
        attempts
    }

    /// Returns an order for an agent that carries nothing but the epoch.
    pub(super) fn empty_order(&self, key: AgentKey) -> Order {
        Order {
            agent_incarnation: self.fleet.agents[key].incarnation,
            epoch: self.row.epoch,
            ..Order::default()
        }
    }

    /// Sends the addresses of all entries to all agents, which connect to each of them.
    pub(super) fn announce_entries_to_all(&self, actions: &mut Vec<Action>) {
        for key in self.fleet.agents.keys() {
            self.announce_entries_to(key, actions);
        }
    }

    /// Sends the addresses of all entries to one agent.
    fn announce_entries_to(&self, key: AgentKey, actions: &mut Vec<Action>) {
        let Some(link) = self.fleet.agents[key].link else {
            return;
        };
        let entries = self
            .row
            .members
            .iter()
            .map(|member| member.address.clone())
            .collect();
        actions.push(Action::SendOrder {
            link,
            order: Order {
                entries,
                ..self.empty_order(key)
            },
        });
    }
}
