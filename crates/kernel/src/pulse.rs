//! Events of a part between ticks that no load can hold up.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use ibisspool_core::time::Mono;

/// What comes next for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next<M> {
    /// A tick is due.
    Tick,
    /// A message has arrived.
    Message(M),
    /// Every sender is gone.
    Ended,
}

/// Ticks at even intervals.
#[derive(Debug, Clone, Copy)]
pub struct Pulse {
    every: Duration,
    due: Mono,
}

impl Pulse {
    /// Makes a pulse whose first tick is due at `now`.
    pub fn new(every: Duration, now: Mono) -> Self {
        Self { every, due: now }
    }

    /// Waits for a message or the next tick. A tick that is due comes before waiting messages,
    /// so that timeouts and heartbeats go on under load.
    pub fn next<M, F>(&mut self, messages: &Receiver<M>, now: F) -> Next<M>
    where
        F: Fn() -> Mono,
    {
        let present = now();
        if present >= self.due {
            self.due = present.plus(self.every);
            return Next::Tick;
        }
        match messages.recv_timeout(self.due.since(present)) {
            Ok(message) => Next::Message(message),
            Err(RecvTimeoutError::Timeout) => {
                self.due = now().plus(self.every);
                Next::Tick
            }
            Err(RecvTimeoutError::Disconnected) => Next::Ended,
        }
    }
}
