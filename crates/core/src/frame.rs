//! Messages between entries and agents: agents send a [`Report`], entries send an [`Order`].

use bytes::Bytes;
use strum::{Display, EnumIter, FromRepr};

use crate::job::Task;
use crate::time::Monotonic;

/// Description of an agent, sent in its first report on a connection and after each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the agent, which is also the name of its backend server.
    pub agent: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Number of tasks that the backend server runs concurrently.
    pub slots: u32,
    /// Kinds of task that the backend server can run.
    pub kinds: Vec<String>,
    /// Whether the agent is draining: it starts no further tasks.
    pub leaving: bool,
}

/// Load of an agent, counted over the tasks of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that wait for a slot.
    pub queued: u32,
}

/// Message from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the agent process.
    pub incarnation: u64,
    /// Highest epoch that the agent has seen in an order.
    pub epoch: u64,
    /// Monotonic clock of the agent when it sent the report. An entry echoes the value as
    /// [`Order::permit`].
    pub stamp: Monotonic,
    /// Load of the agent.
    pub load: Load,
    /// Present in the first report of a connection and after a change.
    pub hello: Option<Hello>,
    /// Outcomes of dispatches that ended or were not started.
    pub outcomes: Vec<Outcome>,
}

/// Final state of one dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The task.
    pub task: Task,
    /// The attempt that the dispatch named.
    pub attempt: u32,
    /// How the dispatch ended.
    pub end: End,
    /// Queueing delay at the agent in microseconds.
    pub queue_us: u64,
    /// Run time at the backend server in microseconds.
    pub run_us: u64,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The backend server answered with an output.
    Done(Bytes),
    /// The backend server answered with an error.
    Failed(String),
    /// The task started and its answer was lost, or the agent cannot tell what happened; the text
    /// explains why.
    Unknown(String),
    /// The task was not started by this attempt and will not be.
    NotStarted(NotStarted),
}

/// Why an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum NotStarted {
    /// The permit had expired.
    Stale = 1,
    /// The queue or the ledger of the agent was full.
    Full = 2,
    /// The agent is draining or cannot reach its backend server.
    Leaving = 3,
    /// The order was of an older epoch than another one that the agent has seen.
    OldEpoch = 4,
    /// The agent did not know the attempt when an entry queried it, and has recorded that it will
    /// never start this attempt.
    Tombstoned = 5,
    /// The entry recalled the task.
    Recalled = 6,
}

/// Message from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Order {
    /// Incarnation of the agent that the order is meant for.
    pub agent_incarnation: u64,
    /// Epoch of the entry.
    pub epoch: u64,
    /// Fencing token: the newest [`Report::stamp`] that the entry received before it sent the
    /// request that confirmed its lease. The agent starts tasks of this entry only until the stamp
    /// is one lease old, which is no later than the end of the lease of the entry.
    pub permit: Option<Monotonic>,
    /// Tasks to start.
    pub dispatches: Vec<Dispatch>,
    /// Tasks to return to the entry if they have not started.
    pub recalls: Vec<Task>,
    /// Attempts whose state the agent must report. An attempt that the agent does not know must
    /// never start afterwards.
    pub queries: Vec<Attempt>,
    /// Addresses of all entries if they have changed, else empty.
    pub entries: Vec<String>,
    /// Total number of outcomes that the entry has received over this connection.
    pub acknowledged: u64,
}

impl Order {
    /// Returns whether the order is empty. An entry sends an empty order to ask an idle agent for a
    /// report with a new stamp.
    pub fn is_stamp_request(&self) -> bool {
        self.dispatches.is_empty()
            && self.queries.is_empty()
            && self.recalls.is_empty()
            && self.entries.is_empty()
            && self.acknowledged == 0
    }
}

/// Identifier of one attempt to run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The task.
    pub task: Task,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Request to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The task.
    pub task: Task,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Kind of the task.
    pub kind: String,
    /// Input of the task.
    pub input: Bytes,
    /// Time within which the backend server must answer, in milliseconds.
    pub timeout_ms: u64,
}
