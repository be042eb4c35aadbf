//! Deterministic simulation of a region: the state machines of entries and agents, the control
//! row, callers and operators, over an unreliable network in virtual time.
//!
//! All randomness comes from one seed. Every message is an event in a queue ordered by time.
//! Injected faults delay, drop, duplicate or hold back messages, and pause, crash or restart
//! processes. Times are in microseconds since the start of a run unless a name says otherwise.

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
use ibisspool_core::entry::{self, Entry, JobRequest};
use ibisspool_core::frame::{Order, Report};
use ibisspool_core::job::{Answer, Id, Spec};
use ibisspool_core::time::{Monotonic, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use checks::Invariant;
use checks::InvariantChecker;
pub use plan::{Mutant, Plan};

/// Microseconds in a second.
pub const SECOND_US: u64 = 1_000_000;

/// Wall time at the start of a run, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// Time between ticks of a process.
const TICK_US: u64 = 50_000;

/// Most events kept in the event log of a run; the oldest are dropped.
const MAX_LOGGED_EVENTS: usize = 100_000;

/// Kind of all jobs.
const JOB_KIND: &str = "check";

/// Data centres, to which the processes are assigned alternately by number.
const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// One incarnation of a process. A message for an earlier incarnation is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    number: usize,
    incarnation: u64,
}

/// A message or other input that arrives at a process.
#[derive(Debug, Clone)]
enum Input {
    Tick,
    Entry(entry::Event),
    Agent(agent::Event),
    /// A heartbeat of the entry `from` to the incarnation of `member`.
    Heartbeat {
        from: Process,
        member: Member,
        epoch: u64,
        sent: Monotonic,
    },
    /// The answer to a heartbeat, with the wall clock of the entry that answered and the epoch
    /// below which it knows that all leases have lapsed.
    HeartbeatAnswer {
        member: Member,
        epoch: u64,
        sent: Monotonic,
        wall: Wall,
        below: u64,
    },
    /// A question of the entry `from` to the incarnation of `member` whether it has a record of a
    /// job.
    Inquiry {
        from: Process,
        call: u64,
        member: Member,
        id: Id,
        epoch: u64,
    },
    /// The answer to an inquiry, `None` if it failed or timed out.
    InquiryAnswer {
        call: u64,
        findings: Option<entry::Findings>,
    },
    /// A caller's request that the entry `from` forwarded.
    Forwarded {
        from: Process,
        call: u64,
        question: JobRequest,
    },
    /// The answer to a forwarded request, `None` if it failed or timed out.
    ForwardedAnswer {
        call: u64,
        answer: Option<Answer>,
    },
    /// The answer of the table to a read or write that was sent at `sent`, `None` if the row had
    /// another version than the write expected.
    TableAnswer {
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
    /// A connection was closed.
    Closed {
        link: u64,
    },
    /// Actions that this process carries out after a pause between its decision and sending.
    DelayedOutputs(Vec<Output>),
}

/// An action of a process that the simulation carries out.
#[derive(Debug, Clone)]
enum Output {
    Entry(entry::Action),
    Agent(agent::Action),
}

/// An event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    /// An input arrives at one incarnation of a process.
    Deliver(Process, Input),
    /// An input arrives at whatever process has the address.
    DeliverToAddress(usize, Input),
    /// A read, or a conditional write with the expected version, arrives at the table.
    TableRequest {
        from: Process,
        sent: Monotonic,
        write: Option<(u64, Row)>,
    },
    /// An agent connects to an entry.
    Connect {
        agent: Process,
        entry: usize,
    },
    Restart(usize),
    CallerRequest {
        job: usize,
        cancel: bool,
    },
    OperatorChange,
    InjectFault,
}

/// The state machine of a process, or `Down` after a crash.
#[derive(Debug)]
enum ProcessState {
    Entry(Box<Entry>),
    Agent(Box<Agent>),
    Down,
}

/// A machine that runs one process at a time.
#[derive(Debug)]
struct Host {
    state: ProcessState,
    incarnation: u64,
    paused_until_us: u64,
    /// Reading of the monotonic clock at the start of the run.
    mono_offset_us: u64,
    /// How far the wall clock is ahead of the slowest possible clock.
    wall_skew_ms: u64,
    /// Probability that a request reaches the table, and that its answer comes back.
    table_success_share: f64,
}

/// One connection of an agent to an entry.
#[derive(Debug, Clone, Copy)]
struct Link {
    agent: Process,
    entry: Process,
    /// Whether the agent has not noticed a close.
    agent_open: bool,
    /// Whether the entry has not noticed a close.
    entry_open: bool,
    /// When the latest report arrives at the entry; later ones must not overtake it.
    last_report_arrival_us: u64,
    /// When the latest order arrives at the agent; later ones must not overtake it.
    last_order_arrival_us: u64,
    /// Newest stamp of the agent that has reached the entry.
    newest_stamp: Option<Monotonic>,
}

