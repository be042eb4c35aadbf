//! Messages between entries and agents, and between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalogue::Snapshot;
use super::job::{Resources, TaskName};

/// Time on the sending agent's clock in microseconds. An entry only echoes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp(pub u64);

/// An entry that others can connect to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub name: String,
    /// Address for agents and other entries.
    pub address: SocketAddr,
}

/// Key that an entry gives to a dispatched task; agents only return it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// A task to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Key for the outcome.
    pub ticket: Ticket,
    /// Name of the task.
    pub name: TaskName,
    /// What the backend server gets.
    pub spec: Arc<str>,
    /// What the task needs.
    pub needs: Resources,
    /// Estimated run time on a server of usual speed.
    pub estimate: Duration,
    /// Time left until the task must start to meet its objective; negative if that has passed.
    pub slack_us: i64,
    /// How long the task may wait for room here; then it goes back to its entry.
    pub patience: Duration,
    /// Rank of its queue; 0 comes first.
    pub priority: u8,
    /// Whether the task has failed elsewhere; then a failure says little about this server.
    pub retried: bool,
    /// Service that the queue names, checked against the backend server's own.
    pub service: Arc<str>,
}

/// From an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Newest stamp that the entry has received on this connection.
    pub echo: Option<Stamp>,
    /// Number of this order on the connection, rising from 1.
    pub sequence: u64,
    /// Tasks to run.
    pub starts: Vec<Start>,
    /// Tasks to stop, or not to start.
    pub cancels: Vec<Ticket>,
    /// Data centres out of service, with the version of the catalogue that says so.
    pub out_of_service: Option<(u64, Vec<String>)>,
    /// Entries that the agent has not been told on this connection.
    pub members: Vec<Member>,
    /// Whether few reports will do until the next order that says otherwise.
    pub rest: bool,
}

/// State of a backend server as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Service it belongs to.
    pub service: Arc<str>,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels, with its rack among them.
    pub labels: Vec<String>,
    /// Whether it takes new tasks.
    pub ready: bool,
}

/// Load of a backend server with the tasks of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Resources not yet given to tasks that run or wait here.
    pub free: Resources,
    /// What waits here needs, in thousandths of a core.
    pub queued: u32,
    /// Most tasks that may be added; small while the server is on probation.
    pub open: u32,
    /// Run time here against the estimates, 1 for a server of usual speed.
    pub pace: f32,
}

/// Why a task was not started.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Declined {
    /// The echo was older than the silence bound.
    Stale,
    /// The server is draining, unknown, of another service, or its data centre is out of service.
    Closed,
    /// The task waited too long for room.
    Busy,
    /// The server refused or could not be reached.
    Unreachable,
    /// Whether the server had started it stayed open until it was certain that it never will.
    Unanswered,
    /// The entry asked for it.
    Cancelled,
}

/// How a dispatched task ended. Each is definite: nothing of the task runs here any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It ended well.
    Done,
    /// It ran and failed.
    Failed,
    /// It ran and was stopped or lost before its end.
    Lost,
    /// It never ran.
    NotStarted(Declined),
}

/// The end of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Key that came with the task.
    pub ticket: Ticket,
    /// How it ended.
    pub end: End,
    /// How long it ran, zero if it did not.
    pub ran: Duration,
}

/// First message of an agent on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Name of its VM.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

/// From an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When the agent made this report, on its own clock.
    pub stamp: Stamp,
    /// Number of the newest order that this report takes into account.
    pub seen: u64,
    /// Whether nothing runs here any more that this entry sent over an earlier connection.
    pub cleared: bool,
    /// The backend server, if it has changed since the last report.
    pub server: Option<Server>,
    /// Its load.
    pub load: Load,
    /// Ends of tasks.
    pub outcomes: Vec<Outcome>,
}

/// Between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Entries that the receiver has not been told on this connection.
    pub members: Vec<Member>,
    /// Version of the sender's catalogue, 0 before the first.
    pub version: u64,
    /// The catalogue, if the receiver's is older.
    pub catalogue: Option<Arc<Snapshot>>,
}

/// Version of these messages; a process refuses connections that speak another one.
pub const VERSION: u16 = 2;

/// First message of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the messages.
    pub version: u16,
    /// Who connects.
    pub from: Caller,
}

/// Who opens a connection to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    /// An agent.
    Agent(AgentHello),
    /// Another entry.
    Entry(Member),
}
