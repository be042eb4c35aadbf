//! What happens in a run, and what processes and backend servers tell each other.

use std::sync::Arc;

use ibisspool_core::spool::agent::{self, Listing, LongPoll, StartAnswer};
use ibisspool_core::spool::entry::Answer;
use ibisspool_core::spool::job::TaskName;
use ibisspool_core::spool::message::{Order, Report};

use super::Fault;

#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick,
    Fault(Fault),
    Revive(Process),
    Wake(Process),
    Submit {
        job: usize,
        attempt: u32,
        entry: usize,
    },
    GiveUp {
        job: usize,
        attempt: u32,
    },
    Close {
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
        answered: bool,
    },
    HoldOver {
        agent: usize,
        boot: u64,
        hold: u64,
    },
    Dial {
        agent: usize,
        entry: usize,
    },
    /// An agent gives up the connection to an entry that has been silent since its pause began,
    /// unless the agent has slept meanwhile: its timers stood still then.
    GiveUpLink {
        agent: usize,
        entry: usize,
        slept: u64,
    },
    Restore(usize, f64),
    Announce(usize),
    NextHold {
        agent: usize,
        boot: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Process {
    Entry(usize),
    Agent(usize),
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    Report(u64, Report),
    Order(u64, Order),
    Connected(u64),
    Ended(u64),
    StartAnswer(agent::RunKey, StartAnswer),
    StopAnswer(u64),
    Listing(Listing, u64),
    /// With the time at which it was asked for, and whether nobody listened.
    HoldFailed(u64, bool),
}

#[derive(Debug, Clone)]
pub(super) enum Call {
    Start {
        key: agent::RunKey,
        name: TaskName,
        number: u64,
        until: u64,
        token: u64,
        incarnation: Arc<str>,
        sent: u64,
    },
    Stop {
        name: TaskName,
        number: u64,
        token: u64,
    },
    Hold {
        hold: LongPoll,
        id: u64,
        probe: bool,
    },
}
