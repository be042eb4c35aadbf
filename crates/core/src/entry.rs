//! Decisions of an entry: one state machine that one thread drives.
//!
//! [`Entry::handle`] takes an event and the present time and appends the actions to carry out.

mod control;
mod dispatch;
mod fleet;
mod load;
pub mod operator;
mod outcome;
mod submit;
mod takeover;
mod trace;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::fair_queue::Queue;
use crate::frame::{Order, Report};
use crate::job::{Answer, Id, Spec};
use crate::lease::{Lease, Takeover};
use crate::limits::Limits;
use crate::placement::{Fleet, Policy};
use crate::refusal::Retry;
use crate::settings::{Bounds, Timing};
use crate::skew::Clocks;
use crate::time::{Mono, Now};

pub use submit::{Job, Key as JobKey, TaskState};
pub use takeover::Findings;
pub use trace::{Step, StepKind};

/// A caller that waits for an answer; the edge that took the request chose the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// Where a submission comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// From a caller who made the id.
    Caller,
    /// From a caller who leaves the id to this entry; the id in the job is replaced.
    NewId,
    /// From another entry; it is not forwarded again.
    Forwarded,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller or another entry submits a job.
    Submit {
        /// Who waits for the answer.
        waiter: Waiter,
        /// The job.
        spec: Spec,
        /// Where it comes from.
        origin: Origin,
    },
    /// A caller asks for the answer of a job.
    Get {
        /// Who waits for the answer.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// Whether another entry forwarded the question.
        forwarded: bool,
    },
    /// A caller cancels a job.
    Cancel {
        /// Who waits for the answer.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// Whether another entry forwarded the question.
        forwarded: bool,
    },
    /// A caller asks what happened to a job.
    Trace {
        /// Who waits for the answer.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// Whether another entry forwarded the question.
        forwarded: bool,
    },
    /// A forwarded question was answered, and the edge passed the answer on.
    ForwardAnswered {
        /// Who waited for the answer.
        waiter: Waiter,
    },
    /// A forwarded question was not answered.
    ForwardLost {
        /// Who waits for the answer.
        waiter: Waiter,
    },
    /// An agent reported over a connection.
    Reported {
        /// Number of the connection, never used twice.
        link: u64,
        /// The report.
        report: Report,
    },
    /// A connection of an agent closed.
    Detached {
        /// Number of the connection.
        link: u64,
    },
    /// A heartbeat of another entry arrived.
    Beat {
        /// Who waits for the answer.
        waiter: Waiter,
        /// Epoch of the sender.
        epoch: u64,
    },
    /// Another entry answered a heartbeat.
    BeatAnswered {
        /// The entry and incarnation that was asked.
        member: Member,
        /// Its epoch.
        epoch: u64,
        /// When the heartbeat was sent.
        sent: Mono,
    },
    /// Another entry asks whether this one has a record of a job.
    Inquired {
        /// Who waits for the answer.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// Epoch of the sender.
        epoch: u64,
    },
    /// Another entry said whether it has a record of a job.
    InquiryAnswered {
        /// The entry and incarnation that was asked.
        member: Member,
        /// The job.
        id: Id,
        /// What it said.
        findings: Findings,
    },
    /// Another entry did not say whether it has a record of a job.
    InquiryLost {
        /// The entry and incarnation that was asked.
        member: Member,
        /// The job.
        id: Id,
    },
    /// A heartbeat's answer showed the wall clock of another entry.
    ClockCompared {
        /// The entry and incarnation that answered.
        member: Member,
        /// How far its clock is ahead of this entry's, in milliseconds.
        ahead_ms: i64,
        /// How far off that may be.
        error: Duration,
    },
    /// The control row was read.
    RowRead {
        /// When the read was sent.
        sent: Mono,
        /// Version of the row in the table; 0 if there is none.
        version: u64,
        /// The row.
        row: Row,
    },
    /// A write of the row found another version.
    RowConflict,
    /// The catalogue of a version was read.
    CatalogueRead {
        /// Its version.
        version: u64,
        /// Its entries.
        catalogue: Catalogue,
    },
    /// An operator asks for a change or a view.
    Operate {
        /// Number of the operator's request, chosen by the edge.
        request: operator::Request,
        /// What is asked.
        question: operator::Question,
    },
    /// The catalogue of a version was written.
    CatalogueWritten {
        /// Its version.
        version: u64,
    },
    /// The catalogue of a version exists already; another operator's change wrote it.
    CatalogueTaken {
        /// The version.
        version: u64,
    },
    /// The process was asked to stop.
    Stop,
    /// Time passed.
    Tick,
}

