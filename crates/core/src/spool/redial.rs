//! When to try a lost address again.
//!
//! Load pattern: many VMs start at once, after a loss of power or a planned restart, and callers
//! wait for the first connections; other addresses never come back.

use std::time::Duration;

/// Part of the time since an address was lost after which it is tried again, so that what was away
/// for long costs few tries and what was away for short is found soon.
const PART: u32 = 8;

/// Shortest pause: one tick of the decisions.
const SHORTEST: Duration = Duration::from_millis(20);

/// Longest pause, part of the second or two that a VM takes to start.
const LONGEST: Duration = Duration::from_millis(400);

/// Returns the pause before the next try to reach an address that was lost some time ago.
pub fn redial_pause(lost: Duration) -> Duration {
    (lost / PART).clamp(SHORTEST, LONGEST)
}
