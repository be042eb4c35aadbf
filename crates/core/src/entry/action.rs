//! What an entry decides to do.

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::frame::Order;
use crate::job::{Answer, Id, Spec};
use crate::refusal::Retry;

use super::{Event, Findings, Origin, Step, Waiter, operator};

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

    /// Returns the event with which an entry takes up the question.
    pub fn into_event(self, waiter: Waiter, origin: Origin) -> Event {
        let forwarded = origin == Origin::Forwarded;
        match self {
            Self::Submit(spec) => Event::Submit {
                waiter,
                spec,
                origin,
            },
            Self::Get(id) => Event::Get {
                waiter,
                id,
                forwarded,
            },
            Self::Cancel(id) => Event::Cancel {
                waiter,
                id,
                forwarded,
            },
            Self::Trace(id) => Event::Trace {
                waiter,
                id,
                forwarded,
            },
        }
    }
}
