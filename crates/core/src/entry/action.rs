//! Actions: what the state machine of an entry asks its caller to do.

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::frame::Order;
use crate::job::{Answer, Id, Spec};
use crate::refusal::Retry;

use super::{Event, Findings, Origin, Step, WaiterId, operator};

/// An action that the process around [`Entry`](super::Entry) carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a caller, or the entry that forwarded the request, with the final result of a job.
    Answer {
        /// The request to answer.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// The outputs of the job or why there are none.
        answer: Answer,
    },
    /// Answer a request for the trace of a job.
    AnswerTrace {
        /// The request to answer.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// The trace of the job, oldest step first.
        steps: Vec<Step>,
    },
    /// Forward a caller's request to another entry, and report the result with
    /// [`Event::ForwardAnswered`] or [`Event::ForwardFailed`].
    Forward {
        /// The caller that gets the answer.
        waiter: WaiterId,
        /// The coordinator of the job, or the previous coordinator that has its record.
        to: Member,
        /// The request to forward.
        question: JobRequest,
    },
    /// Send an order to an agent.
    SendOrder {
        /// Number of the connection to the agent.
        link: u64,
        /// The order.
        order: Order,
    },
    /// Answer a forwarded request with the error that this entry does not coordinate the job.
    RejectMisdirected {
        /// The request to answer.
        waiter: WaiterId,
    },
    /// Answer a heartbeat.
    AnswerHeartbeat {
        /// The heartbeat to answer.
        waiter: WaiterId,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Send a heartbeat to another entry, whose answer becomes [`Event::HeartbeatAnswered`].
    SendHeartbeat {
        /// The entry to send it to.
        to: Member,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Ask a previous coordinator of a job id whether it has a record of the job, and report the
    /// result with [`Event::InquiryAnswered`] or [`Event::InquiryFailed`].
    Inquire {
        /// The entry to ask.
        to: Member,
        /// Id of the job.
        id: Id,
        /// Epoch of this entry.
        epoch: u64,
    },
    /// Tell another entry whether this one has a record of a job.
    AnswerInquiry {
        /// The inquiry to answer.
        waiter: WaiterId,
        /// The answer.
        findings: Findings,
    },
    /// Log that the wall clock of this entry began or ceased to differ too much from the clocks of
    /// the other entries. The entry has no lease while it differs.
    LogClockDisagreement {
        /// Whether the clock differs too much now.
        is_apart: bool,
    },
    /// Read the control row.
    ReadRow,
    /// Write the control row if its version in the table is still `expect`.
    WriteRow {
        /// Version of the row that the write replaces; 0 if there is no row yet.
        expect: u64,
        /// The new row.
        row: Row,
    },
    /// Read one version of the catalogue.
    ReadCatalogue {
        /// The version to read.
        version: u64,
    },
    /// Write a new version of the catalogue; the write must fail if the version exists.
    WriteCatalogue {
        /// The version to write.
        version: u64,
        /// The catalogue of that version.
        catalogue: Catalogue,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Number of the operator's request.
        request: operator::RequestId,
        /// The answer.
        answer: operator::Answer,
    },
    /// Count a task that was put back into the queue, by the reason.
    CountRetry(Retry),
}

/// A caller's request about one job, which the job's coordinator answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRequest {
    /// Submit a job, or wait for its result if it was submitted before.
    Submit(Spec),
    /// Wait for the result of a job.
    Get(Id),
    /// Cancel a job, also one that has not been submitted yet.
    Cancel(Id),
    /// Get the trace of a job.
    Trace(Id),
}

impl JobRequest {
    /// Returns the id of the job that the request is about.
    pub fn id(&self) -> Id {
        match self {
            Self::Submit(spec) => spec.id,
            Self::Get(id) | Self::Cancel(id) | Self::Trace(id) => *id,
        }
    }

    /// Returns the event that hands the request to an [`Entry`](super::Entry).
    pub fn into_event(self, waiter: WaiterId, origin: Origin) -> Event {
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
