//! Replayed loads over the real decisions: how much of the work is served in time.
//!
//! The mix is that of the users: short checks of 8 tasks, quotes of 4 long tasks, holds of 2, on
//! servers of unlike speed, with declared run times that are off by 40%.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use ibisspool_core::spool::entry::WATCHED;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{Fault, Job, MS, Plan, QUEUES, Seen, World};

/// Arrivals of each queue against each other.
const MIX: [f64; 3] = [34.4, 100.0, 6.25];

/// Mean tasks and mean work of a task in milliseconds, by queue.
const SHAPE: [(f64, f64); 3] = [(8.0, 60.0), (2.0, 200.0), (4.0, 900.0)];

/// Worth of a job by queue; late it is a fifth.
const WORTH: [f64; 3] = [0.0291, 0.01, 0.16];

/// Thousandths of a core of one task, and rooms of one server.
const TASK_CPU: u32 = 1_600;
const ROOMS: u32 = 10;

/// Seeds over which a load's worth is averaged.
const SEEDS: u64 = 4;

const SECOND: u64 = 1_000 * MS;

/// A load as a factor on what the servers can do, over time.
struct Load {
    servers: Vec<f64>,
    entries: usize,
    /// From second, to second, factor, queue that it is about.
    phases: Vec<(u64, u64, f64, Option<usize>)>,
    faults: Vec<(u64, Fault)>,
    late_orders: f64,
    watched: usize,
    seconds: u64,
}

fn spread(random: &mut SmallRng, mean: f64, part: f64) -> f64 {
    let sum: f64 = (0..4).map(|_| random.random_range(-1.0..1.0)).sum();
    mean * (1.0 + part * sum / 1.15).max(0.25)
}

/// Draws the jobs of a load.
fn plan(load: &Load, seed: u64) -> Plan {
    let mut random = SmallRng::seed_from_u64(seed);
    let total: f64 = MIX.iter().sum();
    let work_of = |queue: usize| SHAPE[queue].0 * SHAPE[queue].1 * MIX[queue] / total;
    let work: f64 = (0..3).map(work_of).sum();
    let rooms: f64 = load
        .servers
        .iter()
        .map(|slowness| f64::from(ROOMS) / slowness)
        .sum();
    let full = rooms * 1_000.0 / work;
    let mut jobs = Vec::new();
    let mut id = seed * 1_000_000;
    for queue in 0..3 {
        let mut at = 500.0;
        let end = (load.seconds * 1_000) as f64;
        while at < end {
            let second = at as u64 / 1_000;
            let factor: f64 = load
                .phases
                .iter()
                .filter(|(from, to, _factor, only)| {
                    (*from..*to).contains(&second) && only.is_none_or(|only| only == queue)
                })
                .map(|phase| phase.2)
                .product();
            let rate = full * factor * MIX[queue] / total / 1_000.0;
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            id += 1;
            let work = spread(&mut random, SHAPE[queue].1, 0.4);
            let tasks = spread(&mut random, SHAPE[queue].0, 0.4).round().max(1.0) as u32;
            let declared = work * random.random_range(0.7..1.6);
            let budget = (1_500.0 + 3.0 * (1.6 * work + 60.0)) as u64 * MS;
            let job = Job {
                id,
                queue,
                tasks,
                cpu: (spread(&mut random, f64::from(TASK_CPU), 0.2)) as u32,
                work: (work * MS as f64) as u64,
                declared: (declared * MS as f64) as u64,
                budget,
                patience: budget,
                fails: false,
            };
            jobs.push(((at * MS as f64) as u64, job));
        }
    }
    Plan {
        seed,
        entries: load.entries,
        executors: load
            .servers
            .iter()
            .map(|slowness| (ROOMS * TASK_CPU, *slowness))
            .collect(),
        mutant: None,
        late_orders: load.late_orders,
        lost_answers: 0.0,
        watched: load.watched,
        faults: load.faults.clone(),
        jobs,
        end: load.seconds * SECOND + 6 * SECOND,
    }
}

/// Share of the worth that was earned, and share of each queue in time.
struct Service {
    worth: f64,
    in_time: [f64; 3],
    late: [f64; 3],
}

fn play(load: &Load, seed: u64) -> (Service, Seen) {
    let outcome = World::new(plan(load, seed)).run();
    let mut result = Service {
        worth: 0.0,
        in_time: [0.0; 3],
        late: [0.0; 3],
    };
    let (mut earned, mut owed) = (0.0, 0.0);
    for (queue, worth) in WORTH.iter().enumerate() {
        let tally = outcome.tally(queue);
        owed += tally.asked as f64 * worth;
        earned += (tally.in_time as f64 + tally.late as f64 / 5.0) * worth;
        result.in_time[queue] = tally.in_time as f64 / tally.asked.max(1) as f64;
        result.late[queue] = tally.late as f64 / tally.asked.max(1) as f64;
    }
    result.worth = earned / owed;
    (result, outcome)
}

