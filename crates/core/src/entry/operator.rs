//! Operators' changes: proposed as one conditional write of the control row, settled by reading
//! the row, and reported once no entry can decide under an earlier epoch.

mod service;
mod settle;
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

/// Number of an operator's request, chosen by the edge that took it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);

/// What an operator asks.
#[derive(Debug, Clone)]
pub enum Question {
    /// Show the entry's view of the region.
    Status,
    /// Show the catalogue that the entry has adopted.
    Catalogue,
    /// Make a change.
    Propose(Proposal),
}

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Id of the change, never used for another one.
    pub id: String,
    /// The change.
    pub edit: Edit,
    /// Whether to make the change although it leaves kinds without a backend server.
    pub force: bool,
    /// Whether only to say what would change.
    pub dry_run: bool,
    /// How long the operator waits for the change to be in force.
    pub timeout: std::time::Duration,
}

/// What a change does.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Merges the entries of a file into the catalogue.
    Put(File),
    /// Deletes a kind from the catalogue.
    DeleteKind(String),
    /// Takes a data centre out of service or brings it back.
    DataCentre {
        /// Its name.
        name: String,
        /// The new state.
        state: Service,
    },
    /// Takes a backend server out of service or brings it back.
    Backend {
        /// Its name.
        name: String,
        /// The new state.
        state: Service,
    },
}

/// Service state of a data centre or a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Service {
    /// Tasks may start there.
    In,
    /// No task starts there.
    Out,
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The entry's view of the region.
    Status(Box<Status>),
    /// The catalogue and its version.
    Catalogue {
        /// The version.
        version: u64,
        /// The entries.
        catalogue: Catalogue,
    },
    /// What became of a change.
    Outcome(Outcome),
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the change.
    pub change: String,
    /// What it changes, one line each.
    pub changes: Vec<String>,
    /// How far it came.
    #[serde(flatten)]
    pub end: End,
}

/// How far a change came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum End {
    /// No entry decides without it any more.
    InForce {
        /// The epoch that it made, or the present one if there was nothing to change.
        epoch: u64,
        /// Time since the operator asked, in milliseconds.
        after_ms: u64,
    },
    /// Nothing was changed, and it never takes effect.
    NotAccepted {
        /// Why.
        reason: NotAccepted,
        /// What stands against it and what to do.
        detail: String,
    },
    /// It was accepted, and will be in force; not everyone has confirmed it yet.
    Written {
        /// The epoch that it made.
        epoch: u64,
        /// Entries that have not confirmed it.
        unconfirmed: Vec<String>,
    },
    /// The table service did not say whether it took the write.
    Unsettled {
        /// What to do.
        detail: String,
    },
    /// What it would change; nothing was changed.
    DryRun,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NotAccepted {
    /// Another operator's change came first.
    Conflict,
    /// The change is not a valid one.
    Invalid,
    /// It would leave work without a backend server.
    NeedsForce,
    /// The entry has no lease or is leaving.
    NoLease,
    /// The table service did not take the catalogue.
    StoreUnavailable,
    /// Too many changes wait at this entry.
    Busy,
}

/// Changes that wait at one entry.
const WAITING: usize = 256;

/// A change on its way.
#[derive(Debug, Clone)]
struct Pending {
    request: Request,
    proposal: Proposal,
    since: Monotonic,
    deadline: Monotonic,
    changes: Vec<String>,
}

/// A change that is being written.
#[derive(Debug, Clone)]
struct Active {
    pending: Pending,
    base: Base,
    stage: Stage,
}

/// What a change builds on; another operator's change to it is a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Base {
    catalogue: u64,
    data_centres_out: BTreeSet<String>,
    backends_out: BTreeSet<String>,
}

#[derive(Debug, Clone)]
enum Stage {
    /// The catalogue is written under a version of its own.
    Catalogue {
        version: u64,
        catalogue: Catalogue,
        again: Monotonic,
        pause: std::time::Duration,
    },
    /// The control row is written.
    Row {
        expect: u64,
        row: Row,
        again: Monotonic,
        pause: std::time::Duration,
    },
}

/// A change that was written and is not known to be in force.
#[derive(Debug, Clone)]
struct Confirming {
    pending: Pending,
    epoch: u64,
}

