//! Discrete event simulation of entries, agents, backend servers and callers in virtual time.
//! Entries and agents run the production decision code; network, clocks and servers are simulated.

mod callers;
mod connections;
mod event;
mod faults;
pub mod scenario;
mod servers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{self, Agent, Announcement, Profile};
use ibisspool_core::spool::catalogue::{Limits, Queue, Snapshot};
use ibisspool_core::spool::entry::{self, Entry, JobKey};
use ibisspool_core::spool::job::{Id, Resources, TaskName};
use ibisspool_core::spool::log_line::LogLine;
use ibisspool_core::spool::message::{QueueLoad, Timestamp};
use ibisspool_core::spool::safety::Safety;
use ibisspool_core::time::{Monotonic, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use ibisspool_standin::executor::Executor;

pub use event::Process;
use event::{Call, Event, Message};
pub use scenario::{Fault, Foreign, Job, Kind, LongTasks, Mutant, RunResult, SERVICE, Scenario};

/// Interval at which an entry tells the others how much work waits in its queue.
const GOSSIP_INTERVAL_US: u64 = 400 * MS;

/// Microseconds per millisecond.
pub const MS: u64 = 1_000;

/// Time after the drain of a server is known to its agent during which tasks may still start there.
/// The users' requirements set this limit.
const DRAIN_GRACE_US: u64 = 2_000 * MS;

/// Wall clock time at the start of a run.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// An entry's process. `entry` is `None` while the process is down; `boot` counts its starts;
/// `inbox` holds events that arrived while the process was paused.
struct EntryProcess {
    entry: Option<Entry>,
    boot: u64,
    /// Start of the process, from which its monotonic clock counts.
    started_us: u64,
    paused: bool,
    inbox: Vec<Event>,
    connection_ids: BTreeMap<entry::ConnectionKey, u64>,
    open_jobs: BTreeMap<JobKey, (usize, u32)>,
}

/// An agent's process, with fields as in [`EntryProcess`], and the state of its VM and backend
/// server.
struct AgentProcess {
    agent: Option<Agent>,
    boot: u64,
    paused: bool,
    /// Total length of the suspensions that are over.
    past_suspensions_us: u64,
    paused_at: u64,
    inbox: Vec<Event>,
    connection_ids: BTreeMap<agent::ConnectionKey, u64>,
    /// Newest timestamp that the agent sent on each connection.
    last_stamps: BTreeMap<u64, Timestamp>,
    /// Lease renewals that wait for the end of a task, by id: the agent's time when the renewal was
    /// sent, and how far it is.
    open_renewals: BTreeMap<u64, Renewal>,
    ready: bool,
    /// Difference between the wall clock of the agent's VM and true time.
    wall_clock_offset_ms: i64,
    /// When the agent learned that its server drains.
    drain_seen_at: Option<u64>,
    /// Whether the agent keeps renewing its lease, each renewal following the answer to the last.
    renews_lease: bool,
    last_announcement: u64,
    /// Number of announcements of its server's incarnation that the agent has got since it started.
    announcements_heard: u32,
}

/// A lease renewal without an answer.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    /// The agent's time when it was sent.
    sent_at: u64,
    is_probe: bool,
    /// Whether it has reached the backend server.
    has_arrived: bool,
}

/// A run whose time changes with the tasks beside it. Times are true time in microseconds.
#[derive(Debug, Clone, Copy)]
struct StretchedRun {
    queue: usize,
    started_us: u64,
    /// Run time without any interference.
    alone_us: u64,
    /// Factor on the run time by the tasks beside it now.
    factor: f64,
    ends_at_us: u64,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    entry: usize,
    agent: usize,
    entry_key: Option<entry::ConnectionKey>,
    agent_key: Option<agent::ConnectionKey>,
    open: bool,
    /// Start counts of the entry and the agent. A connection doesn't outlive either process.
    boots: (u64, u64),
}

