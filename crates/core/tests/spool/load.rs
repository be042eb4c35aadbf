//! Loads with the users' mix: short checks of 8 tasks, quotes of 4 long tasks, holds of 2, on servers
//! of unlike speed, with declared run times that are off by 40%.

use ibisspool_core::spool::entry::{DEFAULT_FREQUENT_REPORTERS, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::world::plan::Tally;
use crate::world::{Fault, Job, MS, Plan, QUEUES, World};

/// Arrivals of each queue against each other.
const MIX: [f64; 3] = [34.4, 100.0, 6.25];

/// Mean tasks and mean work of a task in milliseconds, by queue.
const SHAPE: [(f64, f64); 3] = [(8.0, 60.0), (2.0, 200.0), (4.0, 900.0)];

/// Worth of a job by queue; late it is a fifth.
const WORTH: [f64; 3] = [0.0291, 0.01, 0.16];

/// Thousandths of a core of one task, and rooms of one server.
const TASK_CPU: u32 = 1_600;
const ROOMS: u32 = 10;

/// Time after which a caller leaves that does not wait.
const LEAVES_AFTER: u64 = 100 * MS;

/// Seeds over which a load's worth is averaged.
const SEEDS: u64 = 4;

pub const SECOND: u64 = 1_000 * MS;

/// Seconds that a run goes on after its last job.
const SECONDS_AFTER: u64 = 6;

/// A load as a factor on what the servers can do, over time.
#[derive(Debug, Clone)]
pub struct Load {
    pub servers: Vec<f64>,
    pub entries: usize,
    /// From second, to second, factor, queue that it is about.
    pub phases: Vec<(u64, u64, f64, Option<usize>)>,
    pub faults: Vec<(u64, Fault)>,
    pub late_orders: f64,
    pub watched: usize,
    pub policy: Policy,
    /// Share of the callers that come to the first entry, beside its usual part.
    pub skew: f64,
    /// From second, to second, share of the callers that leave early.
    pub leaving: (u64, u64, f64),
    /// From second, to second, share of the long jobs that can never be done.
    pub poison: (u64, u64, f64),
    pub seconds: u64,
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
            let within = |(from, to, share): (u64, u64, f64), draw: f64| {
                (from..to).contains(&second) && draw < share
            };
            // Drawn whether they are used or not, so that a load without them draws the same jobs.
            let (leaves, fails) = (random.random::<f64>(), random.random::<f64>());
            let leaves = within(load.leaving, leaves);
            let fails = queue == 2 && within(load.poison, fails);
            let budget = (1_500.0 + 3.0 * (1.6 * work + 60.0)) as u64 * MS;
            let job = Job {
                id,
                queue,
                tasks,
                cpu: (spread(&mut random, f64::from(TASK_CPU), 0.2)) as u32,
                work: (work * MS as f64) as u64,
                declared: (declared * MS as f64) as u64,
                budget,
                patience: if leaves { LEAVES_AFTER } else { budget },
                fails,
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
        policy: load.policy,
        skew: load.skew,
        coarse: false,
        faults: load.faults.clone(),
        jobs,
        end: (load.seconds + SECONDS_AFTER) * SECOND,
    }
}

/// Share of the worth that was earned, and share of each queue in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Service {
    pub worth: f64,
    /// Share of the worth that came in the worst second.
    pub worst_second: f64,
    pub in_time: [f64; 3],
    pub late: [f64; 3],
    pub refused: f64,
    pub expired: f64,
    /// Reports a second at each entry.
    pub reports: f64,
}

/// Returns the share of the worth that was earned, by the jobs of each queue.
fn earned<F>(tally: F) -> f64
where
    F: Fn(usize) -> Tally,
{
    let (mut earned, mut owed) = (0.0, 0.0);
    for (queue, worth) in WORTH.iter().enumerate() {
        let tally = tally(queue);
        owed += tally.asked as f64 * worth;
        earned += (tally.in_time as f64 + tally.late as f64 / 5.0) * worth;
    }
    earned / owed
}

fn play(load: &Load, seed: u64) -> Service {
    let outcome = World::new(plan(load, seed)).run();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    let share = |part: fn(&Tally) -> u64| {
        [0, 1, 2].map(|queue| {
            let tally = outcome.tally(queue);
            part(&tally) as f64 / tally.asked.max(1) as f64
        })
    };
    let second = |second| earned(|queue| outcome.tally_within(queue, second..second + 1));
    let entry_seconds = (load.seconds + SECONDS_AFTER) * load.entries as u64;
    Service {
        worth: earned(|queue| outcome.tally(queue)),
        worst_second: (1..load.seconds).map(second).fold(1.0, f64::min),
        in_time: share(|tally| tally.in_time),
        late: share(|tally| tally.late),
        refused: outcome.refused as f64,
        expired: outcome.expired as f64,
        reports: outcome.reports as f64 / entry_seconds as f64,
    }
}

/// Plays a load with several seeds, side by side.
fn play_all(load: &Load) -> Vec<Service> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=SEEDS)
            .map(|seed| scope.spawn(move || play(load, seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("no promise is broken"))
            .collect()
    })
}

fn mean(played: &[Service]) -> Service {
    let mean =
        |part: &dyn Fn(&Service) -> f64| played.iter().map(part).sum::<f64>() / played.len() as f64;
    Service {
        worth: mean(&|service| service.worth),
        worst_second: mean(&|service| service.worst_second),
        in_time: [0, 1, 2].map(|queue| mean(&|service| service.in_time[queue])),
        late: [0, 1, 2].map(|queue| mean(&|service| service.late[queue])),
        refused: mean(&|service| service.refused),
        expired: mean(&|service| service.expired),
        reports: mean(&|service| service.reports),
    }
}

/// Plays a load with several seeds and returns the means.
pub fn measure(load: &Load) -> Service {
    mean(&play_all(load))
}

/// Plays a load with several seeds, prints what each served, and returns the means.
pub fn report(name: &str, load: &Load) -> Service {
    let played = play_all(load);
    for service in &played {
        println!(
            "{name:<28} worth {:.3}; in time {}; late {}; {} refused, {} expired",
            service.worth,
            by_queue(service.in_time),
            by_queue(service.late),
            service.refused,
            service.expired
        );
    }
    let mean = mean(&played);
    println!(
        "{name:<28} mean worth {:.3}, {:.0} reports/s an entry",
        mean.worth, mean.reports
    );
    mean
}

pub fn by_queue(shares: [f64; 3]) -> String {
    let share = |queue: usize| format!("{} {:.3}", QUEUES[queue].0, shares[queue]);
    [share(0), share(1), share(2)].join(" ")
}

/// Servers of unlike speed, as run times against the usual.
pub fn servers(count: usize) -> Vec<f64> {
    let speeds = [0.6, 1.0, 1.6];
    (0..count).map(|index| 1.0 / speeds[index % 3]).collect()
}

pub fn steady(factor: f64) -> Load {
    Load {
        servers: servers(18),
        entries: 4,
        phases: vec![(0, 100, factor, None)],
        faults: Vec::new(),
        late_orders: 0.0,
        watched: DEFAULT_FREQUENT_REPORTERS,
        policy: Policy::default(),
        skew: 0.0,
        leaving: (0, 0, 0.0),
        poison: (0, 0, 0.0),
        seconds: 8,
    }
}