/// Operators' changes at one entry, and what it knows of the others' epochs.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    waiting: VecDeque<Pending>,
    active: Option<Active>,
    confirming: Vec<Confirming>,
    /// Highest catalogue version that this entry has tried to write.
    tried_version: u64,
    /// When the catalogue in force is read again.
    next_catalogue_read: Monotonic,
    /// Epoch that each member said last.
    epochs: HashMap<String, u64>,
    /// Service states at the last look.
    services: Option<Base>,
    /// Connection and epoch at which each agent was last asked to give back its tasks.
    recalled: HashMap<placement::Key, (u64, u64)>,
    /// When each data centre or backend server came back into service.
    returned: HashMap<String, Monotonic>,
}

impl State {
    /// Makes a state without changes.
    pub(super) fn new() -> Self {
        Self::default()
    }
}

impl Base {
    fn of(row: &Row) -> Self {
        Self {
            catalogue: row.catalogue,
            data_centres_out: row.data_centres_out.clone(),
            backends_out: row.backends_out.clone(),
        }
    }
}

/// Result of checking a change against the present state.
#[derive(Debug, Clone)]
struct Plan {
    changes: Vec<String>,
    catalogue: Option<Catalogue>,
}

/// Why a change cannot be made, in words.
type Objection = (NotAccepted, String);

impl Entry {
    pub(super) fn operate(
        &mut self,
        request: Request,
        question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let answer = match question {
            Question::Status => Answer::Status(Box::new(self.status(now))),
            Question::Catalogue => Answer::Catalogue {
                version: self.catalogue_version,
                catalogue: self.catalogue.clone(),
            },
            Question::Propose(proposal) => {
                return self.propose(request, proposal, now, actions);
            }
        };
        actions.push(Action::Tell { request, answer });
    }

    fn propose(
        &mut self,
        request: Request,
        proposal: Proposal,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let pending = Pending {
            request,
            deadline: now.mono.plus(proposal.timeout),
            proposal,
            since: now.mono,
            changes: Vec::new(),
        };
        if self.operator.waiting.len() >= WAITING {
            let detail = "too many changes wait at this entry; try again later".to_owned();
            return tell_not_accepted(&pending, (NotAccepted::Busy, detail), actions);
        }
        self.operator.waiting.push_back(pending);
    }

    /// Checks a change against the present state.
    fn plan(&self, proposal: &Proposal) -> Result<Plan, Objection> {
        match &proposal.edit {
            Edit::Put(file) => {
                let merged = self.catalogue.merged(&file.catalogue);
                let limits = Limits {
                    window: self.timing.retention_window,
                };
                let faults = file.errors_in_merged(&merged, limits);
                if !faults.is_empty() {
                    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                    return Err((NotAccepted::Invalid, lines.join("\n")));
                }
                Ok(self.plan_catalogue(merged))
            }
            Edit::DeleteKind(name) => {
                let rest = self.catalogue.without_kind(name).ok_or_else(|| {
                    let detail = format!(
                        "the catalogue has no kind `{name}`; see `ibisspool catalogue list`"
                    );
                    (NotAccepted::Invalid, detail)
                })?;
                Ok(self.plan_catalogue(rest))
            }
            Edit::DataCentre { name, state } => self.plan_data_centre(name, *state, proposal.force),
            Edit::Backend { name, state } => self.plan_backend(name, *state, proposal.force),
        }
    }

    fn plan_catalogue(&self, next: Catalogue) -> Plan {
        Plan {
            changes: self.catalogue.differences(&next),
            catalogue: Some(next),
        }
    }

    /// Returns the row that makes a change, given the version of its catalogue.
    fn changed_row(&self, proposal: &Proposal, version: Option<u64>, now: Now) -> Row {
        let mut row = self.row.with_operator_change(&proposal.id, now.wall);
        row.catalogue = version.unwrap_or(row.catalogue);
        match &proposal.edit {
            Edit::Put(_) | Edit::DeleteKind(_) => {}
            Edit::DataCentre { name, state } => set_out(&mut row.data_centres_out, name, *state),
            Edit::Backend { name, state } => set_out(&mut row.backends_out, name, *state),
        }
        row
    }
}

fn set_out(out: &mut BTreeSet<String>, name: &str, state: Service) {
    match state {
        Service::Out => {
            out.insert(name.to_owned());
        }
        Service::In => {
            out.remove(name);
        }
    }
}

fn tell(pending: &Pending, end: End, actions: &mut Vec<Action>) {
    let outcome = Outcome {
        change: pending.proposal.id.clone(),
        changes: pending.changes.clone(),
        end,
    };
    actions.push(Action::Tell {
        request: pending.request,
        answer: Answer::Outcome(outcome),
    });
}

fn tell_not_accepted(pending: &Pending, objection: Objection, actions: &mut Vec<Action>) {
    let (reason, detail) = objection;
    tell(pending, End::NotAccepted { reason, detail }, actions);
}
