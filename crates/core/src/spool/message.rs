//! Messages between entries and agents, and between entries.
//!
//! An agent sends [`Report`]s to each entry and receives [`Order`]s from it. Entries exchange
//! [`Gossip`]. Messages are encoded by position and without field names, so a reordered or retyped
//! field needs another [`VERSION`].

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::catalogue::Snapshot;
use super::job::{Resources, TaskName};

/// Time on the sending agent's monotonic clock in microseconds. An entry echoes it unchanged, so
/// that the agent can tell how old the report is that the entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// An entry that agents and other entries can connect to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry's VM.
    pub name: String,
    /// Address for connections of agents and other entries.
    pub address: SocketAddr,
}

/// Key that an entry gives to each dispatch of a task. The agent returns it with the outcome and
/// does not interpret it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchId(pub u64);

/// A task that an entry dispatches to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Key of this dispatch, returned with the outcome.
    pub ticket: DispatchId,
    /// Name of the task.
    pub name: TaskName,
    /// Task specification to hand to the backend server.
    pub spec: Arc<str>,
    /// Resources that the task needs.
    pub needs: Resources,
    /// Estimated run time on a server of usual speed, corrected for data in another rack.
    pub estimate: Duration,
    /// Time left, in microseconds, until the task has to start to meet the latency objective of its
    /// queue; negative if that has passed.
    pub slack_us: i64,
    /// How long the task may wait here for free resources. After that the agent declines it as
    /// [`DeclineReason::Busy`].
    pub max_queue_time: Duration,
    /// Priority of the task's queue; 0 is the highest.
    pub priority: u8,
    /// Whether the task has failed on another server. If so, a failure here does not count against
    /// the circuit breaker of this server.
    pub has_failed_elsewhere: bool,
    /// Service that the task's queue names. The agent declines the task if its backend server
    /// offers another one.
    pub service: Arc<str>,
}

/// Message from an entry to an agent: tasks to start and cancel, and news for the agent. One with
/// nothing in it still serves as a heartbeat by its echo.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Stamp of the newest report that the entry has received on this connection, `None` before the
    /// first. The agent counts the entry as alive for a fixed time after that timestamp.
    pub echoed_timestamp: Option<Timestamp>,
    /// Sequence number of this message on the connection, rising from 1.
    pub sequence: u64,
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Tasks to stop, or to remove from the agent's queue if they have not started.
    pub cancels: Vec<DispatchId>,
    /// Data centres out of service, with the version of the catalogue that lists them. `None` if
    /// the agent has been told that version.
    pub out_of_service: Option<(u64, Vec<String>)>,
    /// Entries that the agent has not yet been told of on this connection.
    pub members: Vec<Member>,
    /// Whether the agent shall reduce its reports to this entry, which does not use it at present.
    /// Holds until a message says otherwise.
    pub reduced_reporting: bool,
}

/// State of a backend server as its agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerState {
    /// Service that the server offers.
    pub service: Arc<str>,
    /// Total resources of the server.
    pub capacity: Resources,
    /// Labels of the server; its rack is one of them.
    pub labels: Vec<String>,
    /// Whether the server accepts new tasks.
    pub ready: bool,
}

/// Load of a backend server by the tasks of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Resources left by the tasks that run or are queued here.
    pub free: Resources,
    /// CPU that the queued tasks need, in thousandths of a core.
    pub queued_cpu: u32,
    /// Most tasks that may be added. 0 while the server accepts none, 1 while its circuit breaker
    /// is half-open.
    pub open_slots: u32,
    /// Ratio of run time here to estimate, as an EWMA; 1 for a server of usual speed.
    pub slowdown: f32,
}

/// Why an agent did not start a task.
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
pub enum DeclineReason {
    /// The entry has echoed no recent report, so it counts as silent.
    Stale,
    /// The server is draining, unreachable, unknown, too small, of another service or no longer the
    /// one that the entry placed the task on, or its data centre is out of service.
    Closed,
    /// The task waited for free resources for as long as its entry allows.
    Busy,
    /// The server refused the task or could not be reached.
    Unreachable,
    /// The server did not answer the start request. By now it is certain that it will not run the
    /// task.
    Unanswered,
    /// The entry cancelled the task.
    Cancelled,
}

/// How a dispatched task ended. Whatever the variant, the task certainly no longer runs at this
/// agent's server, so that the entry may dispatch it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The task succeeded.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task may have run, and was stopped or lost before its end.
    Lost,
    /// The task never ran.
    NotStarted(DeclineReason),
}