/// Something to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a caller with the end of a job.
    Answer {
        /// Who waits.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// Its end.
        answer: Answer,
    },
    /// Answer a caller with what happened to a job.
    Traced {
        /// Who waits.
        waiter: Waiter,
        /// The job.
        id: Id,
        /// The steps, oldest first.
        steps: Vec<Step>,
    },
    /// Pass a caller's request on to the job's coordinator.
    Forward {
        /// Who waits.
        waiter: Waiter,
        /// The coordinator.
        to: Member,
        /// What to pass on.
        question: Question,
    },
    /// Send an order to an agent.
    Order {
        /// Number of the connection.
        link: u64,
        /// The order.
        order: Order,
    },
    /// Tell another entry that it is not the coordinator who got its question.
    Misdirected {
        /// Who waits.
        waiter: Waiter,
    },
    /// Answer a heartbeat.
    AnswerBeat {
        /// Who waits.
        waiter: Waiter,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Send a heartbeat to another entry.
    Beat {
        /// The entry.
        to: Member,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Ask another entry whether it has a record of a job.
    Inquire {
        /// The entry.
        to: Member,
        /// The job.
        id: Id,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Tell another entry whether this one has a record of a job.
    AnswerInquiry {
        /// Who waits.
        waiter: Waiter,
        /// What this entry knows.
        findings: Findings,
    },
    /// Report that the wall clock went out of agreement with those of the other entries, which
    /// costs the lease, or came back.
    ClockApart {
        /// Whether it is out of agreement.
        apart: bool,
    },
    /// Read the control row.
    ReadRow,
    /// Write the control row if its version is still `expect`.
    WriteRow {
        /// Version that the write replaces; 0 if there is no row yet.
        expect: u64,
        /// The new row.
        row: Row,
    },
    /// Read the catalogue of a version.
    ReadCatalogue {
        /// The version.
        version: u64,
    },
    /// Write the catalogue of a version that must not exist yet.
    WriteCatalogue {
        /// The version.
        version: u64,
        /// Its entries.
        catalogue: Catalogue,
    },
    /// Answer an operator.
    Tell {
        /// Number of the operator's request.
        request: operator::Request,
        /// The answer.
        answer: operator::Answer,
    },
    /// Count a task that is dispatched again.
    Retried(Retry),
}

/// A caller's request to the coordinator of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Submit or join a job.
    Submit(Spec),
    /// Wait for the end of a job.
    Get(Id),
    /// Cancel a job.
    Cancel(Id),
    /// Tell what happened to a job.
    Trace(Id),
}

impl Question {
    /// Returns the job that the question is about.
    pub fn id(&self) -> Id {
        match self {
            Self::Submit(spec) => spec.id,
            Self::Get(id) | Self::Cancel(id) | Self::Trace(id) => *id,
        }
    }
}

/// State of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    me: Member,
    timing: Timing,
    bounds: Bounds,
    rng: SmallRng,
    row: Row,
    row_version: u64,
    lease: Lease,
    takeover: Takeover,
    catalogue: Catalogue,
    catalogue_version: u64,
    fleet: Fleet,
    policy: Policy,
    links: HashMap<u64, crate::placement::Key>,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<Id, JobKey>,
    queue: Queue<JobKey>,
    limits: Limits,
    forwards: HashMap<Waiter, Question>,
    parked: Vec<control::Parked>,
    inquiries: HashMap<Id, takeover::Inquiry>,
    in_force: takeover::InForce,
    clocks: Clocks,
    deadlines: BTreeSet<(Mono, JobKey)>,
    expiries: BTreeSet<(Mono, JobKey)>,
    heard: HashMap<String, Mono>,
    last_tick: Mono,
    last_beat: Mono,
    next_beat: Mono,
    next_read: Mono,
    asked_epoch: u64,
    leaving: bool,
    joined: bool,
    left: Option<Mono>,
    released: bool,
    operator: operator::State,
}