/// The receiver of an entry's answer.
#[derive(Debug, Clone)]
enum ReplyTo {
    Caller,
    Heartbeat {
        from: Process,
        member: Member,
        sent: Monotonic,
    },
    ForwardingEntry {
        from: Process,
        call: u64,
    },
    Inquiry {
        from: Process,
        call: u64,
    },
}

/// Result of a run.
#[derive(Debug)]
#[allow(
    dead_code,
    reason = "the tests that share this module read different fields"
)]
pub struct Outcome {
    /// The first violation of an invariant, with a description.
    pub violation: Option<(Invariant, String)>,
    pub starts: usize,
    pub complete_jobs: usize,
    pub jobs: usize,
    pub changes_in_force: usize,
    /// The latest events, if the run was traced.
    pub event_log: VecDeque<String>,
}

/// State of a run.
#[derive(Debug)]
struct Simulation {
    plan: Plan,
    rng: SmallRng,
    now_us: u64,
    /// Latest number given to an event, connection, call or waiter.
    last_number: u64,
    /// Events by time and, at the same time, in the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    links: BTreeMap<u64, Link>,
    /// When the network partition between two hosts ends, by sender and receiver.
    partitioned_until_us: HashMap<(usize, usize), u64>,
    /// The control row and its version.
    table: (u64, Row),
    /// Receivers of answers that entries have not given yet, by waiter number.
    reply_targets: HashMap<u64, ReplyTo>,
    /// Forwarded requests in flight by call number: the forwarding process, the number of the
    /// target host, and the waiter at the forwarding process.
    forwarded_calls: BTreeMap<u64, (Process, usize, entry::WaiterId)>,
    /// Inquiries in flight by call number.
    inquiries: BTreeMap<u64, (Member, Id)>,
    jobs: Vec<Spec>,
    checker: InvariantChecker,
    event_log: Option<VecDeque<String>>,
}

/// Runs the simulation of one seed until its end or the first violation. `traced` keeps the event
/// log.
pub fn run(seed: u64, mutant: Option<Mutant>, traced: bool) -> Outcome {
    run_to_end(Simulation::new(seed, mutant, traced))
}

/// Runs one seed with the plan that suits a mutant but without the mutant, which shows that a
/// violation is due to the mutant.
#[allow(
    dead_code,
    reason = "only one of the tests that share this module calls this function"
)]
pub fn run_without_mutant(seed: u64, mutant: Mutant) -> Outcome {
    let mut simulation = Simulation::new(seed, Some(mutant), false);
    simulation.plan.mutant = None;
    simulation.plan.are_jobs_idempotent = false;
    run_to_end(simulation)
}

fn run_to_end(mut simulation: Simulation) -> Outcome {
    simulation.populate();
    while simulation.checker.violation.is_none() {
        let Some(((now, _number), event)) = simulation.events.pop_first() else {
            break;
        };
        if now > simulation.plan.end_us {
            break;
        }
        simulation.now_us = now;
        simulation.handle_event(event);
    }
    Outcome {
        violation: simulation.checker.violation.clone(),
        starts: simulation.checker.started_tasks(),
        complete_jobs: simulation.checker.complete_jobs.len(),
        jobs: simulation.jobs.len(),
        changes_in_force: simulation.checker.changes_in_force,
        event_log: simulation.event_log.take().unwrap_or_default(),
    }
}

impl Simulation {
    fn new(seed: u64, mutant: Option<Mutant>, traced: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let plan = Plan::random(&mut rng, mutant);
        let row = Row {
            epoch: 1,
            catalogue: 1,
            change: "seed".to_owned(),
            written: Wall(START_WALL_MS),
            ..Row::default()
        };
        Self {
            plan,
            rng,
            now_us: 0,
            last_number: 0,
            events: BTreeMap::new(),
            hosts: Vec::new(),
            links: BTreeMap::new(),
            partitioned_until_us: HashMap::new(),
            table: (1, row),
            reply_targets: HashMap::new(),
            forwarded_calls: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            jobs: Vec::new(),
            checker: InvariantChecker::default(),
            event_log: traced.then(VecDeque::new),
        }
    }

    /// Schedules the start of all processes, the callers, the first fault and the operators.
    fn populate(&mut self) {
        for number in 0..self.plan.entries + self.plan.agents {
            let host = Host {
                state: ProcessState::Down,
                incarnation: 0,
                paused_until_us: 0,
                mono_offset_us: self.rng.random_range(0..100 * SECOND_US),
                wall_skew_ms: self.rng.random_range(0..=self.plan.max_wall_skew_ms),
                table_success_share: 1.0,
            };
            self.hosts.push(host);
            let at = self.rng.random_range(0..SECOND_US / 2);
            self.schedule(at, Event::Restart(number));
        }
        self.schedule_callers();
        let first_fault_at = self.rng.random_range(2 * SECOND_US..5 * SECOND_US);
        self.schedule(first_fault_at, Event::InjectFault);
        for _change in 0..self.rng.random_range(0..=self.plan.max_changes) {
            let at = self.rng.random_range(3 * SECOND_US..self.plan.end_us);
            self.schedule(at, Event::OperatorChange);
        }
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.last_number += 1;
        self.events.insert((time_us, self.last_number), event);
    }

