//! Time bounds that keep two attempts of one job apart.
//!
//! A caller that lost its connection submits the job again after a known delay. Until then nothing
//! of the first attempt may run: `silence + stop_patience + lease / SLOWEST_CLOCK + MARGIN` must
//! stay below that delay.

use std::time::Duration;

use thiserror::Error;

/// Rate of the slowest steady clock of a backend server, against true time (2% slow).
pub const SLOWEST_CLOCK: f64 = 0.98;

/// Time for hops between processes and for timers that fire late: three hops of up to 20 ms and
/// two ticks of 20 ms.
const MARGIN: Duration = Duration::from_millis(100);

/// Share of the usable delay for the silence of an entry.
const SILENCE_SHARE: f64 = 1.0 / 3.0;

/// Share of the usable delay for stops without confirmation.
const STOP_SHARE: f64 = 1.0 / 8.0;

/// Share of the usable delay for the lease at the backend server.
const LEASE_SHARE: f64 = 1.0 / 2.0;

/// Shortest lease that an agent on a slow VM can renew in time (two rounds of 100 ms).
const SHORTEST_LEASE: Duration = Duration::from_millis(200);

/// The bounds cannot be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "a job resubmitted after {resubmit:?} may overlap its first attempt by up to {excess:?}; \
     let callers wait at least {needed:?}"
)]
pub struct Error {
    /// Delay of a resubmission.
    pub resubmit: Duration,
    /// Longest time that a first attempt can go on.
    pub needed: Duration,
    /// How much the delay falls short.
    pub excess: Duration,
}

/// The bounds of one deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safety {
    /// An agent stops the tasks of an entry that was silent for this long.
    pub silence: Duration,
    /// An agent stops renewing the lease once a stop went unconfirmed for this long.
    pub stop_patience: Duration,
    /// Length of the lease under which a backend server runs tasks.
    pub lease: Duration,
    /// Delay after which a caller submits a job again.
    pub resubmit: Duration,
}

impl Safety {
    /// Derives the bounds from the delay of a resubmission and the longest lease allowed.
    pub fn new(resubmit: Duration, longest_lease: Duration) -> Self {
        let usable = resubmit.saturating_sub(MARGIN);
        Self {
            silence: usable.mul_f64(SILENCE_SHARE),
            stop_patience: usable.mul_f64(STOP_SHARE),
            lease: usable
                .mul_f64(LEASE_SHARE)
                .max(SHORTEST_LEASE)
                .min(longest_lease),
            resubmit,
        }
    }

    /// Returns the longest time that anything of an abandoned attempt can still run.
    pub fn longest_overrun(&self) -> Duration {
        self.silence + self.stop_patience + self.longest_lease() + MARGIN
    }

    /// Returns the longest true time that the lease can last.
    pub fn longest_lease(&self) -> Duration {
        self.lease.div_f64(SLOWEST_CLOCK)
    }

    /// Checks that an abandoned attempt ends before the job can be submitted again.
    ///
    /// # Errors
    /// Fails if the delay of a resubmission is too short.
    pub fn check(&self) -> Result<(), Error> {
        let needed = self.longest_overrun();
        let excess = needed.saturating_sub(self.resubmit);
        if excess.is_zero() {
            return Ok(());
        }
        Err(Error {
            resubmit: self.resubmit,
            needed,
            excess,
        })
    }
}