/// Plays a load with several seeds and returns the mean worth.
fn report(name: &str, load: &Load) -> f64 {
    report_with_messages(name, load).0
}

/// Plays a load with several seeds and returns the mean worth, and how many reports a second each
/// entry gets.
fn report_with_messages(name: &str, load: &Load) -> (f64, f64) {
    let (mut worth, mut reports) = (0.0, 0.0);
    for seed in 1..=SEEDS {
        let (service, seen) = play(load, seed);
        let shares = |of: [f64; 3]| {
            let share = |queue: usize| format!("{} {:.3}", QUEUES[queue].0, of[queue]);
            [share(0), share(1), share(2)].join(" ")
        };
        println!(
            "{name:<28} worth {:.3}; in time {}; late {}; {} refused, {} expired",
            service.worth,
            shares(service.in_time),
            shares(service.late),
            seen.refused,
            seen.expired
        );
        assert!(seen.violations.is_empty(), "{:?}", seen.violations);
        worth += service.worth / SEEDS as f64;
        let seconds = (load.seconds + 6) * load.entries as u64 * SEEDS;
        reports += seen.reports as f64 / seconds as f64;
    }
    println!("{name:<28} mean worth {worth:.3}, {reports:.0} reports/s an entry");
    (worth, reports)
}

/// Servers of unlike speed, as run times against the usual.
fn servers(count: usize) -> Vec<f64> {
    let speeds = [0.6, 1.0, 1.6];
    (0..count).map(|index| 1.0 / speeds[index % 3]).collect()
}

fn steady(factor: f64) -> Load {
    Load {
        servers: servers(18),
        entries: 4,
        phases: vec![(0, 100, factor, None)],
        faults: Vec::new(),
        late_orders: 0.0,
        watched: WATCHED,
        seconds: 8,
    }
}

#[test]
fn a_usual_load_is_served_in_time() {
    let worth = report("steady 0.7", &steady(0.7));

    assert!(worth >= 0.97, "worth {worth}");
}

#[test]
fn a_load_near_the_capacity_is_mostly_served_in_time() {
    let worth = report("steady 0.9", &steady(0.9));

    assert!(worth >= 0.9, "worth {worth}");
}

#[test]
fn a_burst_above_the_capacity_leaves_most_in_time() {
    let mut load = steady(0.8);
    load.phases.push((2, 5, 1.6, None));

    let worth = report("burst to 1.28", &load);

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn a_long_overload_serves_what_the_servers_can_do() {
    let worth = report("steady 1.5", &steady(1.5));

    assert!(worth >= 0.6, "worth {worth}");
}

#[test]
fn a_burst_of_long_jobs_leaves_short_ones_in_time() {
    let mut load = steady(0.8);
    load.phases.push((2, 5, 2.0, Some(2)));

    let worth = report("burst of long jobs", &load);

    assert!(worth >= 0.75, "worth {worth}");
}

#[test]
fn slow_servers_are_left_to_the_work_that_meets_its_objective_there() {
    let mut load = steady(0.65);
    for server in [1, 4, 8] {
        load.faults
            .push((2 * SECOND, Fault::Slow(server, 5, 4 * SECOND)));
    }

    let worth = report("slow servers", &load);

    assert!(worth >= 0.85, "worth {worth}");
}

#[test]
fn orders_without_an_answer_cost_little() {
    let mut load = steady(0.65);
    load.late_orders = 0.05;

    let worth = report("late orders", &load);

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
    let (worth_of_all, reports_of_all) = report_with_messages("90 servers, all", &large(0.6, 90));

    let (worth, reports) = report_with_messages("90 servers, few", &large(0.6, WATCHED));

    assert!(reports < MOST, "{reports} reports/s");
    assert!(reports < reports_of_all * 0.75, "{reports} reports/s");
    assert!(worth >= worth_of_all - 0.01, "worth {worth}");
}

#[test]
fn a_burst_in_a_large_deployment_wakes_the_servers_it_needs() {
    let burst = |watched| Load {
        phases: vec![(0, 100, 0.6, None), (2, 4, 1.6, None)],
        ..large(1.0, watched)
    };
    let worth_of_all = report("burst, 90 servers, all", &burst(90));

    let worth = report("burst, 90 servers, few", &burst(WATCHED));

    assert!(worth >= worth_of_all - 0.02, "worth {worth}");
}
