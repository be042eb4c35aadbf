//! The trace of a job: what happened to it, step by step.

use serde::{Deserialize, Serialize};

use crate::refusal::Refusal;
use crate::time::Wall;

/// One step in the trace of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Time of the step by the coordinator's wall clock, in milliseconds since the Unix epoch.
    pub at: Wall,
    /// What happened.
    #[serde(flatten)]
    pub kind: StepKind,
}

/// What happened in one step of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StepKind {
    /// The coordinator accepted the job.
    Accepted {
        /// Name of the coordinator.
        entry: String,
        /// Epoch of the coordinator.
        epoch: u64,
        /// Number of tasks.
        tasks: u32,
    },
    /// The job was submitted again under the same id.
    Joined,
    /// A task was sent to an agent.
    Dispatched {
        /// Position of the task in the job, from 0.
        index: u32,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Name of the agent.
        agent: String,
    },
    /// An agent answered that it did not start a task.
    NotStarted {
        /// Position of the task in the job, from 0.
        index: u32,
        /// Name of the agent.
        agent: String,
        /// The agent's reason, as [`crate::frame::NotStarted`] prints it.
        reason: String,
    },
    /// A task ended with an output, an error or an unknown outcome.
    Ended {
        /// Position of the task in the job, from 0.
        index: u32,
        /// Name of the agent.
        agent: String,
        /// Time in the agent's queue in microseconds.
        queue_us: u64,
        /// Time at the backend server in microseconds.
        run_us: u64,
    },
    /// The job ended with the outputs of all its tasks.
    Complete,
    /// The job ended without outputs.
    Refused {
        /// The reason, as [`crate::refusal::Reason`] prints it.
        reason: String,
        /// Whether any task ran, as [`crate::refusal::Ran`] prints it.
        ran: String,
    },
}

impl StepKind {
    /// Returns the step of a job that ends with `refusal`.
    pub fn refused(refusal: &Refusal) -> Self {
        Self::Refused {
            reason: refusal.reason.to_string(),
            ran: refusal.ran.to_string(),
        }
    }
}
