//! An in-memory network in virtual time that drives real entries, agents and a table row.
//!
//! All randomness comes from one seed. Every message is an event in a queue ordered by time;
//! faults delay, drop, repeat or hold events, and stop or restart processes.

mod agents;
mod checks;
mod entries;
mod faults;
mod plan;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Debug;

use ibisspool_core::agent::{self, Agent};
use ibisspool_core::catalogue::{Catalogue, Class, Kind};
use ibisspool_core::control::{Member, Row};
use ibisspool_core::entry::{self, Entry, Question};
use ibisspool_core::frame::{Order, Report};
use ibisspool_core::job::{Answer, Id, Spec};
use ibisspool_core::time::{Monotonic, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use checks::Checks;
pub use checks::Promise;
pub use plan::{Mutant, Plan};

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Wall time at the start of a run, in milliseconds.
const WALL: u64 = 1_700_000_000_000;

/// Time between ticks of a process, in microseconds.
const TICK: u64 = 50_000;

/// Events kept for the report of a violation.
const TAIL: usize = 100_000;

/// Kind of all tasks.
const KIND: &str = "check";

/// Data centres of the processes, in turn.
const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// One start of a process; a message for an earlier start is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    number: usize,
    incarnation: u64,
}

/// What arrives at a process.
#[derive(Debug, Clone)]
enum Input {
    Tick,
    Entry(entry::Event),
    Agent(agent::Event),
    /// A heartbeat of `from`, meant for the incarnation of the member.
    Beat {
        from: Process,
        member: Member,
        epoch: u64,
        sent: Monotonic,
    },
    /// The answer to a heartbeat, with the wall clock of who answered.
    BeatAnswer {
        member: Member,
        epoch: u64,
        sent: Monotonic,
        wall: Wall,
        below: u64,
    },
    /// A question of `from` about its record of a job, meant for the incarnation of the member.
    Inquiry {
        from: Process,
        call: u64,
        member: Member,
        id: Id,
        epoch: u64,
    },
    /// The answer to an inquiry, `None` if it is lost.
    InquiryAnswer {
        call: u64,
        findings: Option<entry::Findings>,
    },
    /// A forwarded question of another entry.
    Question {
        from: Process,
        call: u64,
        question: Question,
    },
    /// The answer to a forwarded question, `None` if it is lost.
    Reply {
        call: u64,
        answer: Option<Answer>,
    },
    /// The answer of the table to a read or write, sent at `sent`.
    Table {
        sent: Monotonic,
        answer: Option<(u64, Row)>,
    },
    Report {
        link: u64,
        report: Report,
    },
    Order {
        link: u64,
        order: Order,
    },
    /// The end of a connection.
    Closed {
        link: u64,
    },
    /// Actions of this process that a pause held back.
    Late(Vec<Output>),
}

/// What a process sends.
#[derive(Debug, Clone)]
enum Output {
    Entry(entry::Action),
    Agent(agent::Action),
}

/// An event of the run.
#[derive(Debug, Clone)]
enum Event {
    /// For one start of a process.
    To(Process, Input),
    /// For whatever process has the address.
    Address(usize, Input),
    /// A read or write reaches the table.
    Table {
        from: Process,
        sent: Monotonic,
        write: Option<(u64, Row)>,
    },
    /// A connection of an agent to an entry opens.
    Connect {
        agent: Process,
        entry: usize,
    },
    Restart(usize),
    Call {
        job: usize,
        cancel: bool,
    },
    Operate,
    Fault,
}

/// The state machine of a process.
#[derive(Debug)]
enum State {
    Entry(Box<Entry>),
    Agent(Box<Agent>),
    Down,
}

#[derive(Debug)]
struct Host {
    state: State,
    incarnation: u64,
    paused_until: u64,
    /// Start of its monotonic clock before the run's, in microseconds.
    mono: u64,
    /// How far its wall clock is ahead of the slowest, in milliseconds.
    skew: u64,
    /// Share of its calls that the table answers.
    table: f64,
}

/// One connection of an agent to an entry.
#[derive(Debug, Clone, Copy)]
struct Link {
    agent: Process,
    entry: Process,
    agent_open: bool,
    entry_open: bool,
    /// When the latest frame in each direction arrives.
    up: u64,
    down: u64,
    /// Newest stamp that reached the entry.
    stamp: Option<Monotonic>,
}

