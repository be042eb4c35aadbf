//! State and decisions of an agent, the process on a VM that runs tasks on one backend server.
//!
//! The agent is the only process that calls its backend server, so it decides alone about the
//! server's capacity and about starting, stopping and ending tasks there. This module does no I/O:
//! its methods record [`Action`]s, which the agent process carries out in order.

mod announcement;
mod backend;
mod entry_messages;
mod evidence;
mod health;
mod incarnation;
mod neighbours;
mod policy;
pub mod progress;
mod reconcile;
mod report;
mod run;
mod start_queue;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use super::job::{Resources, TaskName};
use super::log_line::LogLine;
use super::message::{AgentHello, Neighbourhood, Report};
use super::safety::Safety;
use crate::time::{Monotonic, Now};

pub use announcement::{Announcement, Doubt, Profile};
pub use backend::{LongPoll, StartAnswer};
pub use evidence::Evidence;
pub use health::{Health, is_outlier};
pub use policy::Policy;
pub use reconcile::{Ended, Listing, Running};
pub use run::{Phase, Run};

use incarnation::Claim;
use neighbours::Neighbours;
use progress::{Progress, RecentEnds, Verdict};
use report::Connection;
use run::UnknownRun;

new_key_type! {
    /// Connection to an entry.
    pub struct ConnectionKey;
    /// A task that an entry has sent to this agent.
    pub struct RunKey;
}

/// I/O that the agent process has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the backend server to start a task; the answer goes to [`Agent::handle_start_answer`].
    Start {
        /// Key to pass on to [`Agent::handle_start_answer`].
        key: RunKey,
        /// Name of the task.
        name: TaskName,
        /// Start number, which identifies this run of the task. Higher than that of every earlier
        /// run.
        number: u64,
        /// Task specification to hand to the server.
        spec: std::sync::Arc<str>,
        /// End of the lease in milliseconds on the server's clock.
        until: u64,
        /// Fencing token: the server refuses requests with a lower one than it has seen.
        token: u64,
        /// Incarnation of the server that the request is meant for.
        incarnation: std::sync::Arc<str>,
        /// Start of that incarnation, which tells it from another one of the same name.
        started_at_ms: u64,
    },
    /// Ask the backend server to stop a run; the answer goes to [`Agent::handle_stop_answer`].
    Stop {
        /// Name of the task.
        name: TaskName,
        /// Start number of the run.
        number: u64,
        /// Fencing token.
        token: u64,
    },
    /// Fetch the server's run lists at once, without waiting for the long poll in flight.
    PollNow,
    /// Send a report to an entry, with the optional part behind it.
    Report(ConnectionKey, Report, Option<Neighbourhood>),
    /// Count the end of a run by what showed it.
    CountEnd(Evidence),
    /// Count a run that is stopped because of this verdict on its progress.
    CountStop(Verdict),
    /// Count an announcement that is not believed.
    CountDoubt(Doubt),
    /// Write a log line.
    WriteLog(LogLine),
}

type Claims = SmallVec<[Claim; 1]>;

/// Interval between two calls of [`Agent::handle_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State of one agent. Every method that changes it may record [`Action`]s.
#[derive(Debug)]
pub struct Agent {
    hello: AgentHello,
    safety: Safety,
    /// The backend server, `None` until it has answered as the incarnation that was announced.
    backend: Option<backend::Backend>,
    /// Announced incarnations that the server has neither confirmed nor refuted.
    claims: Claims,
    /// Data centres out of service, with the version of the catalogue that lists them.
    out_of_service: (u64, Vec<String>),
    connections: SlotMap<ConnectionKey, Connection>,
    runs: SlotMap<RunKey, Run>,
    /// Runs that were sent to the backend server, by start number. Queued runs are not among them.
    runs_by_start_number: BTreeMap<u64, RunKey>,
    unknown_runs: Vec<UnknownRun>,
    health: Health,
    recent_ends: RecentEnds,
    policy: Policy,
    /// Kinds of the tasks here, `None` while no entry asks for them.
    neighbours: Option<Neighbours>,
    /// Starts at the wall clock time in milliseconds, so that an agent that restarts fences off the
    /// process before.
    fencing_token: u64,
    last_start_number: u64,
    /// Whether the run lists have been read since this process or the server started. No task
    /// starts before, since runs of an earlier agent process may still occupy the server.
    has_read_run_lists: bool,
    is_draining: bool,
    /// Resources of the runs that the backend server may know of.
    reserved: Resources,
    /// When the next load reports are due, `None` if the load has not changed.
    load_reports_due_at: Option<Monotonic>,
    /// Mean CPU of the tasks received, in thousandths of a core; recent ones weigh more.
    mean_task_cpu: f64,
    actions: Vec<Action>,
}

