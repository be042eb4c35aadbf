//! Backoff of connection attempts to an address that was lost.
//!
//! After a power failure or a planned restart many VMs start at once and callers wait for the first
//! connections, so these addresses have to be found soon. Other addresses never come back and must
//! cost few attempts.

use std::time::Duration;

/// The delay is the time since the address was lost divided by this number. It thus grows in
/// proportion to that time, as with exponential backoff.
const LOST_TIME_DIVISOR: u32 = 8;

/// Shortest delay: one tick of an agent.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Longest delay: a fraction of the one to two seconds that a VM takes to start.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Longest delay before the store is asked again that has not answered since the start of the
/// process. It is short because changes of the catalogue must be in force within two seconds.
const MAX_STORE_DELAY: Duration = Duration::from_millis(250);

/// Returns the delay before the store is asked again that has not answered for `silent`. Callers wait
/// for the first answer after a start, so it begins like that of [`reconnect_delay`].
pub fn store_retry_delay(silent: Duration) -> Duration {
    reconnect_delay(silent).min(MAX_STORE_DELAY)
}

/// Returns the delay before the next attempt to connect to an address that was lost `lost` ago.
pub fn reconnect_delay(lost: Duration) -> Duration {
    (lost / LOST_TIME_DIVISOR).clamp(MIN_DELAY, MAX_DELAY)
}
