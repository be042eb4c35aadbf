//! Agents of an entry: attachment, reports, loss.

use super::{Action, Entry, TaskState};
use crate::frame::{Attempt, End, Order, Outcome, Report};
use crate::job::Task;
use crate::placement::{Agent, Key};
use crate::receipt::Receipt;
use crate::time::Now;

impl Entry {
    pub(super) fn reported(
        &mut self,
        link: u64,
        report: Report,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.hear_epoch(report.epoch, now, actions);
        let Some(key) = self.attach(link, &report, now, actions) else {
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
            self.ended(key, outcome, now, actions);
        }
        self.fleet.reindex(key);
    }

    /// Returns the agent behind a connection, after its first report has named it.
    fn attach(
        &mut self,
        link: u64,
        report: &Report,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Key> {
        let Some(hello) = &report.hello else {
            return self.links.get(&link).copied();
        };
        if let Some(key) = self.fleet.key_by_name(&hello.agent) {
            if self.fleet.agents[key].incarnation == report.incarnation {
                self.reattach(key, link, report, now, actions);
                return Some(key);
            }
            self.lose(key, now, actions);
        }
        let agent = Agent::new(hello.clone(), report.incarnation, link, now.mono);
        let key = self.fleet.insert(agent);
        self.links.insert(link, key);
        self.tell_entries(key, actions);
        Some(key)
    }

    fn reattach(
        &mut self,
        key: Key,
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
        self.links.retain(|_link, other| *other != key);
        self.links.insert(link, key);
        let queries = self.attempts_on(key);
        if !queries.is_empty() {
            let order = Order {
                queries,
                ..self.order(key)
            };
            actions.push(Action::Order { link, order });
        }
        self.tell_entries(key, actions);
    }

    pub(super) fn detached(&mut self, link: u64, now: Now) {
        if let Some(key) = self.links.remove(&link) {
            let agent = &mut self.fleet.agents[key];
            agent.link = None;
            agent.last_heard_at = now.mono;
            self.fleet.reindex(key);
        }
    }

    pub(super) fn tick_fleet(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.fleet.update_capacity(now.mono, self.row.members.len());
        self.send_acknowledgements(now, actions);
        let silence = self.timing.agent_loss_timeout;
        let lost: Vec<Key> = self
            .fleet
            .agents
            .iter()
            .filter(|(_key, agent)| {
                agent.link.is_none() && now.mono.since(agent.last_heard_at) > silence
            })
            .map(|(key, _agent)| key)
            .collect();
        for key in lost {
            self.lose(key, now, actions);
        }
    }

    /// Puts acknowledgements of outcomes into the orders that leave, but for those that ask for a
    /// stamp, which carry nothing.
    pub(super) fn acknowledge(&mut self, actions: &mut [Action]) {
        for action in actions {
            let Action::Order { link, order } = action else {
                continue;
            };
            if order.is_stamp_request() {
                continue;
            }
            if let Some(key) = self.links.get(link) {
                order.acknowledged = self.fleet.agents[*key].receipt.acknowledge_all();
            }
        }
    }

    /// Sends an order to each agent whose acknowledgement no other order took along in time.
    fn send_acknowledgements(&mut self, now: Now, actions: &mut Vec<Action>) {
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
                actions.push(Action::Order { link, order });
            }
        }
    }

    /// Gives up an agent; what it held has an unknown outcome.
    fn lose(&mut self, key: Key, now: Now, actions: &mut Vec<Action>) {
        for Attempt { task, attempt } in self.attempts_on(key) {
            let end = End::Unknown("the agent was lost or restarted".to_owned());
            self.ended(
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
        self.links.retain(|_link, other| *other != key);
    }

    pub(super) fn attempts_on(&self, key: Key) -> Vec<Attempt> {
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

    /// Returns an empty order for an agent.
    pub(super) fn order(&self, key: Key) -> Order {
        Order {
            agent_incarnation: self.fleet.agents[key].incarnation,
            epoch: self.row.epoch,
            ..Order::default()
        }
    }

    /// Tells all agents which entries to attach to.
    pub(super) fn announce_entries(&self, actions: &mut Vec<Action>) {
        for key in self.fleet.agents.keys() {
            self.tell_entries(key, actions);
        }
    }

    fn tell_entries(&self, key: Key, actions: &mut Vec<Action>) {
        let Some(link) = self.fleet.agents[key].link else {
            return;
        };
        let entries = self
            .row
            .members
            .iter()
            .map(|member| member.address.clone())
            .collect();
        actions.push(Action::Order {
            link,
            order: Order {
                entries,
                ..self.order(key)
            },
        });
    }
}
