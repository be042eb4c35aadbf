//! Decisions of an entry: takes jobs, chooses agents for their tasks, answers the callers.
//!
//! Methods record [`Action`]s, which the edge carries out in order. Expiries are handled before
//! anything else, so that a process that was suspended acts on no outdated state.

mod admission;
mod agents;
mod dispatch;
mod estimate;
mod gossip;
mod jobs;
pub mod placement;
mod policy;
mod watch;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use super::catalogue::{Queue, Snapshot};
use super::job::{Id, Request};
use super::message::{DispatchId, Member, Order};
use super::note::LogLine;
use super::safety::Safety;
use crate::time::{Monotonic, Now};

pub use admission::{Backlog, admit};
pub use estimate::Estimates;
pub use gossip::{Peer, gossip_pause};
pub use policy::Policy;
pub use watch::WATCHED;

use agents::Agent;
use dispatch::Rank;

/// Factor on the run time of a task away from its data, if the deployment does not say.
pub const FAR: f64 = 1.5;

/// Time after a pause until all connections were looked at: two rounds of [`Entry::tick`].
const SETTLE: Duration = Duration::from_millis(40);

new_key_type! {
    /// A job whose caller waits.
    pub struct JobKey;
    /// Connection to an agent.
    pub struct LinkKey;
    /// A task of a job.
    pub struct TaskKey;
}

/// Why a job was turned away before any of its tasks ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No catalogue is known yet.
    NoCatalogue,
    /// The backlog leaves no time for it.
    Overloaded,
    /// It waited and its time has run out.
    WaitedTooLong,
    /// No backend server of the service can run it.
    NoBackend,
    /// It asks for something that this entry does not offer.
    Unsupported,
    /// The entry is being stopped.
    Stopping,
}

/// The answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Nothing of the job has run or will run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// Its time is over; something of it may have run.
    Expired,
}

/// What the edge has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer the caller of a job.
    Answer(JobKey, Answer),
    /// Send an order to an agent.
    Order(LinkKey, Order),
    /// Count a task that is sent again, by the reason.
    Retried(&'static str),
    /// Write a log line.
    Note(LogLine),
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    /// An earlier step has to end first.
    Blocked,
    /// Waits for an agent.
    Waiting(Rank),
    /// An agent has it.
    Sent { link: LinkKey, ticket: DispatchId },
    /// The connection of its agent was lost; it may still run there until then.
    Orphan { agent: u32, until: Monotonic },
    /// It has ended well.
    Done,
}

#[derive(Debug)]
struct Task {
    job: JobKey,
    step: u16,
    index: u32,
    place: Place,
    /// Runs that have failed.
    failures: u32,
    /// Agents, by number, on which it failed or got lost.
    tried: SmallVec<[u32; 4]>,
}

#[derive(Debug)]
struct Job {
    id: Id,
    queue: Queue,
    request: Request,
    tasks: Vec<TaskKey>,
    left: usize,
    arrived: Monotonic,
    /// Answered at the latest then.
    deadline: Monotonic,
    /// Whether a task has been sent to an agent.
    offered: bool,
    /// Whether a task may have run.
    started: bool,
}

/// The decisions and all state of one entry.
#[derive(Debug)]
pub struct Entry {
    safety: Safety,
    catalogue: Option<Arc<Snapshot>>,
    /// The entries known, this one first; it only grows.
    members: Vec<Member>,
    jobs: SlotMap<JobKey, Job>,
    tasks: SlotMap<TaskKey, Task>,
    sent: HashMap<DispatchId, TaskKey>,
    last_ticket: u64,
    agents: SlotMap<LinkKey, Agent>,
    /// Numbers of agents by name, so that tasks remember where they failed.
    numbers: HashMap<String, u32>,
    waiting: BTreeSet<(Rank, TaskKey)>,
    estimates: Estimates,
    /// Mean run time on all servers against the estimates.
    usual_pace: f64,
    /// Factor on the run time of a task away from its data.
    far: f64,
    policy: Policy,
    /// Most agents of a service that report often without being in use.
    watched: usize,
    /// When it is next chosen which agents rest.
    watch_due: Monotonic,
    random: SmallRng,
    /// When the last event was handled.
    handled: Monotonic,
    /// Nothing is sent before then.
    settled: Monotonic,
    /// Set by a planned stop: when each job has to be answered.
    stopping: Option<Monotonic>,
    actions: Vec<Action>,
}

