//! Agents, their connections and their backend servers.

use bytes::Bytes;
use ibisspool_core::agent::{Action, Agent, Event as Happened};
use ibisspool_core::entry;
use ibisspool_core::frame::{End, Order, Report};
use ibisspool_core::job::Task;
use rand::Rng;

use super::plan::Mutant;
use super::{DATA_CENTRES, Event, Input, KIND, Link, Network, Output, Process, SECOND, State};

impl Network {
    pub(super) fn new_agent(&mut self, process: Process) -> State {
        let name = self.name(process.number);
        let timing = self.plan.agent_timing();
        let data_centre = DATA_CENTRES[process.number % 2];
        let agent = Agent::new(&name, data_centre, process.incarnation, timing);
        let slots = self.rng.random_range(1..=4);
        let kinds = vec![KIND.to_owned()];
        let announced = Input::Agent(Happened::Registered { slots, kinds });
        self.at(self.now, Event::To(process, announced));
        for entry in 0..self.plan.entries {
            let at = self.now + self.rng.random_range(0..SECOND / 2);
            self.at(
                at,
                Event::Connect {
                    agent: process,
                    entry,
                },
            );
        }
        State::Agent(Box::new(agent))
    }

    pub(super) fn step_agent(&mut self, process: Process, input: Input) -> Vec<Output> {
        let Some(event) = self.agent_event(process, input) else {
            return Vec::new();
        };
        let now = self.clock(process.number);
        let mut actions = Vec::new();
        if let State::Agent(agent) = &mut self.hosts[process.number].state {
            agent.handle(event, now, &mut actions);
        }
        let name = self.name(process.number);
        for action in &actions {
            match action {
                Action::Start { task, .. } => {
                    self.log(process.number, "starts", task);
                    let data_centre = DATA_CENTRES[process.number % 2];
                    self.checks.start(&name, data_centre, *task);
                }
                Action::Report { report, .. } => {
                    let process = format!("{name}/{}", process.incarnation);
                    self.checks.epoch(&process, report.epoch);
                }
                _ => {}
            }
        }
        actions.into_iter().map(Output::Agent).collect()
    }

    fn agent_event(&mut self, process: Process, input: Input) -> Option<Happened> {
        match input {
            Input::Tick => Some(Happened::Tick),
            Input::Agent(event) => Some(event),
            Input::Order { link, order } => {
                self.links.get(&link).filter(|link| link.agent_open)?;
                let name = self.name(process.number);
                for dispatch in &order.dispatches {
                    self.checks
                        .dispatched(&name, dispatch.task, dispatch.attempt, order.epoch);
                }
                Some(Happened::OrderReceived { link, order })
            }
            Input::Closed { link } => {
                let state = self.links.get_mut(&link)?;
                state.agent_open = false;
                let entry = state.entry.number;
                let at = self.now + self.rng.random_range(0..SECOND);
                self.at(
                    at,
                    Event::Connect {
                        agent: process,
                        entry,
                    },
                );
                Some(Happened::Disconnected { link })
            }
            _ => None,
        }
    }

    /// Opens a connection, or tries again later.
    pub(super) fn connect(&mut self, agent: Process, entry: usize) {
        if !self.is_alive(agent) {
            return;
        }
        let entry = self.process(entry);
        let cut = self.cut_until(agent.number, entry.number);
        if !self.is_alive(entry) || cut > self.now {
            let at = self.now + self.rng.random_range(SECOND / 10..SECOND / 2);
            return self.at(
                at,
                Event::Connect {
                    agent,
                    entry: entry.number,
                },
            );
        }
        self.next += 1;
        let link = self.next;
        let state = Link {
            agent,
            entry,
            agent_open: true,
            entry_open: true,
            up: self.now,
            down: self.now,
            stamp: None,
        };
        self.links.insert(link, state);
        let attached = Input::Agent(Happened::Connected { link });
        self.at(self.now, Event::To(agent, attached));
    }

    pub(super) fn send_agent(&mut self, process: Process, action: Action) {
        match action {
            Action::Report { link, report } => self.send_report(link, report),
            Action::Start { task, input, .. } => self.run_task(process, task, input),
            _ => {}
        }
    }

    fn send_report(&mut self, link: u64, report: Report) {
        let delay = self.delay();
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        let (from, to) = (state.agent.number, state.entry);
        let cut = self.cuts.get(&(from, to.number)).copied().unwrap_or(0);
        state.up = state.up.max(cut).max(self.now + delay);
        let at = state.up;
        self.at(at, Event::To(to, Input::Report { link, report }));
    }

    pub(super) fn send_order(&mut self, process: Process, link: u64, mut order: Order) {
        let delay = self.delay();
        self.log(process.number, "orders", &(link, &order));
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        if self.plan.mutant == Some(Mutant::NewestStamp) && order.permit.is_some() {
            order.permit = order.permit.max(state.stamp);
        }
        let to = state.agent;
        let cut = self
            .cuts
            .get(&(process.number, to.number))
            .copied()
            .unwrap_or(0);
        state.down = state.down.max(cut).max(self.now + delay);
        let at = state.down;
        self.at(at, Event::To(to, Input::Order { link, order }));
    }

    /// Takes a report off a connection at its entry.
    pub(super) fn reported(&mut self, link: u64, report: Report) -> Option<entry::Event> {
        let state = self.links.get_mut(&link).filter(|link| link.entry_open)?;
        state.stamp = state.stamp.max(Some(report.stamp));
        Some(entry::Event::Reported { link, report })
    }

    pub(super) fn entry_closed(&mut self, link: u64) -> Option<entry::Event> {
        let state = self.links.get_mut(&link).filter(|link| link.entry_open)?;
        state.entry_open = false;
        Some(entry::Event::Detached { link })
    }

    /// Breaks a connection; each side notices in its own time, after frames still on the way.
    pub(super) fn break_link(&mut self, link: u64) {
        let Some(Link { agent, entry, .. }) = self.links.get(&link).copied() else {
            return;
        };
        for process in [agent, entry] {
            let at = self.now + self.rng.random_range(0..3 * SECOND);
            self.at(at, Event::To(process, Input::Closed { link }));
        }
    }

    fn run_task(&mut self, process: Process, task: Task, input: Bytes) {
        let run = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(SECOND..6 * SECOND),
            1..=3 => self.rng.random_range(100_000..SECOND),
            _ => self.rng.random_range(1_000..100_000),
        };
        let end = match self.rng.random_range(0..40) {
            0 => End::Failed("500".to_owned()),
            1 => End::Unknown("the connection broke".to_owned()),
            _ => End::Done(input),
        };
        let ended = Input::Agent(Happened::TaskEnded { task, end });
        self.at(self.now + run, Event::To(process, ended));
    }
}
