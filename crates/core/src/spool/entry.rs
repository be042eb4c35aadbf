//! Decision logic of an entry: the front-end process that accepts jobs from callers, dispatches
//! their tasks to agents and answers the callers.
//!
//! An agent runs next to each backend server and is the only one to start tasks there. A job may
//! have several steps, each of several tasks. Nothing here does I/O: methods take the current time
//! as an argument and record [`Action`]s, which the event loop of the process carries out in order.
//!
//! The handlers of submissions, reports, lost connections, new catalogues and ticks first handle
//! all expired deadlines, so that a process that was suspended doesn't act on outdated state.

mod admission;
mod agents;
mod dispatch;
mod estimate;
mod gossip;
pub mod interference;
mod jobs;
mod neighbours;
pub mod placement;
pub mod plan;
mod policy;
mod report_rate;
mod retry;
pub mod selection;
pub mod separation;
mod shed;
mod spread;
pub mod startup;

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use super::catalogue::check::find_problems;
use super::catalogue::{Queue, Snapshot};
use super::job::{Id, Request};
use super::log_line::LogLine;
use super::message::{DispatchId, Member, Order, StartKinds};
use super::safety::Safety;
use crate::time::{Monotonic, Now};

pub use admission::{AdmissionLoad, Backlog, admit};
pub use estimate::{QueueRunTimes, RunTimeEstimates, least_run_time, long_task_limit};
pub use gossip::{Peer, PeerQueues, gossip_interval};
pub use policy::Policy;
pub use report_rate::DEFAULT_HOME_AGENTS;
pub use retry::{RefusedWork, retry_after};
pub use shed::{AdmittedWork, Waiting, select_shed};

use agents::Agent;
use dispatch::Urgency;
use interference::Interference;
use plan::Plan;
use spread::Spread;
use startup::Startup;

pub use neighbours::NamedPair;

/// Default factor on the run time of a task whose input data is in another rack.
pub const DEFAULT_REMOTE_DATA_FACTOR: f64 = 1.5;

/// Time after a pause of this process until the event loop has read what the connections received
/// meanwhile: two intervals of [`Entry::handle_tick`].
const CATCH_UP_TIME: Duration = Duration::from_millis(40);

new_key_type! {
    /// Key of a job whose caller waits for the answer.
    pub struct JobKey;
    /// Key of a connection to an agent.
    pub struct ConnectionKey;
    /// Key of a task of an open job.
    pub struct TaskKey;
}

/// Addresses of an agent's connection as this entry sees them. They tell two processes of one agent
/// name apart, and two connections that one process keeps open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Address of the agent. The port is left out, as it differs with each connection.
    pub from: IpAddr,
    /// Address of this entry that the agent connected to.
    pub to: SocketAddr,
}

impl Route {
    /// Creates a route. An IPv4 address written as an IPv6 one counts as the IPv4 one.
    pub fn new(from: IpAddr, to: SocketAddr) -> Self {
        Self {
            from: from.to_canonical(),
            to: SocketAddr::new(to.ip().to_canonical(), to.port()),
        }
    }
}

/// Why a job was refused before any of its tasks ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The entry has not yet received a catalogue, which defines the queues.
    NoCatalogue,
    /// The expected queueing delay is too long for the job to meet its latency objective.
    Overloaded,
    /// The job waited, certainly nothing of it was sent, and it gave way to a more urgent one.
    Shed,
    /// The job waited in the queue too long, and certainly none of its tasks has run.
    WaitedTooLong,
    /// No backend server of the service is connected, or none is large enough for the job.
    NoBackend,
    /// The request has no tasks, or a step that depends on itself or a later step.
    Unsupported,
    /// The entry is shutting down.
    Stopping,
}

/// Result of a job, as its caller gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have succeeded.
    Completed,
    /// A task has used up the attempts that its queue allows.
    Failed,
    /// No task of the job has run or will run, so that the caller may safely submit the job again.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Time to wait before the next try.
        retry_after: Duration,
    },
    /// The job didn't end before its deadline; some of its tasks may have run.
    Expired,
}

