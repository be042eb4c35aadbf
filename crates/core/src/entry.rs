//! The decision logic of an entry, as a state machine without I/O.
//!
//! An entry is a server that accepts jobs from callers. The entries of a region share one control
//! row in a table service. The row lists the entries as members, and each change to the row
//! increments its epoch. Rendezvous hashing over the members gives every job id one coordinator:
//! the entry that keeps the job's record and dispatches its tasks to agents, each of which runs
//! tasks on one backend server.
//!
//! [`Entry::handle`] takes an event and the current time and appends the actions that the caller
//! has to carry out. One thread drives each [`Entry`].

mod action;
mod dispatch;
mod event;
mod fleet;
mod load;
mod membership;
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

pub use action::{Action, JobRequest};
pub use event::{Event, Origin, WaiterId};
pub use submit::{JobKey, JobRecord, TaskState};
pub use takeover::Findings;
pub use trace::{Step, StepKind};

/// The state machine of one entry process.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The member that this process is or wants to become.
    me: Member,
    timing: Timing,
    bounds: Bounds,
    rng: SmallRng,
    /// The control row with the highest epoch that this entry has read.
    row: Row,
    /// Version of `row` in the table, which a conditional write must name.
    row_version: u64,
    lease: Lease,
    /// Earlier epochs whose leases other entries may still hold.
    takeover: EpochTracker,
    catalogue: Catalogue,
    /// Version of `catalogue`. The version that `row` names may be newer until it has been read.
    catalogue_version: u64,
    /// The agents that have reported to this entry.
    fleet: Fleet,
    policy: Policy,
    /// The agent at the other end of each open connection.
    agent_by_link: HashMap<u64, crate::placement::AgentKey>,
    /// Records of the jobs that this entry coordinates, tombstones included.
    jobs: SlotMap<JobKey, JobRecord>,
    key_by_job_id: HashMap<Id, JobKey>,
    /// Tasks that wait for an agent.
    queue: Queue<JobKey>,
    limits: Limits,
    /// Requests that were forwarded to another entry and are not answered yet.
    forwarded_requests: HashMap<WaiterId, JobRequest>,
    /// Requests that cannot be answered yet and are retried.
    parked_requests: Vec<membership::ParkedRequest>,
    /// Answers of previous coordinators about ids that this entry has no record of.
    inquiries: HashMap<Id, takeover::Inquiry>,
    leases_lapsed_at: takeover::LapseTimes,
    clocks: ClockOffsets,
    /// When each unfinished job times out.
    deadlines: BTreeSet<(Monotonic, JobKey)>,
    /// When the record of each finished job is dropped.
    record_expiries: BTreeSet<(Monotonic, JobKey)>,
    /// When each member last answered a heartbeat, by name.
    last_heard: HashMap<String, Monotonic>,
    last_tick: Monotonic,
    last_heartbeat: Monotonic,
    next_heartbeat: Monotonic,
    next_row_read: Monotonic,
    /// Highest epoch for which an extra read of the control row was requested.
    requested_epoch: u64,
    /// Whether this entry was asked to stop or was replaced by another process of its name.
    leaving: bool,
    /// Whether this process has been a member at any time.
    joined: bool,
    /// When this entry, while leaving, first found itself removed from the members.
    left_at: Option<Monotonic>,
    /// Whether this entry has stayed reachable long enough after it left the members.
    has_lingered: bool,
    operator: operator::State,
}

