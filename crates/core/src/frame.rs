//! Messages between entries and agents.

use bytes::Bytes;
use strum::{Display, EnumIter, FromRepr};

use crate::job::Task;
use crate::time::Mono;

/// What an agent says of itself when it attaches to an entry and whenever it changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the agent, which names its backend server too.
    pub agent: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Tasks that run at the same time.
    pub slots: u32,
    /// Kinds that the backend server serves.
    pub kinds: Vec<String>,
    /// Whether the backend server is leaving.
    pub leaving: bool,
}

/// Load of an agent by all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub queued: u32,
}

/// Agent to entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the agent process.
    pub incarnation: u64,
    /// Highest epoch that the agent has seen.
    pub epoch: u64,
    /// The agent's monotonic clock when it sent the report.
    pub stamp: Mono,
    /// The agent's load.
    pub load: Load,
    /// Present in the first report of a connection and after a change.
    pub hello: Option<Hello>,
    /// Tasks that ended or were not started.
    pub outcomes: Vec<Outcome>,
}

/// What became of one dispatch of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The task.
    pub task: Task,
    /// The attempt that the dispatch named.
    pub attempt: u32,
    /// What became of it.
    pub end: End,
    /// Time in the agent's queue in microseconds.
    pub queue_us: u64,
    /// Time at the backend server in microseconds.
    pub run_us: u64,
}

/// What became of one dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The backend server answered with an output.
    Done(Bytes),
    /// The backend server answered with an error.
    Failed(String),
    /// The task started and its answer was lost.
    Unknown(String),
    /// The task was not started by this attempt and will not be.
    NotStarted(NotStarted),
}

/// Why an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum NotStarted {
    /// The fence stamp was too old.
    Stale = 1,
    /// The queue was full.
    Full = 2,
    /// The agent is leaving.
    Leaving = 3,
    /// The agent has seen a newer epoch.
    OldEpoch = 4,
    /// The agent promised never to start the task.
    Tombstoned = 5,
    /// The entry took the task back.
    Recalled = 6,
}

/// Entry to agent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Order {
    /// Incarnation of the agent that the order is meant for.
    pub agent_incarnation: u64,
    /// Epoch of the entry.
    pub epoch: u64,
    /// Newest stamp that the entry received before it asked the question its lease rests on.
    pub permit: Option<Mono>,
    /// Tasks to start.
    pub dispatches: Vec<Dispatch>,
    /// Unstarted tasks to give back.
    pub recalls: Vec<Task>,
    /// Attempts to report on, or to decline for good if unknown.
    pub queries: Vec<Attempt>,
    /// Addresses of all entries, when they changed.
    pub entries: Vec<String>,
    /// Number of outcomes that the entry has received over this connection.
    pub acknowledged: u64,
}

impl Order {
    /// Returns whether the order carries nothing, with which an entry asks an idle agent for a
    /// stamp.
    pub fn asks_for_stamp(&self) -> bool {
        self.dispatches.is_empty()
            && self.queries.is_empty()
            && self.recalls.is_empty()
            && self.entries.is_empty()
            && self.acknowledged == 0
    }
}

/// One attempt, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The task.
    pub task: Task,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// One attempt to run a task.
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
