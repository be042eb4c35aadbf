//! Cumulative acknowledgement of the outcomes that an entry receives over a connection to an agent.

use std::time::Duration;

use crate::time::Monotonic;

/// Longest wait for an order that can carry the acknowledgement; after it the entry sends an order
/// for the acknowledgement alone.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_secs(1);

/// Count of the outcomes received over one connection and state of their acknowledgement.
#[derive(Debug, Clone, Default)]
pub struct Receipt {
    received_count: u64,
    /// Arrival time of the oldest outcome that is not acknowledged yet.
    oldest_unacknowledged_at: Option<Monotonic>,
}

impl Receipt {
    /// Creates the receipt of a new connection, on which nothing was received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `outcomes` more outcomes arrived at `now`.
    pub fn record(&mut self, outcomes: usize, now: Monotonic) {
        if outcomes > 0 {
            self.received_count += outcomes as u64;
            self.oldest_unacknowledged_at.get_or_insert(now);
        }
    }

    /// Returns the total number of received outcomes, which the next order must acknowledge, and
    /// marks all of them as acknowledged.
    pub fn acknowledge_all(&mut self) -> u64 {
        self.oldest_unacknowledged_at = None;
        self.received_count
    }

    /// Returns whether an acknowledgement is due although no order was sent that could carry it. A
    /// leaving agent waits for its last acknowledgements, so it gets them at once.
    pub fn is_due(&self, leaving: bool, now: Monotonic) -> bool {
        self.oldest_unacknowledged_at
            .is_some_and(|since| leaving || now.since(since) >= MAX_ACKNOWLEDGEMENT_DELAY)
    }
}
