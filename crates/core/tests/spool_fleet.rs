//! Simulated loads on hundreds of servers that tens of entries choose among.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/load.rs"]
mod load;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use std::time::Duration;

use load::{Load, StartDelays, large_load, measure_start_delays};

const ENTRIES: usize = 55;

/// Time from the submission of a job to its first start that the users ask for on a calm day.
const MAX_MEDIAN_DELAY: Duration = Duration::from_millis(6);
const MAX_P95_DELAY: Duration = Duration::from_millis(30);

/// Returns the start delays on the servers of the large deployment at `factor` times their capacity.
fn start_delays(factor: f64) -> StartDelays {
    let load = Load {
        arrival_seconds: 3,
        ..large_load(factor, ENTRIES)
    };
    measure_start_delays(&load)
}

/// Most tasks find the room that their entry expects, although tens of entries place tasks on the
/// same servers at the same time.
#[test]
fn few_tasks_of_many_entries_find_a_full_server() {
    let delays = start_delays(0.58);

    assert!(
        delays.returned_share < 0.25,
        "share {}",
        delays.returned_share
    );
}

#[test]
fn jobs_of_many_entries_start_within_the_target_at_three_quarters_of_the_capacity() {
    let delays = start_delays(0.75);

    assert!(delays.median <= MAX_MEDIAN_DELAY, "{delays:?}");
    assert!(delays.p95 <= MAX_P95_DELAY, "{delays:?}");
}
