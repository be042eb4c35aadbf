//! Requests of operators: the status of the region, the catalogue, and changes.
//!
//! An entry proposes a change as one conditional write of the control row. Whether a write without
//! an answer took effect is seen by reading the row. The change is in force, and reported so, once
//! the leases of all earlier epochs have lapsed and this entry has the new catalogue.

mod progress;
mod service;
mod status;

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{Action, Entry};
use crate::catalogue::{Catalogue, File, Limits};
use crate::control::Row;
use crate::placement;
use crate::time::{Monotonic, Now};

pub use status::{Backend, DataCentre, Lease, Member, Status};

/// Number of an operator's request. The process chooses a new number for each request and finds
/// the open connection by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request of an operator.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Show the entry's view of the region.
    Status,
    /// Show the catalogue that the entry has adopted.
    Catalogue,
    /// Make a change, or show what it would change.
    Propose(Proposal),
}

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Id of the change, unique among all changes. A repeated request with the same id does not
    /// make the change twice.
    pub id: String,
    /// The change to make.
    pub edit: Edit,
    /// Whether to make the change even if it leaves kinds without a backend server, or names one
    /// that this entry does not know.
    pub force: bool,
    /// Whether to answer what would change without making the change.
    pub dry_run: bool,
    /// How long the operator waits until the change is in force.
    pub timeout: std::time::Duration,
}

/// The content of a change.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Merges the owners and kinds of a file into the catalogue.
    Put(File),
    /// Deletes a kind from the catalogue.
    DeleteKind(String),
    /// Takes a data centre out of service or brings it back.
    DataCentre {
        /// Name of the data centre.
        name: String,
        /// The new service state.
        state: ServiceState,
    },
    /// Takes a backend server out of service or brings it back.
    Backend {
        /// Name of the backend server, which is that of its agent.
        name: String,
        /// The new service state.
        state: ServiceState,
    },
}

/// Service state of a data centre or a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceState {
    /// In service: tasks may start there.
    In,
    /// Out of service: no task starts there.
    Out,
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The entry's view of the region.
    Status(Box<Status>),
    /// The catalogue and its version.
    Catalogue {
        /// Version of the catalogue.
        version: u64,
        /// The catalogue that the entry has adopted.
        catalogue: Catalogue,
    },
    /// The result of a proposed change.
    Outcome(ChangeOutcome),
}

/// The result of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// Id of the change.
    pub change: String,
    /// What the change alters, one line for each difference.
    pub changes: Vec<String>,
    /// How far the change came.
    #[serde(flatten)]
    pub end: ChangeResult,
}

/// How far a proposed change came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeResult {
    /// The change is in force: no entry can act on an earlier epoch any more.
    InForce {
        /// Epoch that the change made, or the current one if there was nothing to change.
        epoch: u64,
        /// Time since the operator's request, in milliseconds.
        after_ms: u64,
    },
    /// The change was rejected. Nothing was changed, and it never takes effect.
    NotAccepted {
        /// Why the change was rejected.
        reason: RejectionReason,
        /// What is wrong and what to do, for the operator.
        detail: String,
    },
    /// The change was written and will be in force, but the operator's timeout passed before all
    /// leases of earlier epochs had lapsed.
    Written {
        /// Epoch that the change made.
        epoch: u64,
        /// Names of the entries that have not confirmed the epoch.
        unconfirmed: Vec<String>,
    },
    /// The table service did not answer in time whether it made the write.
    Unsettled {
        /// What to do, for the operator.
        detail: String,
    },
    /// The change was only checked; nothing was changed.
    DryRun,
}

/// Why a proposed change was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RejectionReason {
    /// Another operator's change was written first.
    Conflict,
    /// The change names something unknown or would make the catalogue invalid.
    Invalid,
    /// The change would leave kinds without a backend server and was not forced.
    NeedsForce,
    /// The entry has no lease or is leaving.
    NoLease,
    /// The catalogue could not be read from or written to the table service.
    StoreUnavailable,
    /// Too many changes wait at this entry.
    Busy,
}

