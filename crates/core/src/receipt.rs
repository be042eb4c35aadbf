//! How many outcomes an entry has received over a connection and acknowledged.

use std::time::Duration;

use crate::time::Mono;

/// Longest wait for an order that can carry an acknowledgement.
const WAIT: Duration = Duration::from_secs(1);

/// Outcomes received over one connection.
#[derive(Debug, Clone, Default)]
pub struct Receipt {
    received: u64,
    /// When the oldest outcome arrived that is not acknowledged.
    waiting: Option<Mono>,
}

impl Receipt {
    /// Makes the receipt of a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records outcomes that arrived at `now`.
    pub fn record(&mut self, outcomes: usize, now: Mono) {
        if outcomes > 0 {
            self.received += outcomes as u64;
            self.waiting.get_or_insert(now);
        }
    }

    /// Returns the number to acknowledge in an order that leaves now.
    pub fn take(&mut self) -> u64 {
        self.waiting = None;
        self.received
    }

    /// Returns whether an acknowledgement is due for which no order came along.
    pub fn is_due(&self, leaving: bool, now: Mono) -> bool {
        self.waiting
            .is_some_and(|since| leaving || now.since(since) >= WAIT)
    }
}