impl Entry {
    /// Makes an entry that has not read the control row yet.
    pub fn new(me: Member, timing: Timing, bounds: Bounds, seed: u64) -> Self {
        Self {
            me,
            timing,
            bounds,
            rng: SmallRng::seed_from_u64(seed),
            row: Row::default(),
            row_version: 0,
            lease: Lease::new(),
            takeover: Takeover::new(),
            catalogue: Catalogue::default(),
            catalogue_version: 0,
            fleet: Fleet::new(),
            policy: Policy::default(),
            links: HashMap::new(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            queue: Queue::new(),
            limits: Limits::new(),
            forwards: HashMap::new(),
            parked: Vec::new(),
            inquiries: HashMap::new(),
            in_force: takeover::InForce::new(),
            clocks: Clocks::new(),
            deadlines: BTreeSet::new(),
            expiries: BTreeSet::new(),
            heard: HashMap::new(),
            last_tick: Mono(0),
            last_beat: Mono(0),
            next_beat: Mono(0),
            next_read: Mono(0),
            asked_epoch: 0,
            leaving: false,
            joined: false,
            left: None,
            released: false,
            operator: operator::State::new(),
        }
    }

    /// Sets the policy by which agents are chosen.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Now, actions: &mut Vec<Action>) {
        match event {
            Event::Submit {
                waiter,
                spec,
                origin,
            } => {
                self.submit(waiter, spec, origin, now, actions);
            }
            Event::Get {
                waiter,
                id,
                forwarded,
            } => {
                self.ask(waiter, Question::Get(id), forwarded, now, actions);
            }
            Event::Cancel {
                waiter,
                id,
                forwarded,
            } => {
                self.ask(waiter, Question::Cancel(id), forwarded, now, actions);
            }
            Event::Trace {
                waiter,
                id,
                forwarded,
            } => {
                self.ask(waiter, Question::Trace(id), forwarded, now, actions);
            }
            Event::ForwardAnswered { waiter } => {
                self.forwards.remove(&waiter);
            }
            Event::ForwardLost { waiter } => self.forward_lost(waiter, now, actions),
            Event::Reported { link, report } => self.reported(link, report, now, actions),
            Event::Detached { link } => self.detached(link, now),
            Event::Beat { waiter, epoch } => {
                self.hear_epoch(epoch, now, actions);
                actions.push(Action::AnswerBeat {
                    waiter,
                    epoch: self.row.epoch,
                });
            }
            Event::BeatAnswered {
                member,
                epoch,
                sent,
            } => {
                self.note_epoch(&member, epoch);
                self.beat_answered(&member, epoch, sent, now, actions);
            }
            Event::Inquired { waiter, id, epoch } => {
                self.inquired(waiter, &id, epoch, now, actions);
            }
            Event::InquiryAnswered {
                member,
                id,
                findings,
            } => {
                self.inquiry_answered(&member, &id, findings, now, actions);
                self.retry_parked(now, actions);
            }
            Event::InquiryLost { member, id } => {
                self.inquiry_lost(&member, &id, now);
                self.retry_parked(now, actions);
            }
            Event::ClockCompared {
                member,
                ahead_ms,
                error,
            } => {
                self.clocks
                    .record(&member.name, ahead_ms, error, &self.timing, now.mono);
                self.compare_clocks(now, actions);
            }
            Event::RowRead { sent, version, row } => {
                self.row_read(sent, version, row, now, actions);
                self.services_changed(now, actions);
            }
            Event::RowConflict => actions.push(Action::ReadRow),
            Event::CatalogueRead { version, catalogue } => {
                self.catalogue_found(version, &catalogue, now, actions);
                self.catalogue_read(version, catalogue);
            }
            Event::Operate { request, question } => {
                self.operate(request, question, now, actions);
            }
            Event::CatalogueWritten { version } => {
                self.catalogue_written(version, now, actions);
            }
            Event::CatalogueTaken { version } => self.catalogue_taken(version, now, actions),
            Event::Stop => self.stop(now, actions),
            Event::Tick => self.tick(now, actions),
        }
        self.advance_changes(now, actions);
        self.dispatch(now, actions);
        self.acknowledge(actions);
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.tick_control(now, actions);
        self.tick_fleet(now, actions);
        self.recall_from_out_of_service(actions);
        self.read_catalogue_again(now, actions);
        self.tick_jobs(now, actions);
    }

    /// Returns the epoch of this entry.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns whether this entry is at `epoch` or later and no entry can hold a lease of an
    /// earlier epoch than `epoch`.
    pub fn is_in_force(&self, epoch: u64) -> bool {
        self.row.epoch >= epoch && self.takeover.in_force(epoch)
    }

    /// Returns whether this entry may decide, takes new work and knows the catalogue in force.
    pub fn is_ready(&self, now: Now) -> bool {
        !self.leaving
            && !self.hands_over()
            && self.may_decide(now)
            && self.catalogue_version == self.row.catalogue
    }

    /// Returns whether a leaving entry has nothing left to finish, and its successors have had
    /// the time to ask it about the ids that they took over.
    pub fn is_drained(&self) -> bool {
        self.released && self.forwards.is_empty() && self.jobs.values().all(Job::is_ended)
    }

    /// Returns the control row that this entry has adopted.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns the catalogue that this entry has adopted.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the agents that this entry knows.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