/// A caller and its only job.
struct Caller {
    job: Job,
    /// Time of the first attempt, from which the latency counts.
    first_submitted_at: u64,
    attempt: u32,
    /// Whether the current attempt was answered or given up.
    is_done: bool,
    /// Entry of the current attempt, with its start count.
    current_entry: Option<(usize, u64)>,
    /// When the request of the current attempt arrived, if it waits for the first catalogue.
    arrived_at: Option<Monotonic>,
    refusals: u32,
    /// Whether a backend server has started a task of the job.
    any_task_ran: bool,
    /// Runs of the current attempt: start, end unless it is stopped earlier, and CPU.
    runs: Vec<(u64, u64, u32)>,
}

/// The state of a simulation run. Times are in microseconds since the start of the run.
pub struct World {
    scenario: Scenario,
    random: SmallRng,
    now_us: u64,
    /// Scheduled events: time, order of scheduling, and key in `events_by_id`.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events_by_id: BTreeMap<usize, Event>,
    last_event_id: usize,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    executors: Vec<Executor>,
    /// Name of the incarnation of each backend server.
    incarnations: Vec<Arc<str>>,
    /// Kind of each backend server.
    kinds: Vec<Kind>,
    /// Tasks that have ended as done on any backend server.
    done_tasks: HashSet<TaskName>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Time of the last delivery by connection and direction, so that messages stay in order.
    last_delivery_at: BTreeMap<(u64, bool), u64>,
    /// Network partitions: entry, agent, start, end, whether messages to the entry and those to the
    /// agent are held back.
    partitions: Vec<(usize, usize, u64, u64, bool, bool)>,
    callers: Vec<Caller>,
    /// Index of the caller by job id.
    caller_by_job_id: BTreeMap<u64, usize>,
    /// Until when all tasks of each backend server fail.
    failing_until: BTreeMap<usize, u64>,
    /// Until when tasks started on each backend server make no progress.
    stalled_until: BTreeMap<usize, u64>,
    /// Until when no process listens at the address of each backend server that has crashed.
    unreachable_until: BTreeMap<usize, u64>,
    /// Until when each backend server refuses connections while it lives.
    refusing_until: BTreeMap<usize, u64>,
    /// Until when run lists of each backend server lack rows, and the percentage of these lists.
    garbled_until: BTreeMap<usize, (u64, u8)>,
    /// Runs whose times the interference changes, by index of the backend server and start number.
    stretched_runs: BTreeMap<(usize, u64), StretchedRun>,
    safety: Safety,
    last_renewal_id: u64,
    trace_enabled: bool,
    pub result: RunResult,
}

/// Queues by the run time of their typical task: name, priority and attempts.
pub const QUEUES: [(&str, u8, u32); 3] = [("short", 0, 4), ("middle", 1, 2), ("long", 2, 3)];