/// Who waits for an answer of an entry.
#[derive(Debug, Clone)]
enum Waiting {
    Caller,
    Beat {
        from: Process,
        member: Member,
        sent: Monotonic,
    },
    Peer {
        from: Process,
        call: u64,
    },
    Inquiry {
        from: Process,
        call: u64,
    },
}

/// Outcome of a run.
#[derive(Debug)]
#[allow(
    dead_code,
    reason = "the tests that share this module read different fields"
)]
pub struct Outcome {
    pub violation: Option<(Promise, String)>,
    pub starts: usize,
    pub complete: usize,
    pub jobs: usize,
    pub in_force: usize,
    /// The events, if the run was traced.
    pub tail: VecDeque<String>,
}

/// A run.
#[derive(Debug)]
struct Network {
    plan: Plan,
    rng: SmallRng,
    now: u64,
    next: u64,
    events: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    links: BTreeMap<u64, Link>,
    cuts: HashMap<(usize, usize), u64>,
    table: (u64, Row),
    waiting: HashMap<u64, Waiting>,
    /// Forwarded questions in flight: the call, its process, its target and its waiter.
    calls: BTreeMap<u64, (Process, usize, entry::Waiter)>,
    /// Inquiries in flight.
    inquiries: BTreeMap<u64, (Member, Id)>,
    jobs: Vec<Spec>,
    checks: Checks,
    tail: Option<VecDeque<String>>,
}

/// Runs one seed.
pub fn run(seed: u64, mutant: Option<Mutant>, traced: bool) -> Outcome {
    finish(Network::new(seed, mutant, traced))
}

/// Runs one seed with the plan for a mistake but without it.
#[allow(
    dead_code,
    reason = "only one of the tests that share this module needs it"
)]
pub fn control(seed: u64, mutant: Mutant) -> Outcome {
    let mut network = Network::new(seed, Some(mutant), false);
    network.plan.mutant = None;
    network.plan.idempotent = false;
    finish(network)
}

fn finish(mut network: Network) -> Outcome {
    network.populate();
    while network.checks.violation.is_none() {
        let Some(((now, _number), event)) = network.events.pop_first() else {
            break;
        };
        if now > network.plan.end {
            break;
        }
        network.now = now;
        network.step(event);
    }
    Outcome {
        violation: network.checks.violation.clone(),
        starts: network.checks.starts(),
        complete: network.checks.complete.len(),
        jobs: network.jobs.len(),
        in_force: network.checks.in_force,
        tail: network.tail.take().unwrap_or_default(),
    }
}

impl Network {
    fn new(seed: u64, mutant: Option<Mutant>, traced: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let plan = Plan::draw(&mut rng, mutant);
        let row = Row {
            epoch: 1,
            catalogue: 1,
            change: "seed".to_owned(),
            written: Wall(WALL),
            ..Row::default()
        };
        Self {
            plan,
            rng,
            now: 0,
            next: 0,
            events: BTreeMap::new(),
            hosts: Vec::new(),
            links: BTreeMap::new(),
            cuts: HashMap::new(),
            table: (1, row),
            waiting: HashMap::new(),
            calls: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            jobs: Vec::new(),
            checks: Checks::default(),
            tail: traced.then(VecDeque::new),
        }
    }

