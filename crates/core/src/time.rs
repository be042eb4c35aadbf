//! Points in time that callers pass to every decision.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on one process's monotonic clock; meaningless to any other process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the point `delay` later.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_micros() as u64))
    }

    /// Returns the time since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Milliseconds since the Unix epoch on one machine's wall clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Returns the point `delay` later.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_millis() as u64))
    }

    /// Returns the time since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// The present by both clocks of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// The monotonic clock, for leases, timeouts and stamps.
    pub mono: Mono,
    /// The wall clock, for the creation time within job ids only.
    pub wall: Wall,
}
