//! Points in time. The decision code reads no clock; its callers pass the present time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process. Values of different processes cannot be
/// compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Monotonic(pub u64);

impl Monotonic {
    /// Returns the time `delay` later, saturating at the largest value.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_micros() as u64))
    }

    /// Returns the duration since `earlier`, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Milliseconds since the Unix epoch by the wall clock of one machine.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Returns the time `delay` later, saturating at the largest value.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_millis() as u64))
    }

    /// Returns the duration since `earlier`, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// The present time by both clocks of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// Monotonic time, for leases, timeouts and permits.
    pub mono: Monotonic,
    /// Wall time, compared with the creation times within job ids and written into the control row.
    pub wall: Wall,
}
