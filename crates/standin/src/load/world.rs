//! The event loop that carries messages between entries and agents in virtual time.

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
const DELAY_US: u64 = 500;

/// Time of a read of the table service, in microseconds.
const READ_US: u64 = 2_000;

/// Time between ticks of entries and of agents, in microseconds.
const TICKS_US: (u64, u64) = (10_000, 20_000);

/// Arrivals begin after this time, in microseconds, so that agents are attached.
const SETTLE_US: u64 = 1_000_000;

/// A run is cut off this long after its last arrival, in microseconds.
const DRAIN_US: u64 = 300_000_000;

/// Wall time of the start, in milliseconds since the Unix epoch.
const START: Wall = Wall(1_800_000_000_000);

/// Tasks that wait for one slot under the baselines, which queue at the agents.
const BASELINE_QUEUE: usize = 100_000;

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Entry(usize, entry::Event),
    Agent(usize, agent::Event),
    TickEntry(usize),
    TickAgent(usize),
    Ordered(usize, u64, Order),
    Reported(usize, u64, Report),
}

#[derive(Debug)]
struct World<'a> {
    workload: &'a Workload,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    row: Row,
    now_us: u64,
    sequence: u64,
    calendar: BTreeMap<(u64, u64), Happening>,
    beats: HashMap<WaiterId, (usize, usize, Monotonic)>,
    waiters: u64,
    open: usize,
    samples: Samples,
    figures: Figures,
    frames: u64,
    messages: u64,
    ended: u64,
    good_us: f64,
    busy_us: f64,
    burst_end_us: u64,
}

/// Runs a workload under a policy until every job has its answer.
///
/// # Errors
/// Fails if a sample is out of range.
pub fn run(workload: &Workload, policy: Policy, seed: u64) -> Result<Figures> {
    let mut world = World::new(workload, policy, seed)?;
    world.begin();
    let cut_off = SETTLE_US + workload.length_us + DRAIN_US;
    while world.open > 0 && world.now_us < cut_off {
        let Some(((at, _sequence), happening)) = world.calendar.pop_first() else {
            break;
        };
        world.now_us = at;
        world.happen(happening)?;
    }
    Ok(world.finish(policy))
}

