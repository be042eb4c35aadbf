//! Event loop of the simulation: delivers messages between entries and agents in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use ibisspool_core::agent::{self, Agent};
use ibisspool_core::control::{Member, Row};
use ibisspool_core::entry::{self, Entry, Origin, WaiterId};
use ibisspool_core::frame::{End, Order, Report};
use ibisspool_core::job::{Answer, Id, Spec, Task};
use ibisspool_core::placement::Policy;
use ibisspool_core::refusal::Reason;
use ibisspool_core::settings::{Bounds, Timing};
use ibisspool_core::time::{Monotonic, Now, Wall};

use super::measure::{Figures, Samples};
use super::workload::{SECOND_US, Workload};

/// One-way delay of every message, in microseconds.
const MESSAGE_DELAY_US: u64 = 500;

/// Duration of a read of the table service, in microseconds.
const TABLE_READ_US: u64 = 2_000;

/// Time between two ticks of an entry and of an agent, in microseconds.
const TICK_INTERVALS_US: (u64, u64) = (10_000, 20_000);

/// Time before the first arrival, in microseconds, in which the agents attach to the entries.
const ATTACH_TIME_US: u64 = 1_000_000;

/// Longest time, in microseconds, that a run continues after the period of arrivals.
const DRAIN_US: u64 = 300_000_000;

/// Wall clock at the start of the run, in milliseconds since the Unix epoch.
const START_TIME: Wall = Wall(1_800_000_000_000);

/// Length of an agent's queue per slot under the policies other than the default. These baselines
/// queue tasks at the agents, so their queues must not be the limit.
const BASELINE_QUEUE_PER_SLOT: usize = 100_000;

/// Events of the simulation. The first number is the index of the job, entry or agent; the second
/// is the connection, `agent index * number of entries + entry index`.
#[derive(Debug)]
enum ScheduledEvent {
    JobArrived(usize),
    EntryEvent(usize, entry::Event),
    AgentEvent(usize, agent::Event),
    EntryTick(usize),
    AgentTick(usize),
    OrderReceived(usize, u64, Order),
    ReportReceived(usize, u64, Report),
}

/// State of a run. Times are in microseconds since its start.
#[derive(Debug)]
struct Simulation<'a> {
    workload: &'a Workload,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    row: Row,
    now_us: u64,
    sequence: u64,
    /// Events by time and by the order of their scheduling.
    pending_events: BTreeMap<(u64, u64), ScheduledEvent>,
    /// For each unanswered heartbeat, the indices of its sender and its receiver and the time of
    /// sending.
    heartbeats: HashMap<WaiterId, (usize, usize, Monotonic)>,
    /// Last waiter id given out; the ids from 0 belong to the jobs, the later ones to heartbeats.
    last_waiter: u64,
    unanswered_jobs: usize,
    samples: Samples,
    figures: Figures,
    frames: u64,
    messages: u64,
    ended_tasks: u64,
    /// Work of the jobs completed within the period of arrivals.
    completed_work_us: f64,
    /// Slot time within the period of arrivals in which a task ran.
    busy_us: f64,
    /// Time of the last answer to a job of the burst, since the start of the arrivals.
    burst_answered_us: u64,
}

