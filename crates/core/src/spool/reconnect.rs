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

/// Returns the delay before the next attempt to connect to an address that was lost `lost` ago.
pub fn reconnect_delay(lost: Duration) -> Duration {
    (lost / LOST_TIME_DIVISOR).clamp(MIN_DELAY, MAX_DELAY)
}
