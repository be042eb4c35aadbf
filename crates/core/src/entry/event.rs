//! What an entry decides on.

use std::time::Duration;

use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::frame::Report;
use crate::job::{Id, Spec};
use crate::time::Monotonic;

use super::{Findings, operator};

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
        sent: Monotonic,
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
    /// Another entry said that no lease below an epoch can be held any more.
    Lapsed {
        /// The epoch.
        below: u64,
    },
    /// The control row was read.
    RowRead {
        /// When the read was sent.
        sent: Monotonic,
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
