//! The monotonic and the wall clock of a process. Only code that does I/O reads them; the state
//! machines in `ibisspool_core` get the time as an argument.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ibisspool_core::time::{Monotonic, Now, Wall};
use nix::time::{ClockId, clock_gettime};

/// The monotonic and the wall clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn new() -> Self {
        if SystemTime::now() < UNIX_EPOCH {
            log::warn!("clock: The wall clock is before 1970. Set the VM's clock.");
        }
        Self {
            origin: time_since_boot(),
        }
    }

    /// Returns the present by both clocks.
    pub fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            wall: Self::wall(),
        }
    }

    /// Returns the present by the monotonic clock, which also counts the time while the VM is
    /// suspended, since callers' deadlines and leases go on meanwhile.
    pub fn mono(&self) -> Monotonic {
        Monotonic(time_since_boot().saturating_sub(self.origin).as_micros() as u64)
    }

    /// Returns the time from the start of the VM to the creation of this clock.
    pub fn vm_time_at_start(&self) -> Duration {
        self.origin
    }

    fn wall() -> Wall {
        // A time before 1970 counts as 1970. Numbers that are derived from the wall clock are
        // raised above earlier ones anyway, so one that starts too low does no harm.
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = since.as_millis() as u64;
        Wall(millis.saturating_add_signed(WALL_CLOCK_SHIFT_MS.load(Ordering::Relaxed)))
    }
}

/// Milliseconds that are added to the wall clock of this process.
static WALL_CLOCK_SHIFT_MS: AtomicI64 = AtomicI64::new(0);

/// Moves the wall clock of this process by some milliseconds. Tests use it to simulate a VM whose
/// clock is set.
pub fn shift_wall_clock(millis: i64) {
    WALL_CLOCK_SHIFT_MS.fetch_add(millis, Ordering::Relaxed);
}

/// Returns the time since the VM started, including the time that it was suspended.
///
/// # Panics
/// Panics on systems without `CLOCK_BOOTTIME`: a lease could outlast its time there.
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
