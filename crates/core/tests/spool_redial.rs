//! When lost addresses are tried again.

use std::time::Duration;

use ibisspool_core::spool::redial::redial_pause;

/// Time of one try that nobody answers, as at the edge.
const TRY: Duration = Duration::from_millis(120);

/// Returns after which delay an address that comes back after `away` is tried.
fn found_after(away: Duration) -> Duration {
    let mut now = Duration::ZERO;
    while now < away {
        now += TRY + redial_pause(now);
    }
    now.saturating_sub(away)
}

#[test]
fn a_vm_that_restarts_is_found_soon() {
    for away in (100..1_500).step_by(10) {
        let delay = found_after(Duration::from_millis(away));

        assert!(delay <= Duration::from_millis(310), "{away} ms: {delay:?}");
    }
}

#[test]
fn an_address_that_never_comes_back_costs_two_tries_a_second() {
    let pause = redial_pause(Duration::from_hours(1));

    assert!(pause + TRY >= Duration::from_millis(500));
}