/// End of one dispatched task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Key of the dispatch.
    pub ticket: DispatchId,
    /// How the task ended.
    pub end: End,
    /// Time from the start request to the end, zero if none was sent.
    pub ran: Duration,
}

/// How an agent introduces itself in the first message of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Name of the agent's VM.
    pub name: String,
    /// Data centre of the agent's VM.
    pub data_centre: String,
}

/// Message from an agent to an entry: the load of its backend server and the outcomes of tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When the agent made this report; the entry echoes it.
    pub sent_at: Timestamp,
    /// Sequence number of the newest message of the entry that this report takes into account, so
    /// that the entry knows which of its dispatches are in `load`.
    pub last_sequence_seen: u64,
    /// Whether no task that this entry sent over an earlier connection runs here any more.
    pub earlier_runs_cleared: bool,
    /// State of the backend server, if it has changed since the last report on this connection.
    pub server: Option<ServerState>,
    /// Load of the backend server.
    pub load: Load,
    /// Tasks of this entry that have ended since the last report.
    pub outcomes: Vec<Outcome>,
}

/// Message between two entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender of the message.
    pub from: Member,
    /// Entries that the receiver has not yet been told of on this connection.
    pub members: Vec<Member>,
    /// Version of the sender's catalogue, 0 before the first.
    pub version: u64,
    /// The sender's catalogue, in an answer to an entry whose own is older.
    pub catalogue: Option<Arc<Snapshot>>,
}

/// An optional part behind a message in the same frame. It extends a message without a new version
/// of the messages: a receiver that does not know the part ignores the bytes behind the message.
pub trait Part {
    /// Number that stands before the part, different for each part of one type of message. A receiver ignores a
    /// part with another number, which a later version may have put there.
    const TAG: u8;
}

/// Kind of a task: a hash of the name of its queue, the same in all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u32);

impl Kind {
    /// Tasks whose entry names no kind, and kinds beyond the number that an agent tells apart.
    pub const OTHER: Self = Self(0);

    /// Returns the kind of a queue's tasks.
    pub fn of_queue(name: &str) -> Self {
        Self((xxh3_64(name.as_bytes()) as u32).max(1))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Optional part behind an [`Order`]: the kinds of its tasks. Its presence also asks the agent for
/// a [`Neighbourhood`] behind each report on the connection.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StartKinds {
    /// Kind of each task in [`Order::starts`], in the same order.
    pub kinds: Vec<Kind>,
}

impl Part for StartKinds {
    const TAG: u8 = 1;
}

/// Tasks of one kind on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Kind of the tasks.
    pub kind: Kind,
    /// Number of the tasks.
    pub tasks: u32,
    /// CPU of the tasks together, in thousandths of a core.
    pub cpu_millicores: u32,
}

/// Mean share of a server's CPU that tasks of a kind had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Kind of the tasks.
    pub kind: Kind,
    /// Thousandths of the server's CPU.
    pub per_mille: u16,
}

/// What ran beside a task from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNeighbours {
    /// Key of the dispatch of the task.
    pub ticket: DispatchId,
    /// Shares of the tasks beside it, by kind; a kind without a task is left out.
    pub shares: Vec<Share>,
}

/// Optional part behind a [`Report`]: what runs on the backend server, and what ran beside the tasks
/// of the entry that have succeeded since the last report.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Neighbourhood {
    /// Tasks that the server runs, and those that wait at the agent, by kind.
    pub present: Vec<Presence>,
    /// What ran beside tasks in [`Report::outcomes`].
    pub ended: Vec<RunNeighbours>,
}

impl Part for Neighbourhood {
    const TAG: u8 = 1;
}

/// Work that waits at the sender of a [`Gossip`]: the optional part behind that message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QueueLoad {
    /// CPU that the tasks in the sender's queue need, in thousandths of a core.
    pub waiting_cpu: u64,
    /// CPU of the jobs that the sender has refused lately, in thousandths of a core.
    pub refused_cpu: u64,
}

impl Part for QueueLoad {
    const TAG: u8 = 1;
}

/// Version of these messages; a process refuses connections that use another one.
pub const VERSION: u16 = 2;

/// First message on a connection to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the messages that the sender uses.
    pub version: u16,
    /// Process that opens the connection.
    pub from: Dialer,
}

/// Process that opens a connection to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Dialer {
    /// An agent.
    Agent(AgentHello),
    /// Another entry.
    Entry(Member),
}
