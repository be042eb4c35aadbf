//! Simulated loads on the production decision code: how much of the work is completed in time.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/load.rs"]
mod load;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use ibisspool_core::spool::entry::DEFAULT_HOME_AGENTS;
use load::{Load, SECOND_US, measure_and_print, mixed_servers, steady_load};
use world::Fault;

#[test]
fn a_moderate_load_is_served_in_time() {
    let worth = measure_and_print("steady 0.7", &steady_load(0.7)).worth_share;

    assert!(worth >= 0.97, "worth {worth}");
}

#[test]
fn a_load_near_the_capacity_is_mostly_served_in_time() {
    let worth = measure_and_print("steady 0.9", &steady_load(0.9)).worth_share;

    assert!(worth >= 0.9, "worth {worth}");
}

#[test]
fn most_work_is_in_time_despite_a_burst_above_the_capacity() {
    let mut load = steady_load(0.8);
    load.phases.push((2, 5, 1.6, None));

    let worth = measure_and_print("burst to 1.28", &load).worth_share;

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn a_sustained_overload_serves_what_the_servers_can_do() {
    let worth = measure_and_print("steady 1.5", &steady_load(1.5)).worth_share;

    assert!(worth >= 0.6, "worth {worth}");
}

#[test]
fn a_burst_of_long_jobs_leaves_short_jobs_in_time() {
    let mut load = steady_load(0.8);
    load.phases.push((2, 5, 2.0, Some(2)));

    let worth = measure_and_print("burst of long jobs", &load).worth_share;

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn slow_servers_get_only_work_that_meets_its_objective_there() {
    let mut load = steady_load(0.65);
    for server in [1, 4, 8] {
        load.faults
            .push((2 * SECOND_US, Fault::SlowServer(server, 5, 4 * SECOND_US)));
    }

    let worth = measure_and_print("slow servers", &load).worth_share;

    assert!(worth >= 0.85, "worth {worth}");
}

#[test]
fn calls_that_are_executed_late_cost_little_service() {
    let mut load = steady_load(0.65);
    load.late_call_share = 0.05;

    let worth = measure_and_print("late calls", &load).worth_share;

    assert!(worth >= 0.85, "worth {worth}");
}

/// A deployment of 90 servers and 30 entries, where each entry needs only a few servers at a time.
fn large_deployment(factor: f64, home_agents: usize) -> Load {
    Load {
        servers: mixed_servers(90),
        entries: 30,
        home_agents,
        arrival_seconds: 5,
        ..steady_load(factor)
    }
}

#[test]
fn reduced_reports_in_a_large_deployment_do_not_lower_the_service_level() {
    /// Reports per second at each entry: 24 agents report five times a second and 66 once a second,
    /// 115 tasks end per second and cause one report and one heartbeat each, and 50 are the margin.
    const MAX_REPORTS_PER_SECOND: f64 = 24.0 * 5.0 + 66.0 + 2.0 * 115.0 + 50.0;
    let all = measure_and_print("90 servers, all", &large_deployment(0.6, 90));

    let few = measure_and_print(
        "90 servers, few",
        &large_deployment(0.6, DEFAULT_HOME_AGENTS),
    );

    assert!(
        few.reports_per_second < MAX_REPORTS_PER_SECOND,
        "{} reports/s",
        few.reports_per_second
    );
    assert!(
        few.reports_per_second < all.reports_per_second * 0.75,
        "{} reports/s",
        few.reports_per_second
    );
    assert!(
        few.worth_share >= all.worth_share - 0.01,
        "worth {}",
        few.worth_share
    );
}

#[test]
fn a_burst_in_a_large_deployment_uses_servers_with_reduced_reports() {
    let burst = |home_agents| Load {
        phases: vec![(0, 100, 0.6, None), (2, 4, 1.6, None)],
        ..large_deployment(1.0, home_agents)
    };
    let worth_of_all = measure_and_print("burst, 90 servers, all", &burst(90)).worth_share;

    let worth =
        measure_and_print("burst, 90 servers, few", &burst(DEFAULT_HOME_AGENTS)).worth_share;

    assert!(worth >= worth_of_all - 0.02, "worth {worth}");
}
