//! Connections between entries and agents, and what comes over them.

use ibisspool_core::spool::message::{AgentHello, Timestamp};
use ibisspool_core::time::Monotonic;
use rand::Rng;

use super::{Connection, Event, MS, Message, Mutant, Process, World};

impl World {
    pub(super) fn dial(&mut self, agent: usize, entry: usize) {
        let boots = (self.entries[entry].boot, self.agents[agent].boot);
        let is_open =
            |c: &Connection| c.open && c.agent == agent && c.entry == entry && c.boots == boots;
        let both = self.agents[agent].agent.is_some() && self.entries[entry].entry.is_some();
        let cut = self
            .is_cut(entry, agent, true)
            .or(self.is_cut(entry, agent, false));
        if self.agents[agent].agent.is_none() || self.connections.values().any(is_open) {
            return;
        }
        // The system takes a connection for a paused entry.
        if !both || cut.is_some() || self.agents[agent].paused {
            self.after(200 * MS, Event::Dial { agent, entry });
            return;
        }
        self.last_connection += 1;
        let id = self.last_connection;
        self.connections.insert(
            id,
            Connection {
                entry,
                agent,
                entry_link: None,
                agent_link: None,
                open: true,
                boots: (self.entries[entry].boot, self.agents[agent].boot),
            },
        );
        self.send(id, true, Message::Connected(id));
        let name = format!("entry-{entry}");
        let link = self.with_agent(agent, |agent, now| agent.add_connection(&name, now));
        if let Some(link) = link {
            self.agents[agent].links.insert(link, id);
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.agent_link = Some(link);
            }
        }
        self.act_agent(agent);
    }

    /// Sends a message over a connection, to the entry if `up`, in order.
    pub(super) fn send(&mut self, id: u64, up: bool, message: Message) {
        let Some(connection) = self.connections.get(&id).copied() else {
            return;
        };
        let mut delay = [300, 600, 1_000, 3_000][self.random.random_range(0..4)];
        if let Some(end) = self.is_cut(connection.entry, connection.agent, up) {
            delay += end - self.now;
        }
        let due = (self.now + delay).max(self.ordered.get(&(id, up)).map_or(0, |last| last + 1));
        self.ordered.insert((id, up), due);
        let (to, boot) = if up {
            (Process::Entry(connection.entry), connection.boots.0)
        } else {
            (Process::Agent(connection.agent), connection.boots.1)
        };
        self.at(due, Event::Deliver { to, boot, message });
    }

    pub(super) fn deliver(&mut self, to: Process, boot: u64, message: Message) {
        match to {
            Process::Entry(index) => {
                let slot = &mut self.entries[index];
                if slot.boot != boot || slot.entry.is_none() {
                    return;
                }
                if slot.paused {
                    slot.inbox.push(Event::Deliver { to, boot, message });
                    return;
                }
                self.entry_message(index, message);
            }
            Process::Agent(index) => {
                let slot = &mut self.agents[index];
                if slot.boot != boot || slot.agent.is_none() {
                    return;
                }
                if slot.paused {
                    slot.inbox.push(Event::Deliver { to, boot, message });
                    return;
                }
                self.agent_message(index, message);
            }
        }
    }

    pub(super) fn entry_message(&mut self, index: usize, message: Message) {
        match message {
            Message::Connected(id) => {
                let hello = AgentHello {
                    name: format!("agent-{}", self.connections[&id].agent),
                    data_centre: "a".to_owned(),
                };
                let link = self.with_entry(index, |entry, now| entry.connect(hello, now));
                if let Some(link) = link {
                    self.entries[index].links.insert(link, id);
                    if let Some(connection) = self.connections.get_mut(&id) {
                        connection.entry_link = Some(link);
                    }
                }
                self.act_entry(index);
            }
            Message::Report(id, report) => {
                if let Some(link) = self.connections[&id].entry_link {
                    self.entry(index, |entry, now| entry.report(link, report, now));
                }
            }
            Message::Ended(id) => {
                if let Some(link) = self.connections[&id].entry_link {
                    self.entries[index].links.remove(&link);
                    self.entry(index, |entry, now| entry.disconnect(link, now));
                }
            }
            _ => {}
        }
    }

    pub(super) fn agent_message(&mut self, index: usize, message: Message) {
        match message {
            Message::Order(id, mut order) => {
                if self.plan.mutant == Some(Mutant::FreshEcho) {
                    order.echoed_timestamp =
                        Some(Timestamp(self.clock(Process::Agent(index)).mono.0));
                }
                if let Some(link) = self.connections[&id].agent_link {
                    self.agent(index, |agent, now| agent.handle_order(link, order, now));
                }
            }
            Message::Ended(id) => {
                let connection = self.connections[&id];
                if let Some(link) = connection.agent_link {
                    self.agents[index].links.remove(&link);
                    self.agent(index, |agent, now| agent.remove_connection(link, now));
                }
                self.after(
                    50 * MS,
                    Event::Dial {
                        agent: index,
                        entry: connection.entry,
                    },
                );
            }
            Message::StartAnswer(key, answer) => {
                self.agent(index, |agent, now| {
                    agent.handle_start_answer(key, answer, now)
                });
            }
            Message::StopAnswer(number) => {
                self.agent(index, |agent, now| agent.handle_stop_answer(number, now));
            }
            Message::Listing(listing, asked) => {
                self.agent(index, |agent, now| {
                    agent.handle_listing(&listing, Monotonic(asked), now);
                });
            }
            Message::HoldFailed(asked, refused) => self.agent(index, |agent, now| {
                agent.handle_failed_poll(refused, Monotonic(asked), now);
            }),
            Message::Report(..) | Message::Connected(_) => {}
        }
    }
}