    fn populate(&mut self) {
        for number in 0..self.plan.entries + self.plan.agents {
            let host = Host {
                state: State::Down,
                incarnation: 0,
                paused_until: 0,
                mono: self.rng.random_range(0..100 * SECOND),
                skew: self.rng.random_range(0..=self.plan.skew),
                table: 1.0,
            };
            self.hosts.push(host);
            let at = self.rng.random_range(0..SECOND / 2);
            self.at(at, Event::Restart(number));
        }
        self.plan_callers();
        let fault = self.rng.random_range(2 * SECOND..5 * SECOND);
        self.at(fault, Event::Fault);
        for _change in 0..self.rng.random_range(0..=self.plan.changes) {
            let at = self.rng.random_range(3 * SECOND..self.plan.end);
            self.at(at, Event::Operate);
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn is_entry(&self, number: usize) -> bool {
        number < self.plan.entries
    }

    fn process(&self, number: usize) -> Process {
        Process {
            number,
            incarnation: self.hosts[number].incarnation,
        }
    }

    fn is_alive(&self, process: Process) -> bool {
        let host = &self.hosts[process.number];
        host.incarnation == process.incarnation && !matches!(host.state, State::Down)
    }

    fn name(&self, number: usize) -> String {
        if self.is_entry(number) {
            format!("entry-{number}")
        } else {
            format!("agent-{}", number - self.plan.entries)
        }
    }

    fn clock(&self, number: usize) -> Now {
        let host = &self.hosts[number];
        Now {
            mono: Monotonic(host.mono + self.now),
            wall: Wall(WALL + host.skew + self.now / 1_000),
        }
    }

    /// Draws the time that a message takes.
    fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0..=6 => self.rng.random_range(200..1_000),
            7 | 8 => self.rng.random_range(200..=1_000 + self.plan.delay / 20),
            _ => self.rng.random_range(200..=200 + self.plan.delay),
        }
    }

    fn cut_until(&self, a: usize, b: usize) -> u64 {
        self.cuts.get(&(a, b)).copied().unwrap_or(0)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::To(process, input) => self.arrive(process, input),
            Event::Address(number, input) => self.arrive(self.process(number), input),
            Event::Table { from, sent, write } => self.reach_table(from, sent, write),
            Event::Connect { agent, entry } => self.connect(agent, entry),
            Event::Restart(number) => self.restart(number),
            Event::Call { job, cancel } => self.call(job, cancel),
            Event::Operate => self.operate(),
            Event::Fault => self.fault(),
        }
    }

    fn arrive(&mut self, process: Process, input: Input) {
        if !self.is_alive(process) {
            return;
        }
        let paused = self.hosts[process.number].paused_until;
        if paused > self.now {
            return self.at(paused, Event::To(process, input));
        }
        if matches!(input, Input::Tick) {
            self.at(self.now + TICK, Event::To(process, Input::Tick));
        } else {
            self.log(process.number, "gets", &input);
        }
        if let Input::Late(outputs) = input {
            return self.send_all(process, outputs);
        }
        let outputs = if self.is_entry(process.number) {
            self.step_entry(process, input)
        } else {
            self.step_agent(process, input)
        };
        let late = !outputs.is_empty() && self.rng.random_bool(self.plan.late_send);
        if late {
            let until = self.now + self.rng.random_range(0..4 * SECOND);
            self.hosts[process.number].paused_until = until;
            self.log(process.number, "pauses before it sends, until", &until);
            self.at(until, Event::To(process, Input::Late(outputs)));
        } else {
            self.send_all(process, outputs);
        }
    }

    fn send_all(&mut self, process: Process, mut outputs: Vec<Output>) {
        // Hash maps order the agents differently in every run.
        outputs.sort_by_key(|output| match output {
            Output::Entry(entry::Action::Order { link, .. }) => *link,
            _ => 0,
        });
        for output in outputs {
            match output {
                Output::Entry(action) => self.send_entry(process, action),
                Output::Agent(action) => self.send_agent(process, action),
            }
        }
    }

    /// Keeps a line for the report of a violation.
    fn log<T>(&mut self, number: usize, verb: &str, what: &T)
    where
        T: Debug,
    {
        if self.tail.is_none() {
            return;
        }
        let incarnation = self.hosts[number].incarnation;
        let name = self.name(number);
        let line = format!("{:>9} {name}/{incarnation} {verb} {what:?}", self.now);
        if let Some(tail) = &mut self.tail {
            if tail.len() == TAIL {
                tail.pop_front();
            }
            tail.push_back(line);
        }
    }
}

fn catalogue() -> Catalogue {
    let kind = Kind {
        name: KIND.to_owned(),
        owner: "registry".to_owned(),
        class: Class::Urgent,
        max_running: None,
        max_rate: None,
        max_tasks: None,
        max_input_bytes: None,
        max_timeout_ms: 30_000,
        expected_run_ms: 100,
    };
    Catalogue {
        owners: Vec::new(),
        kinds: vec![kind],
    }
}