impl Agent {
    /// Creates the agent of a VM, without a backend server and without connections.
    pub fn new(hello: AgentHello, safety: Safety, now: Now) -> Self {
        Self {
            hello,
            safety,
            backend: None,
            claims: Claims::new(),
            out_of_service: (0, Vec::new()),
            connections: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            runs_by_start_number: BTreeMap::new(),
            unknown_runs: Vec::new(),
            health: Health::default(),
            recent_ends: RecentEnds::default(),
            policy: Policy::default(),
            neighbours: None,
            fencing_token: now.wall.0,
            last_start_number: now.wall.0,
            has_read_run_lists: false,
            is_draining: false,
            reserved: Resources::default(),
            load_reports_due_at: None,
            mean_task_cpu: 0.0,
            actions: Vec::new(),
        }
    }

    /// Replaces the functions that judge runs.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self.health = self.health.with_outliers(policy.is_outlier);
        self
    }

    /// Returns how the agent introduces itself in the first message of a connection.
    pub fn hello(&self) -> &AgentHello {
        &self.hello
    }

    /// Returns the fencing token. The backend server refuses requests with a lower one, which come
    /// from earlier agent processes.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Takes the actions recorded since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of tasks that run or are queued.
    pub fn unfinished_run_count(&self) -> usize {
        self.runs.len()
    }

    /// Starts to drain: the agent accepts no new tasks and lets running ones finish.
    pub fn start_drain(&mut self, now: Now) {
        self.is_draining = true;
        self.schedule_load_reports(now.mono);
    }

    /// Returns the delay until [`Agent::handle_tick`] has load reports to send, `None` if none are
    /// due.
    pub fn report_due_in(&self, now: Monotonic) -> Option<Duration> {
        self.load_reports_due_at.map(|at| at.since(now))
    }

    /// Handles expired deadlines, then starts queued tasks and sends the reports that are due.
    pub fn handle_tick(&mut self, now: Now) {
        self.handle_expiries(now);
        self.start_queued_runs(now);
        self.send_due_reports(now.mono);
    }

    /// Stops or ends every run whose deadline has passed. Handlers that may start tasks or renew
    /// the lease call this first, so that a process that was suspended does not act on outdated
    /// state.
    fn handle_expiries(&mut self, now: Now) {
        self.stop_runs_of_silent_entries(now);
        self.end_runs_of_expired_lease(now);
        self.retry_stops(now);
    }

    fn log(&mut self, line: LogLine) {
        self.actions.push(Action::WriteLog(line));
    }

    /// Returns the capacity of the backend server that no run has reserved.
    fn free_resources(&self) -> Resources {
        self.backend
            .as_ref()
            .map_or_else(Resources::default, |backend| {
                backend.announced.profile().capacity.without(&self.reserved)
            })
    }

    /// Schedules load reports to all entries after a short delay, in which further changes are
    /// coalesced into the same reports.
    fn schedule_load_reports(&mut self, now: Monotonic) {
        const COALESCING_DELAY: Duration = Duration::from_millis(4);
        self.load_reports_due_at
            .get_or_insert(now.plus(COALESCING_DELAY));
    }
}
