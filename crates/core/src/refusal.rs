//! Reasons for which a job or request does not end with its whole answer.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A closed list; each reason has its own counter.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request could not be read.
    Malformed,
    /// The body, the input or the number of tasks is over a limit.
    TooLarge,
    /// The catalogue has no such kind.
    UnknownKind,
    /// The id's creation time is more than the allowed skew ahead.
    IdFromFuture,
    /// The id is older than the window in which jobs are remembered.
    IdTooOld,
    /// The id was used before with another kind, other inputs or another number of tasks.
    IdReused,
    /// The timeout is over the limit or zero.
    TimeoutOutOfRange,
    /// The owner's token is missing or wrong.
    Unauthorized,
    /// The queue is full.
    QueueFull,
    /// The owner or kind is over its quota.
    OverQuota,
    /// No backend server serves the kind.
    NoBackend,
    /// The job cannot end within its timeout.
    CannotEndInTime,
    /// The entry may not decide: it cannot confirm its lease.
    NoLease,
    /// The entry is leaving.
    Leaving,
    /// The coordinator of the job did not answer.
    CoordinatorLost,
    /// The previous coordinator of the job is gone with what it knew.
    HistoryLost,
    /// The caller cancelled the job.
    Cancelled,
    /// The job's time ran out.
    TimedOut,
    /// A task ended with an error of the backend server.
    TaskFailed,
    /// A task was dispatched and its outcome cannot be learnt.
    OutcomeUnknown,
    /// No job of this id is known here.
    NotFound,
    /// A table of the entry is full.
    TableFull,
}

/// Whether any task of the job started.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No task started and none ever will for this id.
    No,
    /// At least one task started.
    Yes,
    /// It cannot be said.
    Unknown,
}

/// The end of a job that has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether anything ran.
    pub ran: Ran,
    /// What happened and what to do about it.
    pub detail: String,
    /// When to try again, in milliseconds, if that helps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal.
    pub fn new(reason: Reason, ran: Ran, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the delay after which another try may succeed.
    #[must_use]
    pub fn with_retry_after_ms(mut self, delay: u64) -> Self {
        self.retry_after_ms = Some(delay);
        self
    }
}

/// Why a task is dispatched once more.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Retry {
    /// The agent's fence stamp was too old.
    Stale,
    /// The agent's queue was full.
    Full,
    /// The agent is leaving.
    Leaving,
    /// The agent has seen a newer epoch.
    OldEpoch,
    /// The agent was asked about the task and promised never to start it.
    Tombstoned,
    /// The entry took the unstarted task back.
    Recalled,
    /// An idempotent request failed.
    Idempotent,
}