    /// Returns whether the host runs an entry; the others run agents.
    fn is_entry(&self, number: usize) -> bool {
        number < self.plan.entries
    }

    /// Returns the process that the host runs now.
    fn process(&self, number: usize) -> Process {
        Process {
            number,
            incarnation: self.hosts[number].incarnation,
        }
    }

    fn is_alive(&self, process: Process) -> bool {
        let host = &self.hosts[process.number];
        host.incarnation == process.incarnation && !matches!(host.state, ProcessState::Down)
    }

    fn process_name(&self, number: usize) -> String {
        if self.is_entry(number) {
            format!("entry-{number}")
        } else {
            format!("agent-{}", number - self.plan.entries)
        }
    }

    fn clock_of(&self, number: usize) -> Now {
        let host = &self.hosts[number];
        Now {
            mono: Monotonic(host.mono_offset_us + self.now_us),
            wall: Wall(START_WALL_MS + host.wall_skew_ms + self.now_us / 1_000),
        }
    }

    /// Draws the delay of a message: mostly below a millisecond, sometimes up to the plan's most.
    fn draw_delay_us(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0..=6 => self.rng.random_range(200..1_000),
            7 | 8 => self
                .rng
                .random_range(200..=1_000 + self.plan.max_delay_us / 20),
            _ => self.rng.random_range(200..=200 + self.plan.max_delay_us),
        }
    }

    /// Returns when the partition between two hosts ends; 0 if there was none.
    fn partitioned_until(&self, from: usize, to: usize) -> u64 {
        self.partitioned_until_us
            .get(&(from, to))
            .copied()
            .unwrap_or(0)
    }

    /// Carries out an event whose time has come.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(process, input) => self.deliver(process, input),
            Event::DeliverToAddress(number, input) => self.deliver(self.process(number), input),
            Event::TableRequest { from, sent, write } => {
                self.apply_table_request(from, sent, write);
            }
            Event::Connect { agent, entry } => self.open_link(agent, entry),
            Event::Restart(number) => self.restart_process(number),
            Event::CallerRequest { job, cancel } => self.make_caller_request(job, cancel),
            Event::OperatorChange => self.write_operator_change(),
            Event::InjectFault => self.inject_fault(),
        }
    }

    /// Delivers an input to a process, later if the process is paused, and carries out the actions
    /// that follow. Sometimes the process is paused after its decision, so that it sends late.
    fn deliver(&mut self, process: Process, input: Input) {
        if !self.is_alive(process) {
            return;
        }
        let paused_until = self.hosts[process.number].paused_until_us;
        if paused_until > self.now_us {
            return self.schedule(paused_until, Event::Deliver(process, input));
        }
        if matches!(input, Input::Tick) {
            self.schedule(self.now_us + TICK_US, Event::Deliver(process, Input::Tick));
        } else {
            self.log_event(process.number, "receives", &input);
        }
        if let Input::DelayedOutputs(outputs) = input {
            return self.carry_out_all(process, outputs);
        }
        let outputs = if self.is_entry(process.number) {
            self.step_entry(process, input)
        } else {
            self.step_agent(process, input)
        };
        let is_late = !outputs.is_empty() && self.rng.random_bool(self.plan.late_send_share);
        if is_late {
            let until = self.now_us + self.rng.random_range(0..4 * SECOND_US);
            self.hosts[process.number].paused_until_us = until;
            self.log_event(process.number, "pauses before it sends, until", &until);
            self.schedule(
                until,
                Event::Deliver(process, Input::DelayedOutputs(outputs)),
            );
        } else {
            self.carry_out_all(process, outputs);
        }
    }

    fn carry_out_all(&mut self, process: Process, mut outputs: Vec<Output>) {
        // Entries iterate over hash maps, so the order of their agents would differ between runs.
        outputs.sort_by_key(|output| match output {
            Output::Entry(entry::Action::SendOrder { link, .. }) => *link,
            _ => 0,
        });
        for output in outputs {
            match output {
                Output::Entry(action) => self.carry_out_entry_action(process, action),
                Output::Agent(action) => self.carry_out_agent_action(process, action),
            }
        }
    }

    /// Adds a line to the event log of a traced run.
    fn log_event<T>(&mut self, number: usize, event: &str, details: &T)
    where
        T: Debug,
    {
        if self.event_log.is_none() {
            return;
        }
        let incarnation = self.hosts[number].incarnation;
        let name = self.process_name(number);
        let line = format!(
            "{:>9} {name}/{incarnation} {event} {details:?}",
            self.now_us
        );
        if let Some(event_log) = &mut self.event_log {
            if event_log.len() == MAX_LOGGED_EVENTS {
                event_log.pop_front();
            }
            event_log.push_back(line);
        }
    }
}

fn catalogue() -> Catalogue {
    let kind = Kind {
        name: JOB_KIND.to_owned(),
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