/// Most changes that wait at one entry.
const MAX_WAITING_CHANGES: usize = 256;

/// A change whose operator has no answer yet.
#[derive(Debug, Clone)]
struct PendingChange {
    request: RequestId,
    proposal: Proposal,
    asked_at: Monotonic,
    deadline: Monotonic,
    /// What the change alters, for the answer; empty until the change was checked.
    changes: Vec<String>,
}

/// A change that is being written to the table.
#[derive(Debug, Clone)]
struct WritingChange {
    pending: PendingChange,
    /// The part of the control row that the change was checked against.
    base: ChangeBase,
    stage: WriteStage,
}

/// The part of the control row that operators change. If another operator has changed it since a
/// change was checked, the change is rejected as a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ChangeBase {
    catalogue: u64,
    data_centres_out: BTreeSet<String>,
    backends_out: BTreeSet<String>,
}

/// The write of a change that has no answer yet. A change of the catalogue first writes the new
/// version of the catalogue, then the control row that names it.
#[derive(Debug, Clone)]
enum WriteStage {
    /// A new version of the catalogue is being written.
    Catalogue {
        version: u64,
        catalogue: Catalogue,
        next_write: Monotonic,
        retry_delay: std::time::Duration,
    },
    /// The control row is being written.
    Row {
        /// Version of the row that the write replaces.
        expect: u64,
        row: Row,
        next_write: Monotonic,
        retry_delay: std::time::Duration,
    },
}

/// A change that was written, as `epoch`, and is not known to be in force.
#[derive(Debug, Clone)]
struct ConfirmingChange {
    pending: PendingChange,
    epoch: u64,
}

/// Changes of operators at one entry, and what the entry needs to carry them out and to report
/// them.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    /// Changes that are not checked yet; they are written one at a time.
    waiting: VecDeque<PendingChange>,
    writing: Option<WritingChange>,
    confirming: Vec<ConfirmingChange>,
    /// Highest catalogue version that this entry has tried to write.
    last_tried_version: u64,
    /// When the catalogue that the control row names is read again, if it is still missing.
    next_catalogue_read: Monotonic,
    /// Highest epoch that each member has reported in heartbeat answers, by name.
    reported_epochs: HashMap<String, u64>,
    /// Service states that were last compared with the control row.
    last_services: Option<ChangeBase>,
    /// Connection and epoch at which each agent was last told to give back its unstarted tasks.
    recalled_at: HashMap<placement::AgentKey, (u64, u64)>,
    /// When each data centre or backend server came back into service, by name.
    returned_at: HashMap<String, Monotonic>,
}

impl State {
    pub(super) fn new() -> Self {
        Self::default()
    }
}

impl ChangeBase {
    fn of(row: &Row) -> Self {
        Self {
            catalogue: row.catalogue,
            data_centres_out: row.data_centres_out.clone(),
            backends_out: row.backends_out.clone(),
        }
    }
}

/// A change that was checked against the present state.
#[derive(Debug, Clone)]
struct PlannedChange {
    /// What the change alters, one line for each difference; empty if nothing.
    changes: Vec<String>,
    /// The new catalogue, if the change concerns it.
    catalogue: Option<Catalogue>,
}

/// The reason why a change is rejected, and the detail for the operator.
type Rejection = (RejectionReason, String);

impl Entry {
    /// Answers an operator's request, or queues the change that it proposes.
    pub(super) fn handle_operator_question(
        &mut self,
        request: RequestId,
        question: OperatorRequest,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let answer = match question {
            OperatorRequest::Status => Answer::Status(Box::new(self.status(now))),
            OperatorRequest::Catalogue => Answer::Catalogue {
                version: self.catalogue_version,
                catalogue: self.catalogue.clone(),
            },
            OperatorRequest::Propose(proposal) => {
                return self.queue_change(request, proposal, now, actions);
            }
        };
        actions.push(Action::AnswerOperator { request, answer });
    }

