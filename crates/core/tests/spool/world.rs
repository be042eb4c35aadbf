//! Entries, agents, backend servers and callers in virtual time, over the real decision code.

mod callers;
mod connections;
mod event;
mod faults;
pub mod plan;
mod servers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{self, Agent, Announcement};
use ibisspool_core::spool::catalogue::{Limits, Queue, Snapshot};
use ibisspool_core::spool::entry::{self, Entry, JobKey};
use ibisspool_core::spool::job::{Id, Resources};
use ibisspool_core::spool::message::Timestamp;
use ibisspool_core::spool::note::LogLine;
use ibisspool_core::spool::safety::Safety;
use ibisspool_core::time::{Monotonic, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use ibisspool_standin::executor::Executor;

pub use event::Process;
use event::{Call, Event, Message};
pub use plan::{Fault, Job, Mutant, Plan, Seen};

pub const MS: u64 = 1_000;

/// Time after which nothing may start on a server that drains, from the users' rules.
const DRAIN: u64 = 2_000 * MS;

/// Wall time at the start of a run.
const EPOCH_MS: u64 = 1_700_000_000_000;

struct EntryProcess {
    entry: Option<Entry>,
    boot: u64,
    paused: bool,
    inbox: Vec<Event>,
    links: BTreeMap<entry::LinkKey, u64>,
    jobs: BTreeMap<JobKey, (usize, u32)>,
}

struct AgentProcess {
    agent: Option<Agent>,
    boot: u64,
    paused: bool,
    lag: u64,
    paused_at: u64,
    inbox: Vec<Event>,
    links: BTreeMap<agent::ConnectionKey, u64>,
    /// Newest stamp sent on each connection, for the mutant that echoes it.
    sent: BTreeMap<u64, Timestamp>,
    /// Holds that wait for an end.
    waiting: BTreeMap<u64, (u64, bool)>,
    ready: bool,
    /// By how many milliseconds the time of day of its VM has jumped.
    stepped: i64,
    /// When the agent acknowledged that the server drains.
    draining: Option<u64>,
    /// Whether a hold is always on its way.
    holding: bool,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    entry: usize,
    agent: usize,
    entry_link: Option<entry::LinkKey>,
    agent_link: Option<agent::ConnectionKey>,
    open: bool,
    /// Lives of the processes at both ends; a connection does not outlive them.
    boots: (u64, u64),
}

struct Caller {
    job: Job,
    first: u64,
    attempt: u32,
    over: bool,
    at: Option<(usize, u64)>,
    refusals: u32,
    started: bool,
}

pub struct World {
    plan: Plan,
    random: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    stored: BTreeMap<usize, Event>,
    count: usize,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    executors: Vec<Executor>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    ordered: BTreeMap<(u64, bool), u64>,
    cuts: Vec<(usize, usize, u64, u64, bool, bool)>,
    callers: Vec<Caller>,
    work: BTreeMap<u64, usize>,
    /// Until when each backend server errs, and until when what it starts stands still.
    erring: BTreeMap<usize, u64>,
    hanging: BTreeMap<usize, u64>,
    /// Until when nobody listens at each backend server's address.
    dark: BTreeMap<usize, u64>,
    safety: Safety,
    holds: u64,
    traced: bool,
    pub seen: Seen,
}

/// Queues with the run time of their usual task: short, middle, long.
pub const QUEUES: [(&str, u8, u32); 3] = [("short", 0, 4), ("middle", 1, 2), ("long", 2, 3)];

fn queue(index: usize) -> Queue {
    let (name, priority, attempts) = QUEUES[index];
    Queue {
        name: Arc::from(name),
        host: "jobs.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: Arc::from("desk"),
        priority,
        max_failed_runs: attempts,
        timeout: Duration::from_millis(1_500),
        objective_factor: 1.6,
        objective_offset: Duration::from_millis(60),
        needs_placement_advice: false,
    }
}

fn catalogue() -> Snapshot {
    Snapshot {
        version: 1,
        queues: (0..QUEUES.len()).map(queue).collect(),
        limits: Limits::default(),
        out_of_service: Vec::new(),
    }
}

fn incarnation_of(executor: &Executor) -> String {
    format!("i-{}", executor.born)
}

pub fn safety() -> Safety {
    Safety::new(Duration::from_millis(1_300), Duration::from_secs(1))
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut safety = safety();
        if plan.mutant == Some(Mutant::LongLease) {
            safety.lease *= 5;
        }
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let executors = plan
            .executors
            .iter()
            .map(|&(capacity, slowness)| {
                let rate = random.random_range(0.98..1.0);
                let mut executor = Executor::new(capacity, rate, slowness, 1);
                if plan.mutant == Some(Mutant::LongLease) {
                    executor.longest_lease_ms *= 5;
                }
                executor
            })
            .collect();
        let mut world = Self {
            random,
            now: 0,
            events: BinaryHeap::new(),
            stored: BTreeMap::new(),
            count: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            executors,
            connections: BTreeMap::new(),
            last_connection: 0,
            ordered: BTreeMap::new(),
            cuts: Vec::new(),
            callers: Vec::new(),
            work: BTreeMap::new(),
            erring: BTreeMap::new(),
            hanging: BTreeMap::new(),
            dark: BTreeMap::new(),
            safety,
            holds: 0,
            traced: std::env::var_os("IBISSPOOL_TRACE").is_some(),
            seen: Seen::default(),
            plan,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for index in 0..self.plan.entries {
            self.entries.push(EntryProcess {
                entry: None,
                boot: 0,
                paused: false,
                inbox: Vec::new(),
                links: BTreeMap::new(),
                jobs: BTreeMap::new(),
            });
            self.revive(Process::Entry(index));
        }
        for index in 0..self.plan.executors.len() {
            self.agents.push(AgentProcess {
                agent: None,
                boot: 0,
                paused: false,
                lag: 0,
                paused_at: 0,
                inbox: Vec::new(),
                links: BTreeMap::new(),
                sent: BTreeMap::new(),
                waiting: BTreeMap::new(),
                ready: true,
                stepped: 0,
                draining: None,
                holding: false,
                sequence: 0,
            });
            self.revive(Process::Agent(index));
        }
        for (at, fault) in self.plan.faults.clone() {
            self.at(at, Event::Fault(fault));
        }
        for (at, job) in self.plan.jobs.clone() {
            if job.is_owed() {
                self.seen.count(job.queue, at, |tally| tally.asked += 1);
            }
            let index = self.callers.len();
            self.callers.push(Caller {
                job,
                first: at,
                attempt: 0,
                over: false,
                at: None,
                refusals: 0,
                started: false,
            });
            let skewed = self.plan.skew > 0.0 && self.random.random_bool(self.plan.skew);
            let entry = if skewed {
                0
            } else {
                self.random.random_range(0..self.plan.entries)
            };
            self.at(
                at,
                Event::Submit {
                    job: index,
                    attempt: 1,
                    entry,
                },
            );
        }
        self.at(5 * MS, Event::Tick);
    }

    fn at(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.stored.insert(self.count, event);
        self.events
            .push(Reverse((time.max(self.now), self.count as u64, self.count)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Plays the plan and returns what was seen.
    pub fn run(mut self) -> Seen {
        while let Some(Reverse((time, _order, key))) = self.events.pop() {
            if time > self.plan.end {
                break;
            }
            self.now = time;
            let event = self.stored.remove(&key).expect("each event is stored");
            self.handle(event);
        }
        for caller in &self.callers {
            if caller.started && caller.refusals > 0 && caller.refusals == caller.attempt {
                let id = Id(caller.job.id);
                self.seen
                    .violations
                    .push(format!("job {id} ran though each attempt was refused"));
            }
        }
        self.seen
    }

    fn clock(&self, process: Process) -> Now {
        let lag = match process {
            Process::Agent(index) if self.plan.mutant == Some(Mutant::SteadyClock) => {
                self.agents[index].lag
            }
            _ => 0,
        };
        let mono = self.now + 1 - lag;
        let coarse = self.plan.coarse && matches!(process, Process::Agent(_));
        Now {
            mono: Monotonic(if coarse { mono / MS * MS } else { mono }),
            wall: self.time_of_day(process),
        }
    }

    fn time_of_day(&self, process: Process) -> Wall {
        let stepped = match process {
            Process::Agent(index) => self.agents[index].stepped,
            Process::Entry(_) => 0,
        };
        Wall((EPOCH_MS + self.now / 1_000).saturating_add_signed(stepped))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Fault(fault) => self.fault(fault),
            Event::Revive(process) => self.revive(process),
            Event::Wake(process) => self.wake(process),
            Event::Submit {
                job,
                attempt,
                entry,
            } => self.submit(job, attempt, entry),
            Event::GiveUp { job, attempt } => self.give_up(job, attempt),
            Event::Close {
                job,
                attempt,
                entry,
                boot,
            } => self.close(job, attempt, entry, boot),
            Event::Answered {
                job,
                attempt,
                answer,
            } => self.answered(job, attempt, answer),
            Event::Deliver { to, boot, message } => self.deliver(to, boot, message),
            Event::Call {
                agent,
                boot,
                call,
                answered,
            } => self.call(agent, boot, call, answered),
            Event::HoldOver { agent, boot, hold } => self.hold_over(agent, boot, hold),
            Event::Dial { agent, entry } => self.dial(agent, entry),
            Event::GiveUpLink {
                agent,
                entry,
                slept,
            } => self.give_up_link(agent, entry, slept),
            Event::Restore(executor, slowness) => self.executors[executor].slowness = slowness,
            Event::Announce(agent) => {
                self.announce(agent);
                self.after(1_500 * MS, Event::Announce(agent));
            }
            Event::NextHold { agent, boot } => self.next_hold(agent, boot),
        }
    }

    fn is_cut(&self, entry: usize, agent: usize, up: bool) -> Option<u64> {
        self.cuts
            .iter()
            .filter(|(e, a, from, to, cut_up, cut_down)| {
                *e == entry
                    && *a == agent
                    && (*from..*to).contains(&self.now)
                    && (if up { *cut_up } else { *cut_down })
            })
            .map(|cut| cut.3)
            .max()
    }

    fn tick(&mut self) {
        self.after(5 * MS, Event::Tick);
        for index in 0..self.executors.len() {
            self.ends(index);
        }
        for index in 0..self.agents.len() {
            if self.agents[index].agent.is_some() && !self.agents[index].paused {
                self.agent(index, agent::Agent::tick);
            }
        }
        if self.now.is_multiple_of(20 * MS) {
            for index in 0..self.entries.len() {
                if self.entries[index].entry.is_some() && !self.entries[index].paused {
                    self.entry(index, entry::Entry::tick);
                }
            }
        }
    }

    /// Answers the holds that wait for an end.
    fn ends(&mut self, index: usize) {
        self.executors[index].advance(self.now);
        if self.executors[index].has_ended() {
            let waiting: Vec<u64> = self.agents[index].waiting.keys().copied().collect();
            let boot = self.agents[index].boot;
            for hold in waiting {
                self.hold_over(index, boot, hold);
            }
        }
    }

    fn announce(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.sequence += 1;
        let announcement = Announcement {
            incarnation: Arc::from(incarnation_of(&self.executors[index])),
            started_at_ms: self.executors[index].born,
            sequence: agent.sequence,
            service: Arc::from("desk"),
            capacity: Resources {
                cpu_millicores: self.executors[index].capacity,
                memory_mb: 1 << 15,
                accelerators: 0,
            },
            labels: Vec::new(),
            ready: agent.ready,
        };
        if agent.agent.is_some() && !agent.paused {
            if !agent.ready {
                agent.draining.get_or_insert(self.now);
            }
            self.agent(index, |agent, now| {
                agent.handle_announcement(announcement, now)
            });
            if !std::mem::replace(&mut self.agents[index].holding, true) {
                self.hold(index, false);
            }
        }
    }

    fn next_hold(&mut self, index: usize, boot: u64) {
        let agent = &mut self.agents[index];
        if agent.boot != boot || agent.agent.is_none() {
            return;
        }
        if agent.paused {
            agent.inbox.push(Event::NextHold { agent: index, boot });
        } else {
            self.hold(index, false);
        }
    }

    fn with_entry<R>(&mut self, index: usize, f: impl FnOnce(&mut Entry, Now) -> R) -> Option<R> {
        let now = self.clock(Process::Entry(index));
        self.entries[index]
            .entry
            .as_mut()
            .map(|entry| f(entry, now))
    }

    fn with_agent<R>(&mut self, index: usize, f: impl FnOnce(&mut Agent, Now) -> R) -> Option<R> {
        let now = self.clock(Process::Agent(index));
        self.agents[index].agent.as_mut().map(|agent| f(agent, now))
    }

    fn entry(&mut self, index: usize, f: impl FnOnce(&mut Entry, Now)) {
        self.with_entry(index, f);
        self.act_entry(index);
    }

    fn agent(&mut self, index: usize, f: impl FnOnce(&mut Agent, Now)) {
        self.with_agent(index, f);
        self.act_agent(index);
    }

    fn act_entry(&mut self, index: usize) {
        let actions = self.with_entry(index, |entry, _now| entry.take_actions());
        for action in actions.unwrap_or_default() {
            match action {
                entry::Action::Answer(key, answer) => {
                    if let Some((job, attempt)) = self.entries[index].jobs.remove(&key) {
                        self.answer(job, attempt, Some(answer));
                    }
                }
                entry::Action::Order(link, order) => {
                    if let Some(&id) = self.entries[index].links.get(&link)
                        && self.connections[&id].open
                    {
                        self.send(id, false, Message::Order(id, order));
                    }
                }
                entry::Action::Retried(_) => {}
                entry::Action::Note(note) => self.trace("entry", index, &note),
            }
        }
    }

    fn act_agent(&mut self, index: usize) {
        let actions = self.with_agent(index, |agent, _now| agent.take_actions());
        for action in actions.unwrap_or_default() {
            match action {
                agent::Action::Start {
                    key,
                    name,
                    number,
                    until,
                    token,
                    incarnation,
                    ..
                } => {
                    let sent = self.now;
                    let call = Call::Start {
                        key,
                        name,
                        number,
                        until,
                        token,
                        incarnation,
                        sent,
                    };
                    self.order(index, call);
                }
                agent::Action::Stop {
                    name,
                    number,
                    token,
                } => {
                    if self.plan.mutant != Some(Mutant::NoStop) {
                        self.order(
                            index,
                            Call::Stop {
                                name,
                                number,
                                token,
                            },
                        );
                    }
                }
                agent::Action::PollNow => self.hold(index, true),
                agent::Action::Report(link, report) => {
                    if let Some(&id) = self.agents[index].links.get(&link)
                        && self.connections[&id].open
                    {
                        self.agents[index].sent.insert(id, report.sent_at);
                        self.seen.reports += 1;
                        self.send(id, true, Message::Report(id, report));
                    }
                }
                agent::Action::Note(note) => self.trace("agent", index, &note),
            }
        }
    }

    /// Prints a line of the decisions if `IBISSPOOL_TRACE` is set.
    fn trace(&self, what: &str, index: usize, note: &LogLine) {
        if self.traced {
            let at = self.now as f64 / MS as f64;
            println!("{at:10.2} {what} {index}: {} {}", note.text, note.fields);
        }
    }

    fn violation(&mut self, text: &str) {
        let at = self.now / MS;
        self.seen.violations.push(format!("at {at} ms: {text}"));
    }
}
