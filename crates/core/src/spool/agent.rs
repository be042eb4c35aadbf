//! Decisions of an agent: the only caller of its backend server.
//!
//! Capacity, starts, holds, stops and ends of one server are decided here and need no agreement
//! with anybody. Methods record [`Action`]s, which the edge carries out in order.

mod backend;
mod health;
mod lists;
mod order;
mod queue;
mod report;
mod run;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::job::{Resources, TaskName};
use super::message::{AgentHello, Report};
use super::note::Note;
use super::safety::Safety;
use crate::time::{Mono, Now};

pub use backend::{Announcement, Hold, StartAnswer};
pub use health::{Health, Verdict};
pub use lists::{Ended, Listing, Running};
pub use run::{Phase, Run};

use report::Link;
use run::Stray;

new_key_type! {
    /// Connection to an entry.
    pub struct LinkKey;
    /// A task that an entry has sent.
    pub struct RunKey;
}

/// What the edge has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the backend server to start a task.
    Start {
        /// The run.
        key: RunKey,
        /// Name of the task.
        name: TaskName,
        /// Number of the start, higher than any before.
        number: u64,
        /// What the server gets.
        spec: std::sync::Arc<str>,
        /// End of the lease on the server's clock, in milliseconds.
        until: u64,
        /// Token that fences off earlier agents.
        token: u64,
        /// Incarnation of the server that it is meant for.
        incarnation: std::sync::Arc<str>,
    },
    /// Ask the backend server to stop a run; the answer goes to [`Agent::stop_answer`].
    Stop {
        /// Name of the task.
        name: TaskName,
        /// Number of the start.
        number: u64,
        /// Token that fences off earlier agents.
        token: u64,
    },
    /// Ask for the lists at once, beside the running hold.
    Probe,
    /// Send a report to an entry.
    Report(LinkKey, Report),
    /// Write a log line.
    Note(Note),
}

/// Time between two rounds of [`Agent::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// The decisions and all state of one agent.
#[derive(Debug)]
pub struct Agent {
    hello: AgentHello,
    safety: Safety,
    backend: Option<backend::Backend>,
    /// Announced service and state of the data centre.
    out_of_service: (u64, Vec<String>),
    links: SlotMap<LinkKey, Link>,
    runs: SlotMap<RunKey, Run>,
    by_number: BTreeMap<u64, RunKey>,
    strays: Vec<Stray>,
    health: Health,
    token: u64,
    last_number: u64,
    /// Whether the lists have been read since this process or the server started.
    swept: bool,
    stopping: bool,
    reserved: Resources,
    report_all_at: Option<Mono>,
    actions: Vec<Action>,
}

impl Agent {
    /// Makes the agent of a VM.
    pub fn new(hello: AgentHello, safety: Safety, now: Now) -> Self {
        Self {
            hello,
            safety,
            backend: None,
            out_of_service: (0, Vec::new()),
            links: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            by_number: BTreeMap::new(),
            strays: Vec::new(),
            health: Health::default(),
            token: now.wall.0,
            last_number: now.wall.0,
            swept: false,
            stopping: false,
            reserved: Resources::default(),
            report_all_at: None,
            actions: Vec::new(),
        }
    }

    /// Returns what the first message of a connection says.
    pub fn hello(&self) -> &AgentHello {
        &self.hello
    }

    /// Returns the token that fences off earlier agents of this server.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Takes the actions recorded since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of tasks that run or wait.
    pub fn busy(&self) -> usize {
        self.runs.len()
    }

    /// Starts the planned stop: nothing new is taken, what runs may end.
    pub fn stop(&mut self, now: Now) {
        self.stopping = true;
        self.report_all(now.mono);
    }

    /// Returns after which delay gathered changes are due to be reported.
    pub fn report_due_in(&self, now: Mono) -> Option<Duration> {
        self.report_all_at.map(|at| at.since(now))
    }

    /// Does what is due: expiries first, then starts and reports.
    pub fn tick(&mut self, now: Now) {
        self.expire(now);
        self.start_queued(now);
        self.report_due(now.mono);
    }

    /// Ends whatever may not go on, before anything else is decided.
    fn expire(&mut self, now: Now) {
        self.expire_links(now);
        self.expire_backend(now);
        self.repeat_stops(now);
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Returns the room for new tasks.
    fn free(&self) -> Resources {
        self.backend
            .as_ref()
            .map_or_else(Resources::default, |backend| {
                backend.capacity.without(&self.reserved)
            })
    }

    /// Tells all entries about the load soon: further changes within the pause go along.
    fn report_all(&mut self, now: Mono) {
        /// Pause in which changes are gathered into one report.
        const GATHER: Duration = Duration::from_millis(4);
        self.report_all_at.get_or_insert(now.plus(GATHER));
    }
}
