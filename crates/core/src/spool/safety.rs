//! Time bounds that keep two attempts of one job from running at the same time.
//!
//! A caller that lost its connection submits the job again after a known delay. By then no task of
//! the first attempt may still run, whatever has failed. In the worst case three bounds add up: the
//! agent notices that the entry is silent, its stop requests remain unconfirmed, and the lease
//! under which the backend server runs tasks expires. The following must not exceed that delay:
//!
//! `entry_silence_limit + unconfirmed_stop_limit + lease / SLOWEST_CLOCK_RATE + LATENCY_MARGIN`

use std::time::Duration;

use thiserror::Error;

/// Rate of the slowest monotonic clock of a backend server relative to true time (2% slow).
pub const SLOWEST_CLOCK_RATE: f64 = 0.98;

/// Time for messages and late timers: three messages of up to 20 ms and two ticks of 20 ms.
const LATENCY_MARGIN: Duration = Duration::from_millis(100);

/// Share of the delay, less [`LATENCY_MARGIN`], for `entry_silence_limit`.
const SILENCE_SHARE: f64 = 1.0 / 3.0;

/// Share of the delay, less [`LATENCY_MARGIN`], for `unconfirmed_stop_limit`.
const STOP_SHARE: f64 = 1.0 / 8.0;

/// Share of the delay, less [`LATENCY_MARGIN`], for `lease`.
const LEASE_SHARE: f64 = 1.0 / 2.0;

/// Shortest lease that an agent on a slow VM can renew in time (two round trips of 100 ms).
const MIN_LEASE: Duration = Duration::from_millis(200);

/// The delay of a resubmission is too short for the bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "a job resubmitted after {resubmit:?} may overlap its first attempt by up to {excess:?}; \
     let callers wait at least {needed:?}"
)]
pub struct Error {
    /// Configured delay after which a caller submits a job again.
    pub resubmit: Duration,
    /// Longest time that the first attempt can run on, and so the least safe delay.
    pub needed: Duration,
    /// Time by which the delay is too short.
    pub excess: Duration,
}

/// Time bounds of one deployment, the same in all its entries and agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safety {
    /// An agent stops the tasks of an entry that has echoed no report of the agent sent within this
    /// time.
    pub entry_silence_limit: Duration,
    /// An agent no longer renews the lease of its backend server while a stop request has been
    /// unconfirmed for longer than this.
    pub unconfirmed_stop_limit: Duration,
    /// Duration of the lease on the backend server's clock. The server ends all tasks when its
    /// lease expires.
    pub lease: Duration,
    /// Longest lease that a backend server grants, on its clock. It shortens a longer one to that.
    pub longest_lease: Duration,
    /// Delay after which a caller that lost its connection submits the job again.
    pub resubmit_delay: Duration,
}

impl Safety {
    /// Derives the bounds from the delay of a resubmission. The lease is at most `max_lease`.
    ///
    /// A short delay can give bounds that do not hold, which [`Self::check`] finds.
    pub fn new(resubmit: Duration, max_lease: Duration) -> Self {
        let usable = resubmit.saturating_sub(LATENCY_MARGIN);
        Self {
            entry_silence_limit: usable.mul_f64(SILENCE_SHARE),
            unconfirmed_stop_limit: usable.mul_f64(STOP_SHARE),
            lease: usable.mul_f64(LEASE_SHARE).max(MIN_LEASE).min(max_lease),
            longest_lease: max_lease,
            resubmit_delay: resubmit,
        }
    }

    /// Returns the longest time for which the tasks of an entry can still run at an agent after the
    /// entry failed or lost its connection to the agent.
    pub fn max_overrun(&self) -> Duration {
        self.entry_silence_limit
            + self.unconfirmed_stop_limit
            + self.max_lease_duration()
            + LATENCY_MARGIN
    }

    /// Returns the longest true time that the lease can last if the server's clock is slow.
    pub fn max_lease_duration(&self) -> Duration {
        self.lease.div_f64(SLOWEST_CLOCK_RATE)
    }

    /// Returns the longest true time that any lease can last if the server's clock is slow, even one
    /// whose end was counted on another clock.
    pub fn longest_lease_duration(&self) -> Duration {
        self.longest_lease
            .max(self.lease)
            .div_f64(SLOWEST_CLOCK_RATE)
    }

    /// Checks that the first attempt of a job has ended before a caller submits the job again.
    ///
    /// # Errors
    /// Returns an error if the delay of a resubmission is shorter than [`Self::max_overrun`].
    pub fn check(&self) -> Result<(), Error> {
        let needed = self.max_overrun();
        let excess = needed.saturating_sub(self.resubmit_delay);
        if excess.is_zero() {
            return Ok(());
        }
        Err(Error {
            resubmit: self.resubmit_delay,
            needed,
            excess,
        })
    }
}