impl Entry {
    /// Creates an entry that has not read the control row yet. `seed` seeds its random choices,
    /// so that a simulation can be repeated.
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
            agent_by_link: HashMap::new(),
            jobs: SlotMap::with_key(),
            key_by_job_id: HashMap::new(),
            queue: Queue::new(),
            limits: Limits::new(),
            forwarded_requests: HashMap::new(),
            parked_requests: Vec::new(),
            inquiries: HashMap::new(),
            leases_lapsed_at: takeover::LapseTimes::new(),
            clocks: ClockOffsets::new(),
            deadlines: BTreeSet::new(),
            record_expiries: BTreeSet::new(),
            last_heard: HashMap::new(),
            last_tick: Monotonic(0),
            last_heartbeat: Monotonic(0),
            next_heartbeat: Monotonic(0),
            next_row_read: Monotonic(0),
            requested_epoch: 0,
            leaving: false,
            joined: false,
            left_at: None,
            has_lingered: false,
            operator: operator::State::new(),
        }
    }

    /// Sets the policy for choosing an agent for a task.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Handles one event: updates the state and appends the resulting actions to `actions`.
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
                self.route_request(waiter, JobRequest::Get(id), forwarded, now, actions);
            }
            Event::Cancel {
                waiter,
                id,
                forwarded,
            } => {
                self.route_request(waiter, JobRequest::Cancel(id), forwarded, now, actions);
            }
            Event::Trace {
                waiter,
                id,
                forwarded,
            } => {
                self.route_request(waiter, JobRequest::Trace(id), forwarded, now, actions);
            }
            Event::ForwardAnswered { waiter } => {
                self.forwarded_requests.remove(&waiter);
            }
            Event::ForwardFailed { waiter } => self.handle_lost_forward(waiter, now, actions),
            Event::ReportReceived { link, report } => {
                self.handle_report(link, report, now, actions);
            }
            Event::AgentDisconnected { link } => self.handle_disconnect(link, now),
            Event::HeartbeatReceived { waiter, epoch } => {
                self.read_row_if_behind(epoch, now, actions);
                actions.push(Action::AnswerHeartbeat {
                    waiter,
                    epoch: self.row.epoch,
                });
            }
            Event::HeartbeatAnswered {
                member,
                epoch,
                sent,
            } => {
                self.record_member_epoch(&member, epoch);
                self.handle_heartbeat_answer(&member, epoch, sent, now, actions);
            }
            Event::InquiryReceived { waiter, id, epoch } => {
                self.answer_inquiry(waiter, &id, epoch, now, actions);
            }
            Event::InquiryAnswered {
                member,
                id,
                findings,
            } => {
                self.handle_inquiry_answer(&member, &id, findings, now, actions);
                self.retry_parked_requests(now, actions);
            }
            Event::InquiryFailed { member, id } => {
                self.handle_inquiry_loss(&member, &id, now);
                self.retry_parked_requests(now, actions);
            }
            Event::ClockCompared {
                member,
                ahead_ms,
                error,
            } => {
                self.clocks
                    .record(&member.name, ahead_ms, error, &self.timing, now.mono);
                self.update_clock_agreement(now, actions);
            }
            Event::EarlierLeasesLapsed { below } => self.learn_lapsed_epochs(below, now),
            Event::RowRead { sent, version, row } => {
                self.handle_row(sent, version, row, now, actions);
                self.apply_service_changes(now, actions);
            }
            Event::RowWriteConflict => actions.push(Action::ReadRow),
            Event::CatalogueRead { version, catalogue } => {
                self.resolve_catalogue_write(version, &catalogue, now, actions);
                self.adopt_catalogue(version, catalogue);
            }
            Event::OperatorRequested { request, question } => {
                self.handle_operator_question(request, question, now, actions);
            }
            Event::CatalogueWritten { version } => self.proceed_to_row_write(version, now, actions),
            Event::CatalogueVersionExists { version } => {
                self.skip_catalogue_version(version, now, actions);
            }
            Event::Shutdown => self.begin_leaving(now, actions),
            Event::Tick => self.handle_tick(now, actions),
        }
        self.advance_changes(now, actions);
        self.dispatch_queued(now, actions);
        self.add_acknowledgements(actions);
    }

    fn handle_tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.tick_membership(now, actions);
        self.tick_fleet(now, actions);
        self.recall_out_of_service_tasks(actions);
        self.retry_catalogue_read(now, actions);
        self.tick_jobs(now, actions);
    }

    /// Returns the epoch of the control row that this entry has adopted. It never decreases.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns whether this entry has adopted `epoch` or a later one and no entry can hold a lease
    /// of an epoch before `epoch` any more.
    pub fn is_in_force(&self, epoch: u64) -> bool {
        self.row.epoch >= epoch && self.takeover.is_in_force(epoch)
    }

    /// Returns whether this entry should get new requests: it holds a lease, has the current
    /// catalogue, is not leaving and its callers need not go to another data centre.
    pub fn is_ready(&self, now: Now) -> bool {
        !self.leaving
            && !self.is_handing_over()
            && self.has_valid_lease(now)
            && self.catalogue_version == self.row.catalogue
    }

    /// Returns whether a leaving entry may exit: all its jobs and forwarded requests are finished,
    /// and the new coordinators of its ids have had time to ask it for its records.
    pub fn is_drained(&self) -> bool {
        self.has_lingered
            && self.forwarded_requests.is_empty()
            && self.jobs.values().all(JobRecord::is_ended)
    }

    /// Returns the highest epoch for which this entry knows that all leases of earlier epochs have
    /// lapsed. Heartbeat answers carry it to the other entries.
    pub fn leases_lapsed_below(&self) -> u64 {
        self.takeover.lapsed_below(self.row.epoch)
    }

    /// Returns the control row that this entry has adopted; its epoch is 0 before the first read.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns the catalogue that this entry has adopted, which may be older than the one that the
    /// control row names.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the agents that have reported to this entry and are not given up as lost.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
