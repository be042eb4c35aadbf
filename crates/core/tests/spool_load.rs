//! Replayed loads over the real decisions: how much of the work is served in time.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/load.rs"]
mod load;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use ibisspool_core::spool::entry::DEFAULT_FREQUENT_REPORTERS;
use load::{Load, SECOND, report, servers, steady};
use world::Fault;

#[test]
fn a_usual_load_is_served_in_time() {
    let worth = report("steady 0.7", &steady(0.7)).worth;

    assert!(worth >= 0.97, "worth {worth}");
}

#[test]
fn a_load_near_the_capacity_is_mostly_served_in_time() {
    let worth = report("steady 0.9", &steady(0.9)).worth;

    assert!(worth >= 0.9, "worth {worth}");
}

#[test]
fn a_burst_above_the_capacity_leaves_most_in_time() {
    let mut load = steady(0.8);
    load.phases.push((2, 5, 1.6, None));

    let worth = report("burst to 1.28", &load).worth;

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn a_long_overload_serves_what_the_servers_can_do() {
    let worth = report("steady 1.5", &steady(1.5)).worth;

    assert!(worth >= 0.6, "worth {worth}");
}

#[test]
fn a_burst_of_long_jobs_leaves_short_ones_in_time() {
    let mut load = steady(0.8);
    load.phases.push((2, 5, 2.0, Some(2)));

    let worth = report("burst of long jobs", &load).worth;

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn slow_servers_are_left_to_the_work_that_meets_its_objective_there() {
    let mut load = steady(0.65);
    for server in [1, 4, 8] {
        load.faults
            .push((2 * SECOND, Fault::Slow(server, 5, 4 * SECOND)));
    }

    let worth = report("slow servers", &load).worth;

    assert!(worth >= 0.85, "worth {worth}");
}

#[test]
fn orders_without_an_answer_cost_little() {
    let mut load = steady(0.65);
    load.late_orders = 0.05;

    let worth = report("late orders", &load).worth;

    assert!(worth >= 0.85, "worth {worth}");
}

/// Many servers and entries, each of which needs the room of a few servers at a time.
fn large(factor: f64, watched: usize) -> Load {
    Load {
        servers: servers(90),
        entries: 30,
        watched,
        seconds: 5,
        ..steady(factor)
    }
}

#[test]
fn entries_of_a_large_deployment_get_few_reports_and_serve_as_well() {
    /// Reports a second: 24 agents five times and 66 once, the ends of 115 tasks with as many signs
    /// of life, and little else.
    const MOST: f64 = 24.0 * 5.0 + 66.0 + 2.0 * 115.0 + 50.0;
    let all = report("90 servers, all", &large(0.6, 90));

    let few = report("90 servers, few", &large(0.6, DEFAULT_FREQUENT_REPORTERS));

    assert!(few.reports < MOST, "{} reports/s", few.reports);
    assert!(
        few.reports < all.reports * 0.75,
        "{} reports/s",
        few.reports
    );
    assert!(few.worth >= all.worth - 0.01, "worth {}", few.worth);
}

#[test]
fn a_burst_in_a_large_deployment_wakes_the_servers_it_needs() {
    let burst = |watched| Load {
        phases: vec![(0, 100, 0.6, None), (2, 4, 1.6, None)],
        ..large(1.0, watched)
    };
    let worth_of_all = report("burst, 90 servers, all", &burst(90)).worth;

    let worth = report("burst, 90 servers, few", &burst(DEFAULT_FREQUENT_REPORTERS)).worth;

    assert!(worth >= worth_of_all - 0.02, "worth {worth}");
}