/// Side effect for the event loop to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer the caller of the job.
    SendAnswer(JobKey, Answer),
    /// Send an order over an agent's connection, with the optional part behind it.
    SendOrder(ConnectionKey, Order, Option<StartKinds>),
    /// Show these estimates of kinds of tasks that slow each other down, with the names of their
    /// queues, in place of the earlier ones.
    ShowInterference(Vec<NamedPair>),
    /// Count a retry of a task under this reason.
    CountRetry(&'static str),
    /// Count what happened to a job that could not be placed yet: `waited`, then `admitted` or
    /// `refused`.
    CountStartup(&'static str),
    /// Write a log line.
    WriteLog(LogLine),
}

/// State of a task from the submission of its job to its success.
#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskState {
    /// A step that this task depends on is not complete.
    Blocked,
    /// The task waits to be dispatched.
    Queued(Urgency),
    /// An agent got the task and has not reported its outcome.
    Dispatched {
        connection: ConnectionKey,
        ticket: DispatchId,
        /// Value of the agent in `Entry::agent_numbers`.
        agent_number: u32,
    },
    /// The connection to the task's agent was lost. The task may still run there.
    Orphaned(Orphan),
    /// The task succeeded.
    Completed,
}

impl TaskState {
    /// Returns the number of the agent that has the task or may have it.
    fn agent_number(&self) -> Option<u32> {
        match self {
            Self::Dispatched { agent_number, .. } => Some(*agent_number),
            Self::Orphaned(orphan) => Some(orphan.agent_number),
            Self::Blocked | Self::Queued(_) | Self::Completed => None,
        }
    }
}

/// What is known of a task since the connection to its agent was lost.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Orphan {
    /// Value of the agent in `Entry::agent_numbers`.
    agent_number: u32,
    /// Connection that the task was sent over, which is not in `Entry::agents` any more.
    connection: ConnectionKey,
    /// Position of that connection among all that agents have opened to this entry.
    ordinal: u64,
    route: Route,
    /// When this entry noticed that the connection was lost.
    lost_at: Monotonic,
}

/// What shows that a run is gone, so that its task may be queued again.
#[derive(Debug, Clone, Copy, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Evidence {
    /// The agent reported the end on the connection that the task was sent over.
    Outcome,
    /// The agent reported on another connection by the same route that nothing of earlier ones is
    /// left.
    Cleared(Orphan),
    /// The longest time has passed for which the run can go on without its connection.
    Bound(Orphan),
}

/// A task of an open job.
#[derive(Debug)]
struct Task {
    job: JobKey,
    step: u16,
    index: u32,
    state: TaskState,
    /// Estimated run time that the last dispatch told the agent.
    dispatched_estimate: Duration,
    /// Number of failed runs.
    failures: u32,
    /// How long the task takes at least on a server of typical speed, as shown by its lost runs.
    least_run_time: Duration,
    /// Values of `Entry::agent_numbers` for the agents on which the task failed or was lost.
    failed_on: SmallVec<[u32; 4]>,
}

/// A job whose caller waits for the answer.
#[derive(Debug)]
struct Job {
    id: Id,
    queue: Queue,
    request: Request,
    /// Tasks in the order of their steps.
    tasks: Vec<TaskKey>,
    unfinished_tasks: usize,
    plan: Plan,
    /// Tasks on each agent, of steps that limit them.
    spread: Spread,
    submitted_at: Monotonic,
    /// When the job is answered even if tasks are unfinished.
    deadline: Monotonic,
    /// Whether any task was sent to an agent.
    has_dispatched: bool,
    /// Whether any task may have run, so that the job can't be refused any more.
    may_have_run: bool,
}

