//! Events of a simulation run, and the messages between processes and backend servers.

use std::sync::Arc;

use ibisspool_core::spool::agent::{self, Listing, LongPoll, StartAnswer};
use ibisspool_core::spool::entry::Answer;
use ibisspool_core::spool::job::TaskName;
use ibisspool_core::spool::message::{Neighbourhood, Order, QueueLoad, Report, StartKinds};

use super::Fault;

/// An event of the simulation. `job` is the index of the caller, `attempt` the number of its
/// attempt. `boot` counts the starts of the process that the event is meant for; an event for an
/// earlier start is dropped.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick,
    /// Each entry tells the others how much work waits in its queue.
    Gossip,
    /// An entry learns how much work waits at another one.
    PeerQueue {
        to: usize,
        from: usize,
        load: QueueLoad,
    },
    Fault(Fault),
    StartProcess(Process),
    ResumeProcess(Process),
    Submit {
        job: usize,
        attempt: u32,
        entry: usize,
    },
    /// An entry gets its first catalogue.
    FirstCatalogue {
        entry: usize,
        boot: u64,
    },
    /// A caller gives up an attempt that got no answer.
    AttemptTimeout {
        job: usize,
        attempt: u32,
    },
    /// An entry learns that a caller has closed its connection.
    CallerClosed {
        job: usize,
        attempt: u32,
        entry: usize,
        boot: u64,
    },
    Answered {
        job: usize,
        attempt: u32,
        answer: Option<Answer>,
    },
    Deliver {
        to: Process,
        boot: u64,
        message: Message,
    },
    Call {
        agent: usize,
        boot: u64,
        call: Call,
        gets_answer: bool,
        /// When the backend server took the call that it executes late.
        held_since: Option<u64>,
    },
    /// A lease renewal is answered, because a task has ended or the time to wait is over.
    AnswerRenewal {
        agent: usize,
        boot: u64,
        renewal: u64,
    },
    /// An agent connects to an entry, or tries again later.
    Dial {
        agent: usize,
        entry: usize,
    },
    /// An agent closes the connection to an entry that has been silent since the entry was paused.
    /// `suspended_us` is how long the agent had been suspended when the event was scheduled: the
    /// agent's timers stand still during a suspension, so the event is delayed by suspensions since
    /// then.
    CloseSilentConnection {
        agent: usize,
        entry: usize,
        suspended_us: u64,
    },
    /// Sets the slowdown of a backend server back to its usual value.
    RestoreSpeed(usize, f64),
    /// A backend server announces its state to its agent.
    Announce(usize),
    /// A backend server announces its state to its agent once, besides its regular announcements.
    AnnounceOnce(usize),
    /// An agent sends its next lease renewal.
    NextRenewal {
        agent: usize,
        boot: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Process {
    Entry(usize),
    Agent(usize),
}

/// A message that a process receives from another process or from its backend server. Numbers in
/// messages between entry and agent are connection ids.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Report(u64, Report, Option<Neighbourhood>),
    Order(u64, Order, Option<StartKinds>),
    Connected(u64),
    Disconnected(u64),
    StartAnswer(agent::RunKey, StartAnswer),
    /// Answer to the stop of a run: its start number, and the fencing token of the stop.
    StopAnswer(u64, u64),
    /// Answer to a lease renewal, with the agent's time when the renewal was sent.
    Listing(Listing, u64),
    /// A lease renewal got no answer; whether the connection was refused.
    RenewalFailed(bool),
    /// Another incarnation than the one with this name answered a lease renewal that was sent at
    /// this time of the agent.
    RenewalMisdirected(Arc<str>, u64),
    /// The backend server refused the fencing token of a lease renewal.
    RenewalFenced,
}

/// A call from an agent to its backend server.
#[derive(Debug, Clone)]
pub(super) enum Call {
    Start {
        key: agent::RunKey,
        name: TaskName,
        number: u64,
        lease_until: u64,
        token: u64,
        incarnation: Arc<str>,
        started_at_ms: u64,
        /// When the agent sent the call, as a start may be executed seconds later.
        sent: u64,
    },
    Stop {
        name: TaskName,
        number: u64,
        token: u64,
    },
    /// Renews the lease with a long poll that returns when a task ends. A probe returns at once.
    RenewLease {
        hold: LongPoll,
        id: u64,
        probe: bool,
    },
}
