//! Events: everything that the state machine of an entry reacts to.

use std::time::Duration;

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::frame::Report;
use crate::job::{Id, Spec};
use crate::time::Monotonic;

use super::{Findings, operator};

/// Number of a request, heartbeat or inquiry that waits for this entry's answer. The process
/// chooses a new number for each and finds the open connection by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller that created the job id itself.
    Caller,
    /// A caller that leaves the choice of the id to this entry; the id in its job is replaced.
    NewId,
    /// Another entry. Its requests are not forwarded again, so that none can loop.
    Forwarded,
}

/// An event for [`Entry::handle`](super::Entry::handle).
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller or another entry submits a job.
    Submit {
        /// Number of the request.
        waiter: WaiterId,
        /// The job.
        spec: Spec,
        /// Where the job comes from.
        origin: Origin,
    },
    /// A caller or another entry asks for the result of a job.
    Get {
        /// Number of the request.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// Whether another entry forwarded the request.
        forwarded: bool,
    },
    /// A caller or another entry asks to cancel a job.
    Cancel {
        /// Number of the request.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// Whether another entry forwarded the request.
        forwarded: bool,
    },
    /// A caller or another entry asks for the trace of a job.
    Trace {
        /// Number of the request.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// Whether another entry forwarded the request.
        forwarded: bool,
    },
    /// Another entry answered a forwarded request, and the caller has got the answer.
    ForwardAnswered {
        /// Number of the request.
        waiter: WaiterId,
    },
    /// Another entry did not answer a forwarded request, or does not coordinate the job.
    ForwardFailed {
        /// Number of the request.
        waiter: WaiterId,
    },
    /// An agent sent a report over its connection.
    ReportReceived {
        /// Number of the connection, never used twice.
        link: u64,
        /// The report.
        report: Report,
    },
    /// The connection of an agent was closed.
    AgentDisconnected {
        /// Number of the connection.
        link: u64,
    },
    /// Another entry sent a heartbeat.
    HeartbeatReceived {
        /// Number of the heartbeat.
        waiter: WaiterId,
        /// Epoch of the sender.
        epoch: u64,
    },
    /// Another entry answered a heartbeat of this one.
    HeartbeatAnswered {
        /// The entry and incarnation that answered.
        member: Member,
        /// Epoch of that entry.
        epoch: u64,
        /// When this entry sent the heartbeat.
        sent: Monotonic,
    },
    /// Another entry, the new coordinator of a job id, asks whether this one has a record of it.
    InquiryReceived {
        /// Number of the inquiry.
        waiter: WaiterId,
        /// Id of the job.
        id: Id,
        /// Epoch of the sender.
        epoch: u64,
    },
    /// Another entry answered whether it has a record of a job.
    InquiryAnswered {
        /// The entry and incarnation that was asked.
        member: Member,
        /// Id of the job.
        id: Id,
        /// The answer.
        findings: Findings,
    },
    /// Another entry did not answer whether it has a record of a job.
    InquiryFailed {
        /// The entry and incarnation that was asked.
        member: Member,
        /// Id of the job.
        id: Id,
    },
    /// The answer to a heartbeat gave a measurement of another entry's wall clock.
    ClockCompared {
        /// The entry and incarnation that answered.
        member: Member,
        /// How far that entry's clock is ahead of this entry's, in milliseconds.
        ahead_ms: i64,
        /// Largest error of `ahead_ms`, half the round trip.
        error: Duration,
    },
    /// Another entry has established that all leases of earlier epochs have lapsed.
    EarlierLeasesLapsed {
        /// Epoch before which no lease can be held any more.
        below: u64,
    },
    /// The control row was read.
    RowRead {
        /// When the read, or the write that returned the row, was sent.
        sent: Monotonic,
        /// Version of the row in the table; 0 if there is no row yet.
        version: u64,
        /// The row.
        row: Row,
    },
    /// A conditional write of the control row failed because its version had changed.
    RowWriteConflict,
    /// A version of the catalogue was read.
    CatalogueRead {
        /// The version that was read.
        version: u64,
        /// The catalogue of that version.
        catalogue: Catalogue,
    },
    /// An operator asks for the status, the catalogue or a change.
    OperatorRequested {
        /// Number of the operator's request, which the answer repeats.
        request: operator::RequestId,
        /// The request.
        question: operator::OperatorRequest,
    },
    /// A new version of the catalogue was written.
    CatalogueWritten {
        /// The version that was written.
        version: u64,
    },
    /// A new version of the catalogue was not written because that version exists already.
    CatalogueVersionExists {
        /// The version that exists.
        version: u64,
    },
    /// The process was asked to stop. The entry leaves the members and finishes its jobs.
    Shutdown,
    /// Some time has passed; the process sends this event at short, regular intervals.
    Tick,
}
