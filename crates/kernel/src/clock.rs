//! The clocks of a process, read at the edges only.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ibisspool_core::time::{Mono, Now, Wall};

/// Both clocks of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Makes a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the present.
    pub fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            wall: Self::wall(),
        }
    }

    /// Returns the present by the monotonic clock.
    pub fn mono(&self) -> Mono {
        Mono(self.origin.elapsed().as_micros() as u64)
    }

    fn wall() -> Wall {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Wall(since.as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