/// State of one entry. See the module for how events and actions work.
#[derive(Debug)]
pub struct Entry {
    safety: Safety,
    catalogue: Option<Arc<Snapshot>>,
    /// Known entries of the deployment, this one first. The list only grows.
    members: Vec<Member>,
    jobs: SlotMap<JobKey, Job>,
    tasks: SlotMap<TaskKey, Task>,
    tasks_by_ticket: HashMap<DispatchId, TaskKey>,
    /// The tasks in the state [`TaskState::Orphaned`].
    orphans: BTreeSet<TaskKey>,
    /// When the late tasks were last looked at for those that can't end in useful time.
    hopeless_reviewed_at: Monotonic,
    /// See [`Entry::work`].
    work: Cell<u64>,
    last_ticket: u64,
    agents: SlotMap<ConnectionKey, Agent>,
    /// Number of connections that agents have opened to this entry.
    agent_connections: u64,
    /// Small numbers for agent names. A number stays the same across reconnections, so that a task
    /// can remember the agents on which it failed.
    agent_numbers: HashMap<String, u32>,
    queued_tasks: BTreeSet<(Urgency, TaskKey)>,
    estimates: RunTimeEstimates,
    /// Actual run time divided by the estimate, averaged over the servers; 1 if estimates are
    /// exact.
    mean_slowdown: f64,
    /// Factor on the run time of a task whose input data is in another rack.
    remote_data_factor: f64,
    policy: Policy,
    /// What is known of kinds of tasks that slow each other down; `None` if they are not separated.
    interference: Option<Interference>,
    /// Whether waiting jobs give way to more urgent arrivals.
    sheds_waiting: bool,
    peer_queues: PeerQueues,
    refused_work: RefusedWork,
    admitted_work: AdmittedWork,
    /// Number of agents of each service in the home share of this entry.
    home_agents: usize,
    /// When the report rates of the agents are next reviewed.
    report_rates_due: Monotonic,
    random: SmallRng,
    /// Generator of the retry delays, apart from the one above, so that refusals don't change which
    /// agents are drawn.
    retry_random: SmallRng,
    /// Latest time passed to any method; a jump shows that the process was paused.
    last_event_at: Monotonic,
    /// No task is dispatched before this time.
    dispatch_from: Monotonic,
    /// Set by a planned shutdown: the time by which each job has to be answered.
    shutdown_deadline: Option<Monotonic>,
    startup: Startup,
    actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry without agents and catalogue. `me` is how other entries and agents reach
    /// this one; `seed` feeds the random jitter in the choice of agents.
    pub fn new(me: Member, safety: Safety, seed: u64) -> Self {
        Self {
            safety,
            catalogue: None,
            members: vec![me],
            jobs: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            tasks_by_ticket: HashMap::new(),
            orphans: BTreeSet::new(),
            hopeless_reviewed_at: Monotonic(0),
            work: Cell::new(0),
            last_ticket: 0,
            agents: SlotMap::with_key(),
            agent_connections: 0,
            agent_numbers: HashMap::new(),
            queued_tasks: BTreeSet::new(),
            estimates: RunTimeEstimates::default(),
            mean_slowdown: 1.0,
            remote_data_factor: DEFAULT_REMOTE_DATA_FACTOR,
            policy: Policy::default(),
            interference: None,
            sheds_waiting: false,
            peer_queues: PeerQueues::default(),
            refused_work: RefusedWork::default(),
            admitted_work: AdmittedWork::default(),
            home_agents: DEFAULT_HOME_AGENTS,
            report_rates_due: Monotonic(0),
            random: SmallRng::seed_from_u64(seed),
            retry_random: SmallRng::seed_from_u64(!seed),
            last_event_at: Monotonic(0),
            dispatch_from: Monotonic(0),
            shutdown_deadline: None,
            startup: Startup::new(),
            actions: Vec::new(),
        }
    }

    /// Sets the factor on the run time of a task whose input data is in another rack.
    #[must_use]
    pub fn with_remote_data_factor(mut self, remote_data_factor: f64) -> Self {
        self.remote_data_factor = remote_data_factor;
        self
    }

