//! Simulation of agents, their connections to entries and their backend servers.

use bytes::Bytes;
use ibisspool_core::agent::{Action, Agent, Event as AgentEvent};
use ibisspool_core::entry;
use ibisspool_core::frame::{End, Order, Report};
use ibisspool_core::job::Task;
use rand::Rng;

use super::plan::Mutant;
use super::{
    DATA_CENTRES, Event, Input, JOB_KIND, Link, Output, Process, ProcessState, SECOND_US,
    Simulation,
};

impl Simulation {
    /// Returns a new agent process, and schedules its connections to all entries.
    pub(super) fn new_agent(&mut self, process: Process) -> ProcessState {
        let name = self.process_name(process.number);
        let timing = self.plan.agent_timing();
        let data_centre = DATA_CENTRES[process.number % 2];
        let agent = Agent::new(&name, data_centre, process.incarnation, timing);
        let slots = self.rng.random_range(1..=4);
        let kinds = vec![JOB_KIND.to_owned()];
        let announced = Input::Agent(AgentEvent::Registered { slots, kinds });
        self.schedule(self.now_us, Event::Deliver(process, announced));
        for entry in 0..self.plan.entries {
            let at = self.now_us + self.rng.random_range(0..SECOND_US / 2);
            self.schedule(
                at,
                Event::Connect {
                    agent: process,
                    entry,
                },
            );
        }
        ProcessState::Agent(Box::new(agent))
    }

    /// Lets an agent handle an input, checks the invariants, and returns its actions.
    pub(super) fn step_agent(&mut self, process: Process, input: Input) -> Vec<Output> {
        let Some(event) = self.input_to_event(process, input) else {
            return Vec::new();
        };
        let now = self.clock_of(process.number);
        let mut actions = Vec::new();
        if let ProcessState::Agent(agent) = &mut self.hosts[process.number].state {
            agent.handle(event, now, &mut actions);
        }
        let name = self.process_name(process.number);
        for action in &actions {
            match action {
                Action::Start { task, .. } => {
                    self.log_event(process.number, "starts task", task);
                    let data_centre = DATA_CENTRES[process.number % 2];
                    self.checker.check_start(&name, data_centre, *task);
                }
                Action::Report { report, .. } => {
                    let process = format!("{name}/{}", process.incarnation);
                    self.checker.check_epoch(&process, report.epoch);
                }
                _ => {}
            }
        }
        actions.into_iter().map(Output::Agent).collect()
    }

    /// Returns the agent's event for an input, `None` if the input comes over a closed connection.
    fn input_to_event(&mut self, process: Process, input: Input) -> Option<AgentEvent> {
        match input {
            Input::Tick => Some(AgentEvent::Tick),
            Input::Agent(event) => Some(event),
            Input::Order { link, order } => {
                self.links.get(&link).filter(|link| link.agent_open)?;
                let name = self.process_name(process.number);
                for dispatch in &order.dispatches {
                    self.checker.record_dispatch(
                        &name,
                        dispatch.task,
                        dispatch.attempt,
                        order.epoch,
                    );
                }
                Some(AgentEvent::OrderReceived { link, order })
            }
            Input::Closed { link } => {
                let connection = self.links.get_mut(&link)?;
                connection.agent_open = false;
                let entry = connection.entry.number;
                let at = self.now_us + self.rng.random_range(0..SECOND_US);
                self.schedule(
                    at,
                    Event::Connect {
                        agent: process,
                        entry,
                    },
                );
                Some(AgentEvent::Disconnected { link })
            }
            _ => None,
        }
    }

    /// Opens a connection, or schedules another try if the entry cannot be reached.
    pub(super) fn open_link(&mut self, agent: Process, entry: usize) {
        if !self.is_alive(agent) {
            return;
        }
        let entry = self.process(entry);
        let partitioned_until = self.partitioned_until(agent.number, entry.number);
        if !self.is_alive(entry) || partitioned_until > self.now_us {
            let at = self.now_us + self.rng.random_range(SECOND_US / 10..SECOND_US / 2);
            return self.schedule(
                at,
                Event::Connect {
                    agent,
                    entry: entry.number,
                },
            );
        }
        self.last_number += 1;
        let link = self.last_number;
        let connection = Link {
            agent,
            entry,
            agent_open: true,
            entry_open: true,
            last_report_arrival_us: self.now_us,
            last_order_arrival_us: self.now_us,
            newest_stamp: None,
        };
        self.links.insert(link, connection);
        let attached = Input::Agent(AgentEvent::Connected { link });
        self.schedule(self.now_us, Event::Deliver(agent, attached));
    }

