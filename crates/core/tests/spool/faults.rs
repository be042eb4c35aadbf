//! Faults of processes and connections, and what mends them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::Agent;
use ibisspool_core::spool::entry::Entry;
use ibisspool_core::spool::message::{AgentHello, Member};
use ibisspool_core::time::{Monotonic, Now};
use ibisspool_standin::executor::Executor;
use rand::Rng;

use super::{Event, Fault, MS, Message, Mutant, Process, World, catalogue};

/// Time after which an agent gives up the connection to a silent entry.
const GIVEN_UP: u64 = 1_200 * MS;

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        if self.traced {
            println!("{:10.2} {fault:?}", self.now as f64 / MS as f64);
        }
        match fault {
            Fault::KillEntry(index, back) => self.kill(Process::Entry(index), back),
            Fault::KillAgent(index, back) => self.kill(Process::Agent(index), back),
            Fault::PauseEntry(index, time) => {
                self.entries[index].paused = true;
                for agent in 0..self.agents.len() {
                    let slept = self.slept(agent);
                    let event = Event::GiveUpLink {
                        agent,
                        entry: index,
                        slept,
                    };
                    self.after(GIVEN_UP, event);
                }
                self.after(time, Event::Wake(Process::Entry(index)));
            }
            Fault::PauseAgent(index, time) => {
                if !self.agents[index].paused {
                    self.agents[index].paused = true;
                    self.agents[index].paused_at = self.now;
                    self.after(time, Event::Wake(Process::Agent(index)));
                }
            }
            Fault::Cut(entry, agent, time, up, down) => {
                self.cuts
                    .push((entry, agent, self.now, self.now + time, up, down));
            }
            Fault::Reset(entry, agent) => {
                let hit: Vec<u64> = self
                    .connections
                    .iter()
                    .filter(|(_id, c)| c.open && c.entry == entry && c.agent == agent)
                    .map(|(id, _c)| *id)
                    .collect();
                for id in hit {
                    self.break_connection(id);
                }
            }
            Fault::Reborn(index) => {
                let executor = &self.executors[index];
                let (capacity, slowness) = (executor.capacity, executor.slowness);
                let rate = self.random.random_range(0.98..1.0);
                self.executors[index] = Executor::new(capacity, rate, slowness, self.now.max(2));
                self.agents[index].sequence = 0;
                self.announce(index);
            }
            Fault::Crash(index, time) => {
                self.executors[index].running.clear();
                self.dark.insert(index, self.now + time);
                self.after(time, Event::Fault(Fault::Reborn(index)));
            }
            Fault::Slow(index, factor, time) => {
                let usual = self.executors[index].slowness;
                self.executors[index].slowness = usual * factor as f64;
                self.after(time, Event::Restore(index, usual));
            }
            Fault::Err(index, time) => {
                self.erring.insert(index, self.now + time);
            }
            Fault::Hang(index, time) => {
                self.hanging.insert(index, self.now + time);
            }
            Fault::Step(index, millis) => self.agents[index].stepped += millis,
            Fault::Drain(index) => {
                self.agents[index].ready = false;
                self.announce(index);
            }
        }
    }

    pub(super) fn kill(&mut self, process: Process, back: u64) {
        let hit: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_id, c)| c.open)
            .filter(|(_id, c)| {
                process == Process::Entry(c.entry) || process == Process::Agent(c.agent)
            })
            .map(|(id, _c)| *id)
            .collect();
        match process {
            Process::Entry(index) => {
                let jobs: Vec<(usize, u32)> = self.entries[index].jobs.values().copied().collect();
                let entry = &mut self.entries[index];
                entry.entry = None;
                entry.inbox.clear();
                entry.jobs.clear();
                entry.links.clear();
                for (job, attempt) in jobs {
                    if self.random.random_bool(0.7) {
                        self.answer(job, attempt, None);
                    }
                }
            }
            Process::Agent(index) => {
                let agent = &mut self.agents[index];
                agent.agent = None;
                agent.inbox.clear();
                agent.links.clear();
                agent.waiting.clear();
                agent.holding = false;
            }
        }
        let dark = self.random.random_bool(0.5);
        for id in hit {
            if !dark {
                self.break_connection(id);
            }
        }
        self.after(back.max(10 * MS), Event::Revive(process));
    }

    /// Ends a connection; each side that lives learns of it after the usual delay.
    pub(super) fn break_connection(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open = false;
        }
        self.send(id, true, Message::Ended(id));
        self.send(id, false, Message::Ended(id));
    }

    pub(super) fn revive(&mut self, process: Process) {
        let now = Now {
            mono: Monotonic(self.now + 1),
            wall: self.time_of_day(process),
        };
        match process {
            Process::Entry(index) => {
                let member = |index: usize| Member {
                    name: format!("entry-{index}"),
                    address: ([10, 0, 0, index as u8], 7_000).into(),
                };
                let me = member(index);
                let all: Vec<Member> = (0..self.plan.entries).map(member).collect();
                let mut safety = self.safety;
                if self.plan.mutant == Some(Mutant::HastyOrphans) {
                    safety.entry_silence_limit = Duration::from_millis(1);
                    safety.unconfirmed_stop_limit = Duration::from_millis(1);
                    safety.lease = Duration::from_millis(1);
                }
                let mut entry = Entry::new(me, safety, self.random.random())
                    .with_watched(self.plan.watched)
                    .with_policy(self.plan.policy);
                entry.learn_members(&all);
                entry.set_catalogue(Arc::new(catalogue()), "test", now);
                let slot = &mut self.entries[index];
                if slot.entry.is_none() {
                    slot.entry = Some(entry);
                    slot.boot += 1;
                    slot.paused = false;
                }
            }
            Process::Agent(index) => {
                let hello = AgentHello {
                    name: format!("agent-{index}"),
                    data_centre: "a".to_owned(),
                };
                let mut safety = self.safety;
                if self.plan.mutant == Some(Mutant::Patient) {
                    safety.entry_silence_limit *= 20;
                }
                let slot = &mut self.agents[index];
                if slot.agent.is_none() {
                    slot.agent = Some(Agent::new(hello, safety, now));
                    slot.boot += 1;
                    slot.paused = false;
                    slot.lag = 0;
                    let slot_boot = slot.boot;
                    for entry in 0..self.plan.entries {
                        self.after(
                            5 * MS,
                            Event::Dial {
                                agent: index,
                                entry,
                            },
                        );
                    }
                    if slot_boot == 1 {
                        self.after(10 * MS, Event::Announce(index));
                    }
                }
            }
        }
    }

    /// Returns for how long an agent has slept so far.
    fn slept(&self, agent: usize) -> u64 {
        let slot = &self.agents[agent];
        let now = if slot.paused {
            self.now - slot.paused_at
        } else {
            0
        };
        slot.lag + now
    }

    pub(super) fn give_up_link(&mut self, agent: usize, entry: usize, slept: u64) {
        let since = self.slept(agent).saturating_sub(slept);
        if !self.entries[entry].paused {
            return;
        }
        if since == 0 {
            self.fault(Fault::Reset(entry, agent));
        } else {
            let event = Event::GiveUpLink {
                agent,
                entry,
                slept: slept + since,
            };
            self.after(since, event);
        }
    }

    pub(super) fn wake(&mut self, process: Process) {
        let inbox = match process {
            Process::Entry(index) => {
                self.entries[index].paused = false;
                std::mem::take(&mut self.entries[index].inbox)
            }
            Process::Agent(index) => {
                let agent = &mut self.agents[index];
                agent.paused = false;
                agent.lag += self.now - agent.paused_at;
                std::mem::take(&mut agent.inbox)
            }
        };
        self.handle_in_any_order(inbox);
    }

    /// Handles what waited at a process: each connection keeps its order, but the process may look
    /// at the connections in any order.
    fn handle_in_any_order(&mut self, inbox: Vec<Event>) {
        let mut sources: Vec<(Source, VecDeque<Event>)> = Vec::new();
        for event in inbox {
            let source = Source::of(&event);
            let known = sources.iter_mut().find(|(known, _events)| *known == source);
            match known {
                Some((_source, events)) if source != Source::Alone => events.push_back(event),
                _ => sources.push((source, VecDeque::from([event]))),
            }
        }
        while !sources.is_empty() {
            let index = self.random.random_range(0..sources.len());
            match sources[index].1.pop_front() {
                Some(event) => self.handle(event),
                None => drop(sources.swap_remove(index)),
            }
        }
    }
}

/// What an event that waits at a process came over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Connection(u64),
    Caller(usize),
    /// A connection that carries one answer.
    Alone,
}

impl Source {
    fn of(event: &Event) -> Self {
        match event {
            Event::Submit { job, .. } | Event::Close { job, .. } => Self::Caller(*job),
            Event::Deliver { message, .. } => match message {
                Message::Report(id, _)
                | Message::Order(id, _)
                | Message::Connected(id)
                | Message::Ended(id) => Self::Connection(*id),
                Message::StartAnswer(..)
                | Message::StopAnswer(_)
                | Message::Listing(..)
                | Message::HoldFailed(..) => Self::Alone,
            },
            _ => Self::Alone,
        }
    }
}
