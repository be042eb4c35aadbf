//! Decisions of an entry: one state machine that one thread drives.
//!
//! [`Entry::handle`] takes an event and the present time and appends the actions to carry out.

mod action;
mod control;
mod dispatch;
mod event;
mod fleet;
mod load;
pub mod operator;
mod outcome;
mod submit;
mod takeover;
mod trace;

use std::collections::{BTreeSet, HashMap};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::fair_queue::Queue;
use crate::job::Id;
use crate::lease::{EpochTracker, Lease};
use crate::limits::Limits;
use crate::placement::{Fleet, Policy};
use crate::settings::{Bounds, Timing};
use crate::skew::ClockOffsets;
use crate::time::{Monotonic, Now};

pub use action::{Action, Question};
pub use event::{Event, Origin, Waiter};
pub use submit::{Job, Key as JobKey, TaskState};
pub use takeover::Findings;
pub use trace::{Step, StepKind};

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
    takeover: EpochTracker,
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
    clocks: ClockOffsets,
    deadlines: BTreeSet<(Monotonic, JobKey)>,
    expiries: BTreeSet<(Monotonic, JobKey)>,
    heard: HashMap<String, Monotonic>,
    last_tick: Monotonic,
    last_beat: Monotonic,
    next_beat: Monotonic,
    next_read: Monotonic,
    asked_epoch: u64,
    leaving: bool,
    joined: bool,
    left: Option<Monotonic>,
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
            takeover: EpochTracker::new(),
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
            clocks: ClockOffsets::new(),
            deadlines: BTreeSet::new(),
            expiries: BTreeSet::new(),
            heard: HashMap::new(),
            last_tick: Monotonic(0),
            last_beat: Monotonic(0),
            next_beat: Monotonic(0),
            next_read: Monotonic(0),
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
            Event::Lapsed { below } => self.lapsed(below, now),
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
        self.row.epoch >= epoch && self.takeover.is_in_force(epoch)
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

    /// Returns the highest epoch below which no entry can hold a lease any more.
    pub fn lapsed_below(&self) -> u64 {
        self.takeover.lapsed_below(self.row.epoch)
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