impl Entry {
    /// Makes an entry that knows no agent and no catalogue.
    pub fn new(me: Member, safety: Safety, seed: u64) -> Self {
        Self {
            safety,
            catalogue: None,
            members: vec![me],
            jobs: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            sent: HashMap::new(),
            last_ticket: 0,
            agents: SlotMap::with_key(),
            numbers: HashMap::new(),
            waiting: BTreeSet::new(),
            estimates: Estimates::default(),
            usual_pace: 1.0,
            far: FAR,
            policy: Policy::default(),
            watched: WATCHED,
            watch_due: Monotonic(0),
            random: SmallRng::seed_from_u64(seed),
            handled: Monotonic(0),
            settled: Monotonic(0),
            stopping: None,
            actions: Vec::new(),
        }
    }

    /// Sets the factor on the run time of a task away from its data.
    #[must_use]
    pub fn with_far(mut self, far: f64) -> Self {
        self.far = far;
        self
    }

    /// Sets how agents are chosen and jobs taken on.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets how many agents of a service report often without being in use.
    #[must_use]
    pub fn with_watched(mut self, watched: usize) -> Self {
        self.watched = watched;
        self
    }

    /// Takes the actions recorded since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the catalogue in force here.
    pub fn catalogue(&self) -> Option<&Arc<Snapshot>> {
        self.catalogue.as_ref()
    }

    /// Takes a catalogue into force unless it is older than the one known.
    pub fn set_catalogue(&mut self, catalogue: Arc<Snapshot>, source: &'static str, now: Now) {
        self.expire(now);
        let known = self.catalogue.as_ref().map_or(0, |known| known.version);
        if catalogue.version <= known {
            return;
        }
        let note = LogLine::new("A catalogue is in force.")
            .with("version", catalogue.version)
            .with("previous", known)
            .with("queues", catalogue.queues.len())
            .with("out_of_service", catalogue.out_of_service.join(","))
            .with("source", source);
        self.note(note);
        self.catalogue = Some(catalogue);
        self.dispatch(now);
    }

    /// Returns the entries known, this one first.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Notes other entries; returns whether one was new.
    pub fn learn_members(&mut self, members: &[Member]) -> bool {
        let before = self.members.len();
        for member in members {
            if !self.members.contains(member) {
                let note = LogLine::new("Learned of an entry.")
                    .with("entry", &member.name)
                    .with("address", member.address);
                self.note(note);
                self.members.push(member.clone());
            }
        }
        self.members.len() > before
    }

    /// Returns whether callers are served: a catalogue is known, and a backend server whose agent was
    /// heard lately. An entry that is cut off says so at once, and callers find another one.
    pub fn is_ready(&self, now: Monotonic) -> bool {
        let knows = |agent: &Agent| agent.server.is_some() && self.is_fresh(agent, now);
        let serves = self.agents.values().any(knows);
        self.stopping.is_none() && self.catalogue.is_some() && serves
    }

    /// Starts the planned stop: callers on open connections go on, and every job is answered by
    /// `until`.
    pub fn stop(&mut self, until: Monotonic) {
        self.stopping = Some(until);
        for job in self.jobs.values_mut() {
            job.deadline = job.deadline.min(until);
        }
    }

    /// Returns the number of jobs whose callers wait.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue of which nothing was sent to an agent.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let waits = |job: &&Job| !job.offered && &*job.queue.name == queue;
        self.jobs.values().filter(waits).count()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Now) {
        self.expire(now);
        self.dispatch(now);
        self.renew_agents(now.mono);
        self.choose_watched(now.mono);
    }

    fn expire(&mut self, now: Now) {
        self.notice_pause(now.mono);
        self.expire_jobs(now);
        self.expire_orphans(now);
    }

    /// Notices that the process stood still. Callers may have left meanwhile and have their jobs run
    /// by another entry, so nothing is sent before all connections were looked at. That takes a
    /// pause of at least the delay of a resubmission; half of it is on the safe side.
    fn notice_pause(&mut self, now: Monotonic) {
        let pause = now.since(self.handled);
        self.handled = self.handled.max(now);
        if pause >= self.safety.resubmit_delay / 2 {
            self.settled = now.plus(SETTLE);
            let note = LogLine::warn("Goes on after a pause.")
                .with("pause_ms", pause.as_millis())
                .with("jobs", self.jobs.len());
            self.note(note);
        }
    }

    fn note(&mut self, note: LogLine) {
        self.actions.push(Action::Note(note));
    }
}
