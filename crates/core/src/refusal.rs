//! Reasons why a job or request ends without its complete answer.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a job or request was refused or failed. Each reason has its own counter in the metrics.
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
    /// The request could not be parsed.
    Malformed,
    /// The body, an input or the number of tasks exceeds a limit.
    TooLarge,
    /// The catalogue does not contain the kind.
    UnknownKind,
    /// The creation time within the job id is further in the future than the allowed clock skew.
    IdFromFuture,
    /// The job id is older than the retention window, so a duplicate could not be detected.
    IdTooOld,
    /// The job id was used before with a different kind, different inputs or another number of
    /// tasks.
    IdReused,
    /// The timeout is zero or exceeds the limit.
    TimeoutOutOfRange,
    /// The token of the owner is missing or wrong.
    Unauthorized,
    /// The queue of waiting tasks is full.
    QueueFull,
    /// The owner or kind has used up its quota.
    OverQuota,
    /// No backend server in service runs tasks of the kind.
    NoBackend,
    /// The job is not expected to end within its timeout.
    CannotEndInTime,
    /// The entry holds no lease and so may not make decisions.
    NoLease,
    /// The entry is shutting down.
    Leaving,
    /// The entry that coordinates the job did not answer.
    CoordinatorLost,
    /// The previous coordinator of the job has ended, and its records are lost.
    HistoryLost,
    /// The caller cancelled the job.
    Cancelled,
    /// The job did not end within its timeout.
    TimedOut,
    /// The backend server answered a task with an error.
    TaskFailed,
    /// A task was dispatched and its outcome cannot be determined.
    OutcomeUnknown,
    /// No job with this id is known.
    NotFound,
    /// A table of the entry has reached its bound.
    TableFull,
}

/// Whether any task of a job started, which tells the caller if a resubmission is safe.
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
    /// No task has started, and none will ever start under this job id.
    No,
    /// At least one task started.
    Yes,
    /// It is not known whether a task started.
    Unknown,
}

/// The result of a job that ended without its complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether any task of the job started.
    pub ran: Ran,
    /// Explanation for the caller: what happened and what to do about it.
    pub detail: String,
    /// Delay in milliseconds after which a retry may succeed; absent if no retry would help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: Reason, ran: Ran, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay in milliseconds after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after_ms(mut self, delay: u64) -> Self {
        self.retry_after_ms = Some(delay);
        self
    }
}

/// Why a task is dispatched again.
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
    /// The permit of the order had expired when the agent wanted to start the task.
    Stale,
    /// The queue or ledger of the agent was full.
    Full,
    /// The agent is draining or cannot reach its backend server.
    Leaving,
    /// The order was of an older epoch than another one that the agent has seen.
    OldEpoch,
    /// The agent did not know the attempt when queried and has recorded that it will never start
    /// it.
    Tombstoned,
    /// The entry recalled the task before it started.
    Recalled,
    /// An idempotent request failed or its outcome is unknown.
    Idempotent,
}