fn queue(index: usize) -> Queue {
    let (name, priority, attempts) = QUEUES[index];
    Queue {
        name: Arc::from(name),
        host: "jobs.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: Arc::from(SERVICE),
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

/// Returns the name that a backend server gets if it starts at a time.
fn incarnation_started_at(started_us: u64) -> Arc<str> {
    Arc::from(format!("i-{started_us}"))
}

/// Time bounds for callers that submit again after 1.3 s and leases of at most 1 s.
pub fn safety() -> Safety {
    Safety::new(Duration::from_millis(1_300), Duration::from_secs(1))
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        let mut safety = safety();
        if scenario.mutant == Some(Mutant::LongLease) {
            safety.lease *= 5;
        }
        let mut random = SmallRng::seed_from_u64(scenario.seed);
        let incarnations = vec![incarnation_started_at(1); scenario.executors.len()];
        let executors = scenario
            .executors
            .iter()
            .map(|&(capacity, slowness)| {
                let rate = random.random_range(0.98..1.0);
                let mut executor = Executor::new(capacity, rate, slowness, 1);
                if scenario.mutant == Some(Mutant::LongLease) {
                    executor.longest_lease_ms *= 5;
                }
                executor
            })
            .collect();
        let mut kinds = scenario.kinds.clone();
        kinds.resize(scenario.executors.len(), Kind::default());
        let mut world = Self {
            random,
            now_us: 0,
            events: BinaryHeap::new(),
            events_by_id: BTreeMap::new(),
            last_event_id: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            executors,
            incarnations,
            kinds,
            done_tasks: HashSet::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            last_delivery_at: BTreeMap::new(),
            partitions: Vec::new(),
            callers: Vec::new(),
            caller_by_job_id: BTreeMap::new(),
            failing_until: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            refusing_until: BTreeMap::new(),
            garbled_until: BTreeMap::new(),
            stretched_runs: BTreeMap::new(),
            safety,
            last_renewal_id: 0,
            trace_enabled: std::env::var_os("IBISSPOOL_TRACE").is_some(),
            result: RunResult::default(),
            scenario,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for index in 0..self.scenario.entries {
            self.entries.push(EntryProcess {
                entry: None,
                boot: 0,
                started_us: 0,
                paused: false,
                inbox: Vec::new(),
                connection_ids: BTreeMap::new(),
                open_jobs: BTreeMap::new(),
            });
            self.start_process(Process::Entry(index));
        }
        for index in 0..self.scenario.executors.len() {
            self.agents.push(AgentProcess {
                agent: None,
                boot: 0,
                paused: false,
                past_suspensions_us: 0,
                paused_at: 0,
                inbox: Vec::new(),
                connection_ids: BTreeMap::new(),
                last_stamps: BTreeMap::new(),
                open_renewals: BTreeMap::new(),
                ready: true,
                wall_clock_offset_ms: 0,
                drain_seen_at: None,
                renews_lease: false,
                last_announcement: 0,
                announcements_heard: 0,
            });
            self.start_process(Process::Agent(index));
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.schedule_at(at, Event::Fault(fault));
        }
        for (at, job) in self.scenario.jobs.clone() {
            if job.is_servable() {
                self.result
                    .tally_job(job.queue, at, |tally| tally.submitted += 1);
            }
            let index = self.callers.len();
            self.callers.push(Caller {
                job,
                first_submitted_at: at,
                attempt: 0,
                is_done: false,
                current_entry: None,
                arrived_at: None,
                refusals: 0,
                any_task_ran: false,
                runs: Vec::new(),
            });
            let skewed = self.scenario.first_entry_share > 0.0
                && self.random.random_bool(self.scenario.first_entry_share);
            let entry = if skewed {
                0
            } else {
                self.random.random_range(0..self.scenario.entries)
            };
            self.schedule_at(
                at,
                Event::Submit {
                    job: index,
                    attempt: 1,
                    entry,
                },
            );
        }
        self.schedule_at(5 * MS, Event::Tick);
        if self.scenario.lost_gossip_share < 1.0 {
            self.schedule_at(GOSSIP_INTERVAL_US, Event::Gossip);
        }
    }

    fn schedule_at(&mut self, time: u64, event: Event) {
        self.last_event_id += 1;
        self.events_by_id.insert(self.last_event_id, event);
        self.events.push(Reverse((
            time.max(self.now_us),
            self.last_event_id as u64,
            self.last_event_id,
        )));
    }

    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now_us + delay, event);
    }

    /// Runs the scenario to its end and returns the counts and violated invariants.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((time, _order, key))) = self.events.pop() {
            if time > self.scenario.end_us {
                break;
            }
            self.now_us = time;
            let event = self
                .events_by_id
                .remove(&key)
                .expect("each event is stored");
            self.handle_event(event);
        }
        for (name, lost) in self.executors.iter().flat_map(|server| &server.lost_work) {
            if let Some(&caller) = self.caller_by_job_id.get(&name.job.0) {
                let queue = self.callers[caller].job.queue;
                self.result.lost_work[queue] += *lost as f64 / 1e9;
            }
        }
        for caller in &self.callers {
            if caller.any_task_ran && caller.refusals > 0 && caller.refusals == caller.attempt {
                let id = Id(caller.job.id);
                self.result
                    .violations
                    .push(format!("job {id} ran although every attempt was refused"));
            }
        }
        self.result
    }

    /// Returns the time that a process reads from its clocks.
    fn process_clock(&self, process: Process) -> Now {
        let uncounted_us = match process {
            Process::Agent(index) if self.scenario.mutant == Some(Mutant::ClockStopsInSuspend) => {
                self.agents[index].past_suspensions_us
            }
            Process::Agent(_) => 0,
            Process::Entry(index) => self.entries[index].started_us,
        };
        let mono = self.now_us + 1 - uncounted_us;
        let is_coarse = self.scenario.coarse_agent_clock && matches!(process, Process::Agent(_));
        Now {
            mono: Monotonic(if is_coarse { mono / MS * MS } else { mono }),
            wall: self.wall_clock(process),
        }
    }

    fn wall_clock(&self, process: Process) -> Wall {
        let offset_ms = match process {
            Process::Agent(index) => self.agents[index].wall_clock_offset_ms,
            Process::Entry(_) => 0,
        };
        Wall((EPOCH_MS + self.now_us / 1_000).saturating_add_signed(offset_ms))
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Gossip => self.gossip(),
            Event::PeerQueue { to, from, load } => self.deliver_peer_queue(to, from, load),
            Event::Fault(fault) => self.inject(fault),
            Event::StartProcess(process) => self.start_process(process),
            Event::ResumeProcess(process) => self.resume_process(process),
            Event::Submit {
                job,
                attempt,
                entry,
            } => self.submit(job, attempt, entry),
            Event::FirstCatalogue { entry, boot } => {
                if self.entries[entry].boot == boot {
                    self.drive_entry(entry, |entry, now| {
                        entry.apply_newer_catalogue(Arc::new(catalogue()), "test", now);
                    });
                }
            }
            Event::AttemptTimeout { job, attempt } => self.time_out_attempt(job, attempt),
            Event::CallerClosed {
                job,
                attempt,
                entry,
                boot,
            } => self.close_at_entry(job, attempt, entry, boot),
            Event::Answered {
                job,
                attempt,
                answer,
            } => self.receive_answer(job, attempt, answer),
            Event::Deliver { to, boot, message } => self.deliver(to, boot, message),
            Event::Call {
                agent,
                boot,
                call,
                gets_answer,
                held_since,
            } => {
                // A call that a backend server holds back ends with the server.
                let is_held = held_since.is_none_or(|at| at >= self.executors[agent].started_us);
                if is_held {
                    self.execute_call(agent, boot, call, gets_answer);
                }
            }
            Event::AnswerRenewal {
                agent,
                boot,
                renewal,
            } => self.answer_renewal(agent, boot, renewal),
            Event::Dial { agent, entry } => self.dial(agent, entry),
            Event::CloseSilentConnection {
                agent,
                entry,
                suspended_us,
            } => self.close_silent_connection(agent, entry, suspended_us),
            Event::RestoreSpeed(executor, slowness) => {
                self.executors[executor].run_time_factor = slowness;
            }
            Event::Announce(agent) => {
                self.announce_server(agent);
                self.schedule_after(1_500 * MS, Event::Announce(agent));
            }
            Event::AnnounceOnce(agent) => self.announce_server(agent),
            Event::NextRenewal { agent, boot } => self.continue_renewals(agent, boot),
        }
    }

    /// Returns the end of the last partition that holds back messages between an entry and an agent
    /// now; `up` is the direction to the entry.
    fn partition_end(&self, entry: usize, agent: usize, up: bool) -> Option<u64> {
        self.partitions
            .iter()
            .filter(|(e, a, from, to, cut_up, cut_down)| {
                *e == entry
                    && *a == agent
                    && (*from..*to).contains(&self.now_us)
                    && (if up { *cut_up } else { *cut_down })
            })
            .map(|cut| cut.3)
            .max()
    }

    /// Lets each entry tell the others how much work waits in its queue. A share of the messages is
    /// lost.
    fn gossip(&mut self) {
        self.schedule_after(GOSSIP_INTERVAL_US, Event::Gossip);
        for from in 0..self.entries.len() {
            if self.entries[from].paused {
                continue;
            }
            let Some(load) = self.with_entry(from, |entry, now| entry.queue_load(now.mono)) else {
                continue;
            };
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                // Drawn from the time and the entries, so that loads with and without lost messages
                // have the same random numbers otherwise.
                let draw =
                    (self.now_us / GOSSIP_INTERVAL_US * 31 + (from * 7 + to * 13) as u64) % 100;
                if draw as f64 >= self.scenario.lost_gossip_share * 100.0 {
                    let delay = self.scenario.gossip_delay_us;
                    self.schedule_after(delay, Event::PeerQueue { to, from, load });
                }
            }
        }
    }

    fn deliver_peer_queue(&mut self, to: usize, from: usize, load: QueueLoad) {
        if !self.entries[to].paused {
            let from = faults::entry_member(from);
            self.with_entry(to, |entry, now| {
                entry.record_peer_queue(&from, Some(load), now);
            });
        }
    }

    /// Ends tasks and lets the processes handle expired deadlines: agents every 5 ms, entries every
    /// 20 ms.
    fn tick(&mut self) {
        self.schedule_after(5 * MS, Event::Tick);
        for index in 0..self.executors.len() {
            self.stretch_runs(index);
            self.answer_renewals_of_ended_tasks(index);
        }
        for index in 0..self.agents.len() {
            if self.agents[index].agent.is_some() && !self.agents[index].paused {
                self.drive_agent(index, agent::Agent::handle_tick);
            }
        }
        if self.now_us.is_multiple_of(20 * MS) {
            for index in 0..self.entries.len() {
                if self.entries[index].entry.is_some() && !self.entries[index].paused {
                    self.drive_entry(index, entry::Entry::handle_tick);
                }
            }
        }
    }

    /// Answers the open lease renewals of a backend server if one of its tasks has ended.
    fn answer_renewals_of_ended_tasks(&mut self, index: usize) {
        self.executors[index].end_due_tasks(self.now_us);
        if self.executors[index].has_unacknowledged_ends() {
            let waiting: Vec<u64> = self.arrived_renewals(index);
            let boot = self.agents[index].boot;
            for hold in waiting {
                self.answer_renewal(index, boot, hold);
            }
        }
    }

    /// Returns the lease renewals that have reached a backend server and have no answer yet.
    fn arrived_renewals(&self, index: usize) -> Vec<u64> {
        let renewals = self.agents[index].open_renewals.iter();
        renewals
            .filter(|(_id, renewal)| renewal.has_arrived)
            .map(|(id, _renewal)| *id)
            .collect()
    }

    fn announce_server(&mut self, index: usize) {
        self.agents[index].last_announcement += 1;
        let announcement = self.own_announcement(index);
        if let Some(is_acknowledged) = self.deliver_announcement(index, announcement) {
            let agent = &mut self.agents[index];
            agent.announcements_heard += 1;
            if !agent.ready {
                agent.drain_seen_at.get_or_insert(self.now_us);
            }
            if !is_acknowledged {
                self.record_violation(&format!("agent {index} does not believe its server"));
            }
        }
    }

    /// Returns what a backend server announces now.
    fn own_announcement(&self, index: usize) -> Announcement {
        let agent = &self.agents[index];
        Announcement {
            incarnation: Arc::clone(&self.incarnations[index]),
            started_at_ms: self.executors[index].started_us,
            clock_ms: self.executors[index].clock_ms(self.now_us),
            sequence: agent.last_announcement,
            profile: Profile {
                service: Arc::from(self.kinds[index].service),
                capacity: Resources {
                    cpu_millicores: self.executors[index].capacity_cpu_millis,
                    memory_mb: 1 << 15,
                    accelerators: 0,
                },
                labels: self.kinds[index]
                    .label
                    .map(str::to_owned)
                    .into_iter()
                    .collect(),
            },
            ready: agent.ready,
        }
    }

    /// Lets an agent handle an announcement. Returns whether the agent acknowledges it, `None` if its
    /// process is down or paused.
    fn deliver_announcement(&mut self, index: usize, announcement: Announcement) -> Option<bool> {
        let agent = &self.agents[index];
        if agent.agent.is_none() || agent.paused {
            return None;
        }
        let mut is_acknowledged = false;
        self.drive_agent(index, |agent, now| {
            is_acknowledged = agent.handle_announcement(announcement, now);
        });
        if !std::mem::replace(&mut self.agents[index].renews_lease, true) {
            self.renew_lease(index, false);
        }
        Some(is_acknowledged)
    }

    /// Sends the next lease renewal of an agent, unless it has started again since the event was
    /// scheduled.
    fn continue_renewals(&mut self, index: usize, boot: u64) {
        let agent = &mut self.agents[index];
        if agent.boot != boot || agent.agent.is_none() {
            return;
        }
        if agent.paused {
            agent.inbox.push(Event::NextRenewal { agent: index, boot });
        } else {
            self.renew_lease(index, false);
        }
    }

    fn with_entry<R>(&mut self, index: usize, f: impl FnOnce(&mut Entry, Now) -> R) -> Option<R> {
        let now = self.process_clock(Process::Entry(index));
        self.entries[index]
            .entry
            .as_mut()
            .map(|entry| f(entry, now))
    }

    fn with_agent<R>(&mut self, index: usize, f: impl FnOnce(&mut Agent, Now) -> R) -> Option<R> {
        let now = self.process_clock(Process::Agent(index));
        self.agents[index].agent.as_mut().map(|agent| f(agent, now))
    }

    /// Calls a method of an entry and carries out the actions that it records.
    fn drive_entry(&mut self, index: usize, f: impl FnOnce(&mut Entry, Now)) {
        self.with_entry(index, f);
        self.carry_out_entry_actions(index);
    }

    /// Calls a method of an agent and carries out the actions that it records.
    fn drive_agent(&mut self, index: usize, f: impl FnOnce(&mut Agent, Now)) {
        self.with_agent(index, f);
        self.carry_out_agent_actions(index);
    }

    fn carry_out_entry_actions(&mut self, index: usize) {
        let actions = self.with_entry(index, |entry, _now| entry.take_actions());
        for action in actions.unwrap_or_default() {
            match action {
                entry::Action::SendAnswer(key, answer) => {
                    if let Some((job, attempt)) = self.entries[index].open_jobs.remove(&key) {
                        self.send_answer(job, attempt, Some(answer));
                    }
                }
                entry::Action::SendOrder(key, order, part) => {
                    if let Some(&id) = self.entries[index].connection_ids.get(&key)
                        && self.connections[&id].open
                    {
                        self.send_message(id, false, Message::Order(id, order, part));
                    }
                }
                entry::Action::CountRetry(reason) => {
                    *self.result.retries.entry(reason).or_default() += 1;
                }
                entry::Action::ShowInterference(pairs) => {
                    self.result.interference = pairs;
                }
                entry::Action::CountStartup(what) => {
                    *self.result.startup_jobs.entry(what).or_default() += 1;
                }
                entry::Action::WriteLog(line) => self.trace("entry", index, &line),
            }
        }
    }

    fn carry_out_agent_actions(&mut self, index: usize) {
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
                    started_at_ms,
                    ..
                } => {
                    let sent = self.now_us;
                    let call = Call::Start {
                        key,
                        name,
                        number,
                        lease_until: until,
                        token,
                        incarnation,
                        started_at_ms,
                        sent,
                    };
                    self.call_server(index, call);
                }
                agent::Action::Stop {
                    name,
                    number,
                    token,
                } => {
                    if self.scenario.mutant != Some(Mutant::DropStopCalls) {
                        self.call_server(
                            index,
                            Call::Stop {
                                name,
                                number,
                                token,
                            },
                        );
                    }
                }
                agent::Action::PollNow => self.renew_lease(index, true),
                agent::Action::Report(key, report, part) => {
                    if let Some(&id) = self.agents[index].connection_ids.get(&key)
                        && self.connections[&id].open
                    {
                        self.agents[index].last_stamps.insert(id, report.sent_at);
                        self.result.reports += 1;
                        self.send_message(id, true, Message::Report(id, report, part));
                    }
                }
                agent::Action::CountEnd(_)
                | agent::Action::CountStop(_)
                | agent::Action::CountDoubt(_) => {}
                agent::Action::WriteLog(line) => self.trace("agent", index, &line),
            }
        }
    }

    /// Prints a log line of an entry or agent if `IBISSPOOL_TRACE` is set.
    fn trace(&self, what: &str, index: usize, line: &LogLine) {
        if self.trace_enabled {
            let at = self.now_us as f64 / MS as f64;
            println!("{at:10.2} {what} {index}: {} {}", line.text, line.fields);
        }
    }

    fn record_violation(&mut self, text: &str) {
        let at = self.now_us / MS;
        self.result.violations.push(format!("at {at} ms: {text}"));
    }
}
