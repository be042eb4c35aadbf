//! Backoff of connection attempts to a lost address.

use std::time::Duration;

use ibisspool_core::spool::reconnect::reconnect_delay;

/// Time that an unanswered attempt takes; the connect timeout of the processes.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(120);

/// Returns the delay from when an address comes back, after being lost for `away`, to the next
/// attempt.
fn delay_until_found(away: Duration) -> Duration {
    let mut now = Duration::ZERO;
    while now < away {
        now += ATTEMPT_TIMEOUT + reconnect_delay(now);
    }
    now.saturating_sub(away)
}

#[test]
fn a_vm_that_restarts_is_found_within_310_ms() {
    for away in (100..1_500).step_by(10) {
        let delay = delay_until_found(Duration::from_millis(away));

        assert!(delay <= Duration::from_millis(310), "{away} ms: {delay:?}");
    }
}

#[test]
fn an_address_that_never_comes_back_gets_at_most_two_attempts_a_second() {
    let pause = reconnect_delay(Duration::from_hours(1));

    assert!(pause + ATTEMPT_TIMEOUT >= Duration::from_millis(500));
}
