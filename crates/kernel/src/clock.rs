//! The clocks of a process, read at the edges only.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ibisspool_core::time::{Mono, Now, Wall};
use nix::time::{ClockId, clock_gettime};

/// Both clocks of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Makes a clock whose monotonic time starts now.
    pub fn new() -> Self {
        if SystemTime::now() < UNIX_EPOCH {
            log::warn!("clock: The time of day is before 1970. Set the VM's clock.");
        }
        Self {
            origin: time_since_boot(),
        }
    }

    /// Returns the present.
    pub fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            wall: Self::wall(),
        }
    }

    /// Returns the present by the monotonic clock. It goes on while the VM is suspended, as the
    /// callers' time does.
    pub fn mono(&self) -> Mono {
        Mono(time_since_boot().saturating_sub(self.origin).as_micros() as u64)
    }

    fn wall() -> Wall {
        // Before 1970 counts as 1970: numbers made of it only rise, and too low ones are raised.
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = since.as_millis() as u64;
        Wall(millis.saturating_add_signed(WALL_CLOCK_SHIFT_MS.load(Ordering::Relaxed)))
    }
}

/// By how many milliseconds the time of day of this process was moved.
static WALL_CLOCK_SHIFT_MS: AtomicI64 = AtomicI64::new(0);

/// Moves the time of day of this process, as somebody may set the clock of its VM. Stand-ins play that
/// with it.
pub fn step_time_of_day(millis: i64) {
    WALL_CLOCK_SHIFT_MS.fetch_add(millis, Ordering::Relaxed);
}

/// Returns the time since the VM started, with the time that it was suspended.
///
/// # Panics
/// Panics on systems without such a clock, where no lease could be trusted.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the system has no clock that counts suspended time; run a newer one");
    Duration::from(time)
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