impl<'a> World<'a> {
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
                agent.with_queue_per_slot(BASELINE_QUEUE)
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
            calendar: BTreeMap::new(),
            beats: HashMap::new(),
            waiters: workload.plans.len() as u64,
            open: workload.plans.len(),
            samples: Samples::new()?,
            figures: Figures::default(),
            frames: 0,
            messages: 0,
            ended: 0,
            good_us: 0.0,
            busy_us: 0.0,
            burst_end_us: 0,
        })
    }

    fn at(&mut self, delay_us: u64, happening: Happening) {
        self.sequence += 1;
        let key = (self.now_us + delay_us, self.sequence);
        self.calendar.insert(key, happening);
    }

    fn now(&self) -> Now {
        Now {
            mono: Monotonic(self.now_us + SETTLE_US),
            wall: START.plus(Duration::from_micros(self.now_us)),
        }
    }

    fn begin(&mut self) {
        let kinds: Vec<String> = self
            .workload
            .catalogue
            .kinds
            .iter()
            .map(|kind| kind.name.clone())
            .collect();
        for number in 0..self.entries.len() {
            let row = self.row_read();
            self.at(0, Happening::Entry(number, row));
            self.at(0, Happening::TickEntry(number));
        }
        for (number, server) in self.workload.servers.iter().enumerate() {
            let announced = agent::Event::Registered {
                slots: server.slots,
                kinds: kinds.clone(),
            };
            self.at(0, Happening::Agent(number, announced));
            for entry in 0..self.entries.len() {
                let link = (number * self.entries.len() + entry) as u64;
                self.at(
                    0,
                    Happening::Agent(number, agent::Event::Connected { link }),
                );
            }
            self.at(0, Happening::TickAgent(number));
        }
        for (number, plan) in self.workload.plans.iter().enumerate() {
            self.at(SETTLE_US + plan.at, Happening::Arrive(number));
        }
    }

    fn row_read(&self) -> entry::Event {
        entry::Event::RowRead {
            sent: self.now().mono,
            version: 1,
            row: self.row.clone(),
        }
    }

    fn happen(&mut self, happening: Happening) -> Result<()> {
        match happening {
            Happening::Arrive(number) => {
                let event = self.submission(number);
                self.drive_entry(self.workload.plans[number].entry, event)
            }
            Happening::Entry(number, event) => self.drive_entry(number, event),
            Happening::Agent(number, event) => {
                if matches!(event, agent::Event::TaskEnded { .. }) {
                    self.ended += 1;
                }
                self.drive_agent(number, event);
                Ok(())
            }
            Happening::TickEntry(number) => {
                self.at(TICKS_US.0, Happening::TickEntry(number));
                self.drive_entry(number, entry::Event::Tick)
            }
            Happening::TickAgent(number) => {
                self.at(TICKS_US.1, Happening::TickAgent(number));
                self.drive_agent(number, agent::Event::Tick);
                Ok(())
            }
            Happening::Ordered(number, link, order) => {
                self.drive_agent(number, agent::Event::OrderReceived { link, order });
                Ok(())
            }
            Happening::Reported(number, link, report) => {
                self.drive_entry(number, entry::Event::ReportReceived { link, report })
            }
        }
    }

    fn submission(&self, number: usize) -> entry::Event {
        let plan = &self.workload.plans[number];
        let input = |work: &u64| Bytes::copy_from_slice(&work.to_be_bytes());
        entry::Event::Submit {
            waiter: WaiterId(number as u64),
            spec: Spec {
                id: Id::new(self.now().wall, [0; 10]),
                kind: plan.kind.to_owned(),
                inputs: plan.work_us.iter().map(input).collect(),
                timeout: Duration::from_millis(plan.timeout_ms),
                idempotent: false,
            },
            origin: Origin::NewId,
        }
    }

    fn drive_entry(&mut self, number: usize, event: entry::Event) -> Result<()> {
        let mut actions = Vec::new();
        let now = self.now();
        self.entries[number].handle(event, now, &mut actions);
        for action in actions {
            self.carry_out(number, action)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, number: usize, action: entry::Action) -> Result<()> {
        use entry::Action;
        match action {
            Action::Answer { waiter, answer, .. } => self.answered(waiter, &answer)?,
            Action::SendOrder { link, order } => self.order(link, order),
            Action::SendHeartbeat { to, epoch } => self.beat(number, &to, epoch),
            Action::AnswerHeartbeat { waiter, epoch } => self.answer_beat(waiter, epoch),
            Action::ReadRow => {
                let event = self.row_read();
                self.at(READ_US, Happening::Entry(number, event));
            }
            Action::ReadCatalogue { version } => {
                let catalogue = self.workload.catalogue.clone();
                let event = entry::Event::CatalogueRead { version, catalogue };
                self.at(READ_US, Happening::Entry(number, event));
            }
            Action::CountRetry(reason) => {
                // The dispatch and its reply.
                *self.figures.wasted.entry(reason.to_string()).or_default() += 2;
            }
            _ => {}
        }
        Ok(())
    }

    fn order(&mut self, link: u64, order: Order) {
        self.frames += 1;
        self.messages += (order.dispatches.len() + order.recalls.len()) as u64;
        self.figures.dispatches += order.dispatches.len() as u64;
        let number = link as usize / self.entries.len();
        self.at(DELAY_US, Happening::Ordered(number, link, order));
    }

    fn beat(&mut self, from: usize, to: &Member, epoch: u64) {
        let Some(number) = self.row.members.iter().position(|m| m.name == to.name) else {
            return;
        };
        self.waiters += 1;
        let waiter = WaiterId(self.waiters);
        self.beats.insert(waiter, (from, number, self.now().mono));
        let event = entry::Event::HeartbeatReceived { waiter, epoch };
        self.at(DELAY_US, Happening::Entry(number, event));
    }

    fn answer_beat(&mut self, waiter: WaiterId, epoch: u64) {
        if let Some((from, to, sent)) = self.beats.remove(&waiter) {
            let event = entry::Event::HeartbeatAnswered {
                member: self.row.members[to].clone(),
                epoch,
                sent,
            };
            self.at(DELAY_US, Happening::Entry(from, event));
        }
    }

    fn answered(&mut self, waiter: WaiterId, answer: &Answer) -> Result<()> {
        let plan = &self.workload.plans[waiter.0 as usize];
        self.open -= 1;
        let since_us = self.now_us - SETTLE_US - plan.at;
        if self
            .workload
            .burst
            .is_some_and(|(start, end)| (start..end).contains(&plan.at))
        {
            self.burst_end_us = self.burst_end_us.max(self.now_us - SETTLE_US);
        }
        match answer {
            Answer::Complete(_) => {
                self.figures.complete += 1;
                let ideal = self.workload.ideal_us(plan);
                self.samples.complete(plan.at, since_us, ideal)?;
                if self.now_us <= SETTLE_US + self.workload.length_us {
                    self.good_us += plan.work_us.iter().sum::<u64>() as f64;
                }
            }
            Answer::Refused(refusal) => {
                let reason = refusal.reason.to_string();
                *self.figures.refusals.entry(reason).or_default() += 1;
                if refusal.reason != Reason::TimedOut {
                    self.samples.refusal.record(since_us)?;
                }
            }
        }
        Ok(())
    }

    fn drive_agent(&mut self, number: usize, event: agent::Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.agents[number].handle(event, now, &mut actions);
        for action in actions {
            match action {
                agent::Action::Report { link, report } => {
                    self.frames += 1;
                    self.messages += report.outcomes.len() as u64;
                    let entry = link as usize % self.entries.len();
                    self.at(DELAY_US, Happening::Reported(entry, link, report));
                }
                agent::Action::Start { task, input, .. } => self.start(number, task, &input),
                agent::Action::Connect { .. } | agent::Action::ForeignOrder => {}
            }
        }
    }

    fn start(&mut self, number: usize, task: Task, input: &Bytes) {
        let mut work = [0; 8];
        work.copy_from_slice(input);
        let run_us = u64::from_be_bytes(work) as f64 / self.workload.servers[number].speed;
        let end_us =
            (self.now_us as f64 + run_us).min((SETTLE_US + self.workload.length_us) as f64);
        self.busy_us += (end_us - self.now_us as f64).max(0.0);
        let end = End::Done(Bytes::new());
        let event = agent::Event::TaskEnded { task, end };
        self.at(run_us as u64, Happening::Agent(number, event));
    }

    fn finish(mut self, policy: Policy) -> Figures {
        let length = self.workload.length_us as f64;
        let slots: u32 = self
            .workload
            .servers
            .iter()
            .map(|server| server.slots)
            .sum();
        let mut figures = std::mem::take(&mut self.figures);
        self.samples.fill(&mut figures);
        figures.policy = policy.to_string();
        figures.jobs = self.workload.plans.len() as u64;
        if self.open > 0 {
            figures
                .refusals
                .insert("unanswered".to_owned(), self.open as u64);
        }
        let tasks = self.ended.max(1) as f64;
        figures.frames_per_task = self.frames as f64 / tasks;
        figures.messages_per_task = self.messages as f64 / tasks;
        let wasted: u64 = figures.wasted.values().sum();
        figures.wasted_share = wasted as f64 / self.messages.max(1) as f64;
        figures.goodput = self.good_us / length / self.workload.capacity();
        figures.busy = self.busy_us / length / f64::from(slots);
        if let Some((start, end)) = self.workload.burst {
            let arrived = self
                .workload
                .plans
                .iter()
                .filter(|p| (start..end).contains(&p.at));
            let work: u64 = arrived.flat_map(|plan| &plan.work_us).sum();
            figures.burst_work_s = Some(work as f64 / self.workload.capacity() / SECOND_US);
            figures.burst_over_s = Some(self.burst_end_us.saturating_sub(start) as f64 / SECOND_US);
        }
        figures
    }
}