    /// Queues a proposed change, or rejects it if too many wait.
    fn queue_change(
        &mut self,
        request: RequestId,
        proposal: Proposal,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let pending = PendingChange {
            request,
            deadline: now.mono.plus(proposal.timeout),
            proposal,
            asked_at: now.mono,
            changes: Vec::new(),
        };
        if self.operator.waiting.len() >= MAX_WAITING_CHANGES {
            let detail = "too many changes wait at this entry; try again later".to_owned();
            return reject_change(&pending, (RejectionReason::Busy, detail), actions);
        }
        self.operator.waiting.push_back(pending);
    }

    /// Checks a change against the catalogue, the control row and the agents that this entry knows.
    fn plan_change(&self, proposal: &Proposal) -> Result<PlannedChange, Rejection> {
        match &proposal.edit {
            Edit::Put(file) => {
                let merged = self.catalogue.merged(&file.catalogue);
                let limits = Limits {
                    window: self.timing.retention_window,
                };
                let faults = file.errors_in_merged(&merged, limits);
                if !faults.is_empty() {
                    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                    return Err((RejectionReason::Invalid, lines.join("\n")));
                }
                Ok(self.plan_catalogue_change(merged))
            }
            Edit::DeleteKind(name) => {
                let remaining = self.catalogue.without_kind(name).ok_or_else(|| {
                    let detail = format!(
                        "the catalogue has no kind `{name}`; see `ibisspool catalogue list`"
                    );
                    (RejectionReason::Invalid, detail)
                })?;
                Ok(self.plan_catalogue_change(remaining))
            }
            Edit::DataCentre { name, state } => self.plan_data_centre(name, *state, proposal.force),
            Edit::Backend { name, state } => self.plan_backend(name, *state, proposal.force),
        }
    }

    fn plan_catalogue_change(&self, next: Catalogue) -> PlannedChange {
        PlannedChange {
            changes: self.catalogue.differences(&next),
            catalogue: Some(next),
        }
    }

    /// Returns the control row that makes a change. `version` is that of the new catalogue, if the
    /// change has one.
    fn changed_row(&self, proposal: &Proposal, version: Option<u64>, now: Now) -> Row {
        let mut row = self.row.with_operator_change(&proposal.id, now.wall);
        row.catalogue = version.unwrap_or(row.catalogue);
        match &proposal.edit {
            Edit::Put(_) | Edit::DeleteKind(_) => {}
            Edit::DataCentre { name, state } => {
                set_service_state(&mut row.data_centres_out, name, *state);
            }
            Edit::Backend { name, state } => {
                set_service_state(&mut row.backends_out, name, *state);
            }
        }
        row
    }
}

fn set_service_state(out_of_service: &mut BTreeSet<String>, name: &str, state: ServiceState) {
    match state {
        ServiceState::Out => {
            out_of_service.insert(name.to_owned());
        }
        ServiceState::In => {
            out_of_service.remove(name);
        }
    }
}

/// Answers the operator who proposed a change.
fn answer_change(pending: &PendingChange, end: ChangeResult, actions: &mut Vec<Action>) {
    let outcome = ChangeOutcome {
        change: pending.proposal.id.clone(),
        changes: pending.changes.clone(),
        end,
    };
    actions.push(Action::AnswerOperator {
        request: pending.request,
        answer: Answer::Outcome(outcome),
    });
}

/// Answers the operator who proposed a change that the change is rejected.
fn reject_change(pending: &PendingChange, rejection: Rejection, actions: &mut Vec<Action>) {
    let (reason, detail) = rejection;
    answer_change(
        pending,
        ChangeResult::NotAccepted { reason, detail },
        actions,
    );
}
