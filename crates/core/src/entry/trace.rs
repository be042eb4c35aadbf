//! What happened to a job, step by step.

use serde::{Deserialize, Serialize};

use crate::refusal::Refusal;
use crate::time::Wall;

/// One step in the life of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// When, by the coordinator's wall clock, in milliseconds since the Unix epoch.
    pub at: Wall,
    /// What happened.
    #[serde(flatten)]
    pub kind: StepKind,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StepKind {
    /// The coordinator took the job.
    Accepted {
        /// The coordinator.
        entry: String,
        /// Its epoch.
        epoch: u64,
        /// Number of tasks.
        tasks: u32,
    },
    /// Another caller joined.
    Joined,
    /// A task went to an agent.
    Dispatched {
        /// Position of the task.
        index: u32,
        /// Number of the attempt.
        attempt: u32,
        /// The agent.
        agent: String,
    },
    /// An agent said that it did not start a task.
    NotStarted {
        /// Position of the task.
        index: u32,
        /// The agent.
        agent: String,
        /// Why.
        reason: String,
    },
    /// A task ended.
    Ended {
        /// Position of the task.
        index: u32,
        /// The agent.
        agent: String,
        /// Time in the agent's queue in microseconds.
        queue_us: u64,
        /// Time at the backend server in microseconds.
        run_us: u64,
    },
    /// The job ended with its whole answer.
    Complete,
    /// The job ended without an answer.
    Refused {
        /// Why.
        reason: String,
        /// Whether anything ran.
        ran: String,
    },
}

impl StepKind {
    /// Makes the step of a job that ends with a refusal.
    pub fn refused(refusal: &Refusal) -> Self {
        Self::Refused {
            reason: refusal.reason.to_string(),
            ran: refusal.ran.to_string(),
        }
    }
}