/// Runs a workload under a policy until every job is answered, at most 300 s of virtual time after
/// the period of arrivals. `seed` seeds the random choices of the entries.
///
/// # Errors
/// Fails if a response time is out of the range of its histogram.
pub fn run(workload: &Workload, policy: Policy, seed: u64) -> Result<Figures> {
    let mut simulation = Simulation::new(workload, policy, seed)?;
    simulation.schedule_initial_events();
    let cut_off_us = ATTACH_TIME_US + workload.duration_us + DRAIN_US;
    while simulation.unanswered_jobs > 0 && simulation.now_us < cut_off_us {
        let Some(((at_us, _sequence), event)) = simulation.pending_events.pop_first() else {
            break;
        };
        simulation.now_us = at_us;
        simulation.handle_event(event)?;
    }
    Ok(simulation.into_figures(policy))
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, policy: Policy, seed: u64) -> Result<Self> {
        let timing = Timing::default();
        let members: Vec<Member> = workload
            .data_centres
            .iter()
            .enumerate()
            .map(|(number, data_centre)| Member {
                name: format!("entry-{number}"),
                incarnation: 1,
                address: format!("entry-{number}"),
                data_centre: data_centre.clone(),
            })
            .collect();
        let entry = |(number, member): (usize, &Member)| {
            Entry::new(
                member.clone(),
                timing,
                Bounds::default(),
                seed + number as u64,
            )
            .with_policy(policy)
        };
        let agents = workload.servers.iter().enumerate().map(|(number, server)| {
            let name = format!("backend-{number}");
            let agent = Agent::new(&name, &server.data_centre, 1, timing);
            if policy == Policy::default() {
                agent
            } else {
                agent.with_queue_per_slot(BASELINE_QUEUE_PER_SLOT)
            }
        });
        Ok(Self {
            workload,
            entries: members.iter().enumerate().map(entry).collect(),
            agents: agents.collect(),
            row: Row {
                epoch: 1,
                members,
                catalogue: 1,
                change: "seed".to_owned(),
                ..Row::default()
            },
            now_us: 0,
            sequence: 0,
            pending_events: BTreeMap::new(),
            heartbeats: HashMap::new(),
            last_waiter: workload.jobs.len() as u64,
            unanswered_jobs: workload.jobs.len(),
            samples: Samples::new()?,
            figures: Figures::default(),
            frames: 0,
            messages: 0,
            ended_tasks: 0,
            completed_work_us: 0.0,
            busy_us: 0.0,
            burst_answered_us: 0,
        })
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay_us: u64, event: ScheduledEvent) {
        self.sequence += 1;
        let key = (self.now_us + delay_us, self.sequence);
        self.pending_events.insert(key, event);
    }

    fn now(&self) -> Now {
        Now {
            mono: Monotonic(self.now_us + ATTACH_TIME_US),
            wall: START_TIME.plus(Duration::from_micros(self.now_us)),
        }
    }

    fn schedule_initial_events(&mut self) {
        let kinds: Vec<String> = self
            .workload
            .catalogue
            .kinds
            .iter()
            .map(|kind| kind.name.clone())
            .collect();
        for number in 0..self.entries.len() {
            let row = self.row_read_event();
            self.schedule(0, ScheduledEvent::EntryEvent(number, row));
            self.schedule(0, ScheduledEvent::EntryTick(number));
        }
        for (number, server) in self.workload.servers.iter().enumerate() {
            let announced = agent::Event::Registered {
                slots: server.slots,
                kinds: kinds.clone(),
            };
            self.schedule(0, ScheduledEvent::AgentEvent(number, announced));
            for entry in 0..self.entries.len() {
                let link = (number * self.entries.len() + entry) as u64;
                self.schedule(
                    0,
                    ScheduledEvent::AgentEvent(number, agent::Event::Connected { link }),
                );
            }
            self.schedule(0, ScheduledEvent::AgentTick(number));
        }
        for (number, job) in self.workload.jobs.iter().enumerate() {
            self.schedule(
                ATTACH_TIME_US + job.arrival_us,
                ScheduledEvent::JobArrived(number),
            );
        }
    }

    fn row_read_event(&self) -> entry::Event {
        entry::Event::RowRead {
            sent: self.now().mono,
            version: 1,
            row: self.row.clone(),
        }
    }

    fn handle_event(&mut self, event: ScheduledEvent) -> Result<()> {
        match event {
            ScheduledEvent::JobArrived(number) => {
                let event = self.submit_event(number);
                self.step_entry(self.workload.jobs[number].entry, event)
            }
            ScheduledEvent::EntryEvent(number, event) => self.step_entry(number, event),
            ScheduledEvent::AgentEvent(number, event) => {
                if matches!(event, agent::Event::TaskEnded { .. }) {
                    self.ended_tasks += 1;
                }
                self.step_agent(number, event);
                Ok(())
            }
            ScheduledEvent::EntryTick(number) => {
                self.schedule(TICK_INTERVALS_US.0, ScheduledEvent::EntryTick(number));
                self.step_entry(number, entry::Event::Tick)
            }
            ScheduledEvent::AgentTick(number) => {
                self.schedule(TICK_INTERVALS_US.1, ScheduledEvent::AgentTick(number));
                self.step_agent(number, agent::Event::Tick);
                Ok(())
            }
            ScheduledEvent::OrderReceived(number, link, order) => {
                self.step_agent(number, agent::Event::OrderReceived { link, order });
                Ok(())
            }
            ScheduledEvent::ReportReceived(number, link, report) => {
                self.step_entry(number, entry::Event::ReportReceived { link, report })
            }
        }
    }

    fn submit_event(&self, number: usize) -> entry::Event {
        let job = &self.workload.jobs[number];
        let input = |work: &u64| Bytes::copy_from_slice(&work.to_be_bytes());
        entry::Event::Submit {
            waiter: WaiterId(number as u64),
            spec: Spec {
                id: Id::new(self.now().wall, [0; 10]),
                kind: job.kind.to_owned(),
                inputs: job.work_us.iter().map(input).collect(),
                timeout: Duration::from_millis(job.timeout_ms),
                idempotent: false,
            },
            origin: Origin::NewId,
        }
    }

    fn step_entry(&mut self, number: usize, event: entry::Event) -> Result<()> {
        let mut actions = Vec::new();
        let now = self.now();
        self.entries[number].handle(event, now, &mut actions);
        for action in actions {
            self.perform_action(number, action)?;
        }
        Ok(())
    }

    fn perform_action(&mut self, number: usize, action: entry::Action) -> Result<()> {
        use entry::Action;
        match action {
            Action::Answer { waiter, answer, .. } => self.record_answer(waiter, &answer)?,
            Action::SendOrder { link, order } => self.send_order(link, order),
            Action::SendHeartbeat { to, epoch } => self.send_heartbeat(number, &to, epoch),
            Action::AnswerHeartbeat { waiter, epoch } => self.send_heartbeat_answer(waiter, epoch),
            Action::ReadRow => {
                let event = self.row_read_event();
                self.schedule(TABLE_READ_US, ScheduledEvent::EntryEvent(number, event));
            }
            Action::ReadCatalogue { version } => {
                let catalogue = self.workload.catalogue.clone();
                let event = entry::Event::CatalogueRead { version, catalogue };
                self.schedule(TABLE_READ_US, ScheduledEvent::EntryEvent(number, event));
            }
            Action::CountRetry(reason) => {
                // The wasted messages are the dispatch and its reply.
                *self.figures.wasted.entry(reason.to_string()).or_default() += 2;
            }
            _ => {}
        }
        Ok(())
    }

    fn send_order(&mut self, link: u64, order: Order) {
        self.frames += 1;
        self.messages += (order.dispatches.len() + order.recalls.len()) as u64;
        self.figures.dispatches += order.dispatches.len() as u64;
        let number = link as usize / self.entries.len();
        self.schedule(
            MESSAGE_DELAY_US,
            ScheduledEvent::OrderReceived(number, link, order),
        );
    }

    fn send_heartbeat(&mut self, from: usize, to: &Member, epoch: u64) {
        let Some(number) = self
            .row
            .members
            .iter()
            .position(|member| member.name == to.name)
        else {
            return;
        };
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        self.heartbeats
            .insert(waiter, (from, number, self.now().mono));
        let event = entry::Event::HeartbeatReceived { waiter, epoch };
        self.schedule(MESSAGE_DELAY_US, ScheduledEvent::EntryEvent(number, event));
    }

    fn send_heartbeat_answer(&mut self, waiter: WaiterId, epoch: u64) {
        if let Some((from, to, sent)) = self.heartbeats.remove(&waiter) {
            let event = entry::Event::HeartbeatAnswered {
                member: self.row.members[to].clone(),
                epoch,
                sent,
            };
            self.schedule(MESSAGE_DELAY_US, ScheduledEvent::EntryEvent(from, event));
        }
    }

    fn record_answer(&mut self, waiter: WaiterId, answer: &Answer) -> Result<()> {
        let job = &self.workload.jobs[waiter.0 as usize];
        self.unanswered_jobs -= 1;
        let response_us = self.now_us - ATTACH_TIME_US - job.arrival_us;
        if self
            .workload
            .burst
            .is_some_and(|(start, end)| (start..end).contains(&job.arrival_us))
        {
            self.burst_answered_us = self.burst_answered_us.max(self.now_us - ATTACH_TIME_US);
        }
        match answer {
            Answer::Complete(_) => {
                self.figures.complete += 1;
                let ideal = self.workload.ideal_us(job);
                self.samples
                    .record_complete(job.arrival_us, response_us, ideal)?;
                if self.now_us <= ATTACH_TIME_US + self.workload.duration_us {
                    self.completed_work_us += job.work_us.iter().sum::<u64>() as f64;
                }
            }
            Answer::Refused(refusal) => {
                let reason = refusal.reason.to_string();
                *self.figures.refusals.entry(reason).or_default() += 1;
                if refusal.reason != Reason::TimedOut {
                    self.samples.refusal_us.record(response_us)?;
                }
            }
        }
        Ok(())
    }

    fn step_agent(&mut self, number: usize, event: agent::Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.agents[number].handle(event, now, &mut actions);
        for action in actions {
            match action {
                agent::Action::Report { link, report } => {
                    self.frames += 1;
                    self.messages += report.outcomes.len() as u64;
                    let entry = link as usize % self.entries.len();
                    self.schedule(
                        MESSAGE_DELAY_US,
                        ScheduledEvent::ReportReceived(entry, link, report),
                    );
                }
                agent::Action::Start { task, input, .. } => self.start_task(number, task, &input),
                agent::Action::Connect { .. } | agent::Action::ForeignOrder => {}
            }
        }
    }

    fn start_task(&mut self, number: usize, task: Task, input: &Bytes) {
        let mut work_us = [0; 8];
        work_us.copy_from_slice(input);
        let run_us = u64::from_be_bytes(work_us) as f64 / self.workload.servers[number].speed;
        let end_us =
            (self.now_us as f64 + run_us).min((ATTACH_TIME_US + self.workload.duration_us) as f64);
        self.busy_us += (end_us - self.now_us as f64).max(0.0);
        let end = End::Done(Bytes::new());
        let event = agent::Event::TaskEnded { task, end };
        self.schedule(run_us as u64, ScheduledEvent::AgentEvent(number, event));
    }

    fn into_figures(mut self, policy: Policy) -> Figures {
        let duration_us = self.workload.duration_us as f64;
        let slots: u32 = self
            .workload
            .servers
            .iter()
            .map(|server| server.slots)
            .sum();
        let mut figures = std::mem::take(&mut self.figures);
        self.samples.write_to(&mut figures);
        figures.policy = policy.to_string();
        figures.jobs = self.workload.jobs.len() as u64;
        if self.unanswered_jobs > 0 {
            figures
                .refusals
                .insert("unanswered".to_owned(), self.unanswered_jobs as u64);
        }
        let ended_tasks = self.ended_tasks.max(1) as f64;
        figures.frames_per_task = self.frames as f64 / ended_tasks;
        figures.messages_per_task = self.messages as f64 / ended_tasks;
        let wasted: u64 = figures.wasted.values().sum();
        figures.wasted_share = wasted as f64 / self.messages.max(1) as f64;
        figures.goodput = self.completed_work_us / duration_us / self.workload.capacity();
        figures.busy = self.busy_us / duration_us / f64::from(slots);
        if let Some((start, end)) = self.workload.burst {
            let jobs_in_burst = self
                .workload
                .jobs
                .iter()
                .filter(|job| (start..end).contains(&job.arrival_us));
            let work_us: u64 = jobs_in_burst.flat_map(|job| &job.work_us).sum();
            figures.burst_work_s = Some(work_us as f64 / self.workload.capacity() / SECOND_US);
            figures.burst_over_s =
                Some(self.burst_answered_us.saturating_sub(start) as f64 / SECOND_US);
        }
        figures
    }
}