    pub(super) fn carry_out_agent_action(&mut self, process: Process, action: Action) {
        match action {
            Action::Report { link, report } => self.send_report(link, report),
            Action::Start { task, input, .. } => self.run_task(process, task, input),
            _ => {}
        }
    }

    /// Sends a report over a connection, which delivers in order and waits out partitions.
    fn send_report(&mut self, link: u64, report: Report) {
        let delay_us = self.draw_delay_us();
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        let (from, to) = (connection.agent.number, connection.entry);
        let partitioned_until = self
            .partitioned_until_us
            .get(&(from, to.number))
            .copied()
            .unwrap_or(0);
        connection.last_report_arrival_us = connection
            .last_report_arrival_us
            .max(partitioned_until)
            .max(self.now_us + delay_us);
        let at = connection.last_report_arrival_us;
        self.schedule(at, Event::Deliver(to, Input::Report { link, report }));
    }

    /// Sends an order over a connection, which delivers in order and waits out partitions.
    pub(super) fn send_order(&mut self, process: Process, link: u64, mut order: Order) {
        let delay_us = self.draw_delay_us();
        self.log_event(process.number, "sends order", &(link, &order));
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        if self.plan.mutant == Some(Mutant::NewestStampAsPermit) && order.permit.is_some() {
            order.permit = order.permit.max(connection.newest_stamp);
        }
        let to = connection.agent;
        let partitioned_until = self
            .partitioned_until_us
            .get(&(process.number, to.number))
            .copied()
            .unwrap_or(0);
        connection.last_order_arrival_us = connection
            .last_order_arrival_us
            .max(partitioned_until)
            .max(self.now_us + delay_us);
        let at = connection.last_order_arrival_us;
        self.schedule(at, Event::Deliver(to, Input::Order { link, order }));
    }

    /// Returns the entry's event for a report, `None` if the entry has noticed a close.
    pub(super) fn receive_report(&mut self, link: u64, report: Report) -> Option<entry::Event> {
        let connection = self.links.get_mut(&link).filter(|link| link.entry_open)?;
        connection.newest_stamp = connection.newest_stamp.max(Some(report.stamp));
        Some(entry::Event::ReportReceived { link, report })
    }

    /// Returns the entry's event for a closed connection, `None` if the entry has noticed before.
    pub(super) fn close_entry_side(&mut self, link: u64) -> Option<entry::Event> {
        let connection = self.links.get_mut(&link).filter(|link| link.entry_open)?;
        connection.entry_open = false;
        Some(entry::Event::AgentDisconnected { link })
    }

    /// Breaks a connection. Each side notices after a delay of its own and may receive messages in
    /// flight until then.
    pub(super) fn break_link(&mut self, link: u64) {
        let Some(Link { agent, entry, .. }) = self.links.get(&link).copied() else {
            return;
        };
        for process in [agent, entry] {
            let at = self.now_us + self.rng.random_range(0..3 * SECOND_US);
            self.schedule(at, Event::Deliver(process, Input::Closed { link }));
        }
    }

    /// Schedules the end of a task that a backend server runs, with a random run time and result.
    fn run_task(&mut self, process: Process, task: Task, input: Bytes) {
        let run_us = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(SECOND_US..6 * SECOND_US),
            1..=3 => self.rng.random_range(100_000..SECOND_US),
            _ => self.rng.random_range(1_000..100_000),
        };
        let end = match self.rng.random_range(0..40) {
            0 => End::Failed("500".to_owned()),
            1 => End::Unknown("the connection broke".to_owned()),
            _ => End::Done(input),
        };
        let ended = Input::Agent(AgentEvent::TaskEnded { task, end });
        self.schedule(self.now_us + run_us, Event::Deliver(process, ended));
    }
}
