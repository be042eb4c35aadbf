//! Event source of a thread: messages from its mailbox, and ticks that are on time under any load.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use ibisspool_core::time::Monotonic;

/// The next event of a thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TickerEvent<M> {
    /// A tick is due.
    Tick,
    /// A message has arrived.
    Message(M),
    /// Every sender of the mailbox was dropped.
    Disconnected,
}

/// Mixes ticks at a fixed interval into the messages of a mailbox.
#[derive(Debug, Clone, Copy)]
pub struct Ticker {
    interval: Duration,
    next_tick: Monotonic,
}

impl Ticker {
    /// Creates a ticker whose first tick is due at `now`.
    pub fn new(interval: Duration, now: Monotonic) -> Self {
        Self {
            interval,
            next_tick: now,
        }
    }

    /// Waits for a message or the next tick. A tick that is due comes before queued messages, so
    /// that timeouts and heartbeats are handled in time while the queue is never empty.
    pub fn next_event<M, F>(&mut self, messages: &Receiver<M>, now: F) -> TickerEvent<M>
    where
        F: Fn() -> Monotonic,
    {
        let present = now();
        if present >= self.next_tick {
            self.next_tick = present.plus(self.interval);
            return TickerEvent::Tick;
        }
        match messages.recv_timeout(self.next_tick.since(present)) {
            Ok(message) => TickerEvent::Message(message),
            Err(RecvTimeoutError::Timeout) => {
                self.next_tick = now().plus(self.interval);
                TickerEvent::Tick
            }
            Err(RecvTimeoutError::Disconnected) => TickerEvent::Disconnected,
        }
    }
}