    /// Replaces the functions that score agents, admit jobs and estimate run times.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self.estimates = self.estimates.with_long_task_limit(policy.long_task_limit);
        self
    }

    /// Sets whether waiting jobs give way to more urgent arrivals that would otherwise be refused.
    #[must_use]
    pub fn with_shedding(mut self, sheds_waiting: bool) -> Self {
        self.sheds_waiting = sheds_waiting;
        self
    }

    /// Sets how many agents of each service are in the home share of this entry: they report to it
    /// frequently and get its tasks first.
    #[must_use]
    pub fn with_home_agents(mut self, home_agents: usize) -> Self {
        self.home_agents = home_agents;
        self
    }

    /// Lets the entry learn which kinds of tasks slow each other down, and keep them apart where
    /// there is room.
    #[must_use]
    pub fn with_separation(mut self) -> Self {
        self.interference = Some(Interference::default());
        self
    }

    /// Removes and returns the actions recorded since the last call, in the order to carry them
    /// out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the catalogue that this entry applies, `None` before the first one arrived.
    pub fn catalogue(&self) -> Option<&Arc<Snapshot>> {
        self.catalogue.as_ref()
    }

    /// Applies a catalogue if its version is newer than that of the current one. `source` says in
    /// the log where the catalogue came from.
    pub fn apply_newer_catalogue(
        &mut self,
        catalogue: Arc<Snapshot>,
        source: &'static str,
        now: Now,
    ) {
        self.expire_due(now);
        let known = self.catalogue.as_ref().map_or(0, |known| known.version);
        if catalogue.version <= known {
            return;
        }
        let line = LogLine::new("A catalogue is in force.")
            .with("version", catalogue.version)
            .with("previous", known)
            .with("queues", catalogue.queues.len())
            .with("out_of_service", catalogue.out_of_service.join(","))
            .with("source", source);
        self.log(line);
        self.log_problems(&catalogue);
        self.catalogue = Some(catalogue);
        self.startup.milestones.catalogue.get_or_insert(now.mono);
        self.dispatch(now);
    }

    /// Logs that a catalogue has problems, such as queues that no request can match. It comes into
    /// force all the same, since its other queues work.
    fn log_problems(&mut self, catalogue: &Snapshot) {
        let findings = find_problems(catalogue, None);
        if let Some(first) = findings.first() {
            let line = LogLine::warn("The catalogue has problems.")
                .with("version", catalogue.version)
                .with("count", findings.len())
                .with("queue", first.queue.as_deref().unwrap_or("none"))
                .with("first", &first.problem);
            self.log(line);
        }
    }

    /// Returns the known entries of the deployment, this one first.
    pub fn known_entries(&self) -> &[Member] {
        &self.members
    }

    /// Adds entries to the known ones; returns whether any was new.
    pub fn add_known_entries(&mut self, members: &[Member]) -> bool {
        let before = self.members.len();
        for member in members {
            if !self.members.contains(member) {
                let line = LogLine::new("Discovered another entry.")
                    .with("entry", &member.name)
                    .with("address", member.address);
                self.log(line);
                self.members.push(member.clone());
            }
        }
        self.members.len() > before
    }

    /// Returns whether this entry can serve callers: it has a catalogue, a recent report of some
    /// backend server's agent, and isn't shutting down. An entry that is cut off from all agents
    /// reports that it isn't ready, so that callers choose another one.
    pub fn is_ready(&self, now: Monotonic) -> bool {
        let has_server =
            |agent: &Agent| agent.server.is_some() && self.has_fresh_report(agent, now);
        let can_run_tasks = self.agents.values().any(has_server);
        self.shutdown_deadline.is_none() && self.catalogue.is_some() && can_run_tasks
    }

    /// Begins a planned shutdown. Jobs on open connections are still accepted, and every job is
    /// answered by `until`.
    pub fn begin_shutdown(&mut self, until: Monotonic) {
        self.shutdown_deadline = Some(until);
        for job in self.jobs.values_mut() {
            job.deadline = job.deadline.min(until);
        }
    }

    /// Returns the number of jobs that are not yet answered.
    pub fn open_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue of which no task was sent to an agent yet.
    pub fn undispatched_job_count(&self, queue: &str) -> usize {
        let is_undispatched = |job: &&Job| !job.has_dispatched && &*job.queue.name == queue;
        self.jobs.values().filter(is_undispatched).count()
    }

    /// Returns the work done for jobs so far: how often a step, dependency, task or queue position was
    /// visited. Unlike time, it does not depend on the machine.
    pub fn work(&self) -> u64 {
        self.work.get()
    }

    fn count_work(&self, visits: usize) {
        self.work.set(self.work.get() + visits as u64);
    }

    /// Handles expired deadlines, dispatches queued tasks and sends agents what has changed. The
    /// event loop calls this every 20 ms.
    pub fn handle_tick(&mut self, now: Now) {
        self.expire_due(now);
        self.review_waiting_jobs(now);
        self.dispatch(now);
        self.send_pending_updates(now.mono);
        self.update_report_rates(now.mono);
        self.review_interference(now.mono);
    }

    /// Handles all deadlines that have passed: a pause of this process, jobs and orphaned tasks.
    fn expire_due(&mut self, now: Now) {
        self.detect_pause(now.mono);
        self.expire_due_jobs(now);
        self.requeue_expired_orphans(now);
    }

    /// Detects that this process was paused. Meanwhile a caller may have closed its connection and
    /// submitted its job to another entry, and a dispatch here would run tasks twice at the same
    /// time. Dispatch therefore waits until the events of all connections were read. A caller
    /// submits again only after `safety.resubmit_delay`, so shorter pauses are harmless; half that
    /// time leaves a margin.
    fn detect_pause(&mut self, now: Monotonic) {
        let pause = now.since(self.last_event_at);
        self.last_event_at = self.last_event_at.max(now);
        if pause >= self.safety.resubmit_delay / 2 {
            self.dispatch_from = now.plus(CATCH_UP_TIME);
            let line = LogLine::warn("Resumed after a pause of this process.")
                .with("pause_ms", pause.as_millis())
                .with("jobs", self.jobs.len());
            self.log(line);
        }
    }

    fn log(&mut self, line: LogLine) {
        self.actions.push(Action::WriteLog(line));
    }
}
