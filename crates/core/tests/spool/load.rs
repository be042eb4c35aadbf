//! Load generator with the users' mix of jobs, played in the simulation: short checks of 8 tasks,
//! venue holds of 2 tasks and quotes of 4 long tasks, on servers of different speed, with declared
//! run times that are off by 40%.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisspool_core::spool::agent;
use ibisspool_core::spool::entry::{DEFAULT_HOME_AGENTS, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::world::scenario::Tally;
use crate::world::{Fault, Job, LongTasks, MS, QUEUES, RunResult, Scenario, World};

/// Relative arrival rate of each queue.
const ARRIVAL_WEIGHTS: [f64; 3] = [34.4, 100.0, 6.25];

/// Mean number of tasks per job and mean run time of a task in milliseconds, by queue.
const MEAN_TASKS_AND_WORK_MS: [(f64, f64); 3] = [(8.0, 60.0), (2.0, 200.0), (4.0, 900.0)];

/// Worth to the users of a job completed in time, by queue. A late one is worth a fifth.
const WORTH_PER_JOB: [f64; 3] = [0.0291, 0.01, 0.16];

/// Mean CPU of a task in thousandths of a core.
const TASK_CPU: u32 = 1_600;
/// Number of such tasks that a server can run at a time.
const SLOTS_PER_SERVER: u32 = 10;

/// CPU of the servers of the large deployment in thousandths of a core, repeated in this order.
const LARGE_SERVER_CPU: [u32; 3] = [16_000, 16_000, 24_000];
/// Speeds of the servers of the large deployment, repeated in this order.
const LARGE_SERVER_SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
/// Mean CPU of a task in the large deployment in thousandths of a core.
const LARGE_TASK_CPU: u32 = 3_800;

/// Time after which an impatient caller closes its connection.
const EARLY_LEAVER_PATIENCE_US: u64 = 100 * MS;

/// Usual number of seeds over which the results are averaged.
const SEEDS: u64 = 4;

/// Microseconds per second.
pub const SECOND_US: u64 = 1_000 * MS;

/// Time that a run goes on after the last job was submitted.
const DRAIN_SECONDS: u64 = 6;

/// A load as a multiple of the servers' total capacity over time. Ranges are in seconds, with the
/// end excluded.
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of a simulated deployment"
)]
#[derive(Debug, Clone)]
pub struct Load {
    /// Slowdown of each backend server.
    pub servers: Vec<f64>,
    /// CPU of the backend servers in thousandths of a core, repeated in this order.
    pub server_cpu: Vec<u32>,
    /// Mean CPU of a task in thousandths of a core.
    pub task_cpu: u32,
    pub entries: usize,
    /// From second, to second, factor on the arrival rate, and the queue that the factor applies to
    /// (all if `None`). Factors of overlapping phases are multiplied.
    pub phases: Vec<(u64, u64, f64, Option<usize>)>,
    pub faults: Vec<(u64, Fault)>,
    pub late_call_share: f64,
    pub home_agents: usize,
    /// Time from the start of an entry to its first catalogue.
    pub catalogue_after_us: u64,
    /// Whether a request waits for that catalogue. Otherwise it is refused.
    pub waits_for_catalogue: bool,
    /// Time between two attempts of an agent to connect to an entry.
    pub redial_us: u64,
    pub policy: Policy,
    pub agent_policy: agent::Policy,
    pub long_tasks: LongTasks,
    /// As in [`Scenario`].
    pub separates_interfering: bool,
    /// As in [`Scenario`].
    pub interference: Vec<(usize, usize, f64)>,
    /// Share of the callers that are sent to the first entry. The rest is spread over all entries.
    pub first_entry_share: f64,
    /// Share of the messages between entries that is lost, and the time that one takes.
    pub lost_gossip_share: f64,
    pub gossip_delay_us: u64,
    /// Whether waiting jobs give way to more urgent ones.
    pub sheds_waiting: bool,
    /// Whether a caller whose job was refused submits it again after the retry delay.
    pub retries_refusals: bool,
    /// From second, to second, share of the callers that close their connection early.
    pub early_leavers: (u64, u64, f64),
    /// From second, to second, share of the jobs of the long queue that fail on every server.
    pub unservable: (u64, u64, f64),
    /// Seconds during which jobs are submitted.
    pub arrival_seconds: u64,
    /// Number of seeds over which the results are averaged.
    pub seeds: u64,
}

/// Draws a number around `mean`, roughly normal with the standard deviation `relative_deviation *
/// mean`, and at least a quarter of `mean`.
fn random_around(random: &mut SmallRng, mean: f64, relative_deviation: f64) -> f64 {
    let sum: f64 = (0..4).map(|_| random.random_range(-1.0..1.0)).sum();
    mean * (1.0 + relative_deviation * sum / 1.15).max(0.25)
}

/// Draws the jobs of a load and returns the scenario for the simulation.
fn draw_scenario(load: &Load, seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let total: f64 = ARRIVAL_WEIGHTS.iter().sum();
    let work_ms_of = |queue: usize| {
        MEAN_TASKS_AND_WORK_MS[queue].0 * MEAN_TASKS_AND_WORK_MS[queue].1 * ARRIVAL_WEIGHTS[queue]
            / total
    };
    let work: f64 = (0..3).map(work_ms_of).sum();
    let server_cpu = load.server_cpu.iter().copied().cycle();
    let executors: Vec<(u32, f64)> = server_cpu.zip(load.servers.iter().copied()).collect();
    let slots: f64 = executors
        .iter()
        .map(|(cpu, slowness)| f64::from(*cpu) / f64::from(load.task_cpu) / slowness)
        .sum();
    let jobs_per_second_at_capacity = slots * 1_000.0 / (work * load.long_tasks.mean_factor());
    let mut jobs = Vec::new();
    let mut id = seed * 1_000_000;
    for queue in 0..3 {
        let mut at = 500.0;
        let end = (load.arrival_seconds * 1_000) as f64;
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
            let rate =
                jobs_per_second_at_capacity * factor * ARRIVAL_WEIGHTS[queue] / total / 1_000.0;
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            id += 1;
            let work = random_around(&mut random, MEAN_TASKS_AND_WORK_MS[queue].1, 0.4);
            let tasks = random_around(&mut random, MEAN_TASKS_AND_WORK_MS[queue].0, 0.4)
                .round()
                .max(1.0) as u32;
            let declared = work * random.random_range(0.7..1.6);
            let within = |(from, to, share): (u64, u64, f64), draw: f64| {
                (from..to).contains(&second) && draw < share
            };
            // Both numbers are drawn even if they aren't used, so that loads with and without early
            // leavers or unservable jobs have the same jobs otherwise.
            let (leaves_early, always_fails) = (random.random::<f64>(), random.random::<f64>());
            let leaves_early = within(load.early_leavers, leaves_early);
            let always_fails = queue == 2 && within(load.unservable, always_fails);
            let budget_us = (1_500.0 + 3.0 * (1.6 * work + 60.0)) as u64 * MS;
            let job = Job {
                id,
                queue,
                tasks,
                steps: 1,
                labels: [None; 2],
                spread_limit: None,
                cpu: (random_around(&mut random, f64::from(load.task_cpu), 0.2)) as u32,
                work_us: (work * MS as f64) as u64,
                declared_us: (declared * MS as f64) as u64,
                budget_us,
                patience_us: if leaves_early {
                    EARLY_LEAVER_PATIENCE_US
                } else {
                    budget_us
                },
                always_fails,
            };
            jobs.push(((at * MS as f64) as u64, job));
        }
    }
    Scenario {
        seed,
        entries: load.entries,
        executors,
        kinds: Vec::new(),
        connections_outlast_servers: true,
        mutant: None,
        late_call_share: load.late_call_share,
        lost_answer_share: 0.0,
        home_agents: load.home_agents,
        catalogue_after_us: load.catalogue_after_us,
        waits_for_catalogue: load.waits_for_catalogue,
        redial_us: load.redial_us,
        policy: load.policy,
        agent_policy: load.agent_policy,
        long_tasks: load.long_tasks,
        separates_interfering: load.separates_interfering,
        interference: load.interference.clone(),
        first_entry_share: load.first_entry_share,
        lost_gossip_share: load.lost_gossip_share,
        gossip_delay_us: load.gossip_delay_us,
        retries_refusals: load.retries_refusals,
        sheds_waiting: load.sheds_waiting,
        coarse_agent_clock: false,
        faults: load.faults.clone(),
        jobs,
        end_us: (load.arrival_seconds + DRAIN_SECONDS) * SECOND_US,
    }
}

/// Service level of a run, or the mean over several runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceLevel {
    /// Worth of the completed jobs divided by the worth of all servable jobs.
    pub worth_share: f64,
    /// Lowest share of the worth among the seconds in which jobs were submitted, without the first
    /// one.
    pub worst_second_worth: f64,
    /// Share of the servable jobs completed in time, by queue.
    pub in_time: [f64; 3],
    /// Share of the servable jobs completed late, by queue.
    pub late: [f64; 3],
    /// Jobs completed at any time, and attempts refused or expired.
    pub completed: f64,
    pub refused: f64,
    pub expired: f64,
    /// Runs that were stopped or lost before their end.
    pub lost_runs: f64,
    /// Work of these runs in core-seconds, by queue.
    pub lost_work: [f64; 3],
    /// Refused and expired attempts, and wasted core-seconds, by queue.
    pub refused_by_queue: [f64; 3],
    pub expired_by_queue: [f64; 3],
    pub wasted_by_queue: [f64; 3],
    /// Median and 99th percentile of the time to a refusal in milliseconds.
    pub refusal_ms: [f64; 2],
    /// Reports per second that each entry receives.
    pub reports_per_second: f64,
    /// Mean run time divided by that without interference, by queue; 0 without interference.
    pub stretch: [f64; 3],
    /// Pairs of queues that an entry keeps apart at the end.
    pub separated_pairs: f64,
}

/// Returns the worth of the completed jobs divided by the worth of all servable jobs.
fn worth_share_of<F>(tally: F) -> f64
where
    F: Fn(usize) -> Tally,
{
    let (mut earned_worth, mut submitted_worth) = (0.0, 0.0);
    for (queue, worth) in WORTH_PER_JOB.iter().enumerate() {
        let tally = tally(queue);
        submitted_worth += tally.submitted as f64 * worth;
        earned_worth += (tally.in_time as f64 + tally.late as f64 / 5.0) * worth;
    }
    earned_worth / submitted_worth
}

/// Returns a percentile of times in microseconds, as milliseconds; 0 without any.
fn percentile_ms(times_us: &[u64], percent: usize) -> f64 {
    let mut sorted = times_us.to_vec();
    sorted.sort_unstable();
    let position = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or_default() as f64 / MS as f64
}

/// Runs a load with one seed and returns its service level.
fn run_seed(load: &Load, seed: u64) -> ServiceLevel {
    let result = World::new(draw_scenario(load, seed)).run();
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    let share = |count: fn(&Tally) -> u64| {
        [0, 1, 2].map(|queue| {
            let tally = result.tally_of(queue);
            count(&tally) as f64 / tally.submitted.max(1) as f64
        })
    };
    let second = |second| worth_share_of(|queue| result.tally_between(queue, second..second + 1));
    let entry_seconds = (load.arrival_seconds + DRAIN_SECONDS) * load.entries as u64;
    ServiceLevel {
        worth_share: worth_share_of(|queue| result.tally_of(queue)),
        worst_second_worth: (1..load.arrival_seconds).map(second).fold(1.0, f64::min),
        in_time: share(|tally| tally.in_time),
        late: share(|tally| tally.late),
        completed: result.completed as f64,
        refused: result.refused as f64,
        expired: result.expired as f64,
        lost_runs: result.retries.get("lost").copied().unwrap_or_default() as f64,
        lost_work: result.lost_work,
        refused_by_queue: result.refused_by_queue.map(|count| count as f64),
        expired_by_queue: result.expired_by_queue.map(|count| count as f64),
        wasted_by_queue: result.wasted_cpu_s,
        refusal_ms: [50, 99].map(|percent| percentile_ms(&result.refused_after_us, percent)),
        reports_per_second: result.reports as f64 / entry_seconds as f64,
        stretch: [0, 1, 2].map(|queue| {
            let (sum, count) = result.stretch.get(&queue).copied().unwrap_or_default();
            sum / count.max(1) as f64
        }),
        separated_pairs: result
            .interference
            .iter()
            .filter(|named| named.pair.is_separated)
            .count() as f64,
    }
}

/// Runs a load with several seeds in parallel.
fn run_all_seeds(load: &Load) -> Vec<ServiceLevel> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=load.seeds)
            .map(|seed| scope.spawn(move || run_seed(load, seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("no run violates an invariant"))
            .collect()
    })
}

fn mean(played: &[ServiceLevel]) -> ServiceLevel {
    let mean = |relative_deviation: &dyn Fn(&ServiceLevel) -> f64| {
        played.iter().map(relative_deviation).sum::<f64>() / played.len() as f64
    };
    ServiceLevel {
        worth_share: mean(&|service| service.worth_share),
        worst_second_worth: mean(&|service| service.worst_second_worth),
        in_time: [0, 1, 2].map(|queue| mean(&|service| service.in_time[queue])),
        late: [0, 1, 2].map(|queue| mean(&|service| service.late[queue])),
        completed: mean(&|service| service.completed),
        refused: mean(&|service| service.refused),
        expired: mean(&|service| service.expired),
        lost_runs: mean(&|service| service.lost_runs),
        lost_work: [0, 1, 2].map(|queue| mean(&|service| service.lost_work[queue])),
        refused_by_queue: [0, 1, 2].map(|queue| mean(&|service| service.refused_by_queue[queue])),
        expired_by_queue: [0, 1, 2].map(|queue| mean(&|service| service.expired_by_queue[queue])),
        wasted_by_queue: [0, 1, 2].map(|queue| mean(&|service| service.wasted_by_queue[queue])),
        refusal_ms: [0, 1].map(|index| mean(&|service| service.refusal_ms[index])),
        reports_per_second: mean(&|service| service.reports_per_second),
        stretch: [0, 1, 2].map(|queue| mean(&|service| service.stretch[queue])),
        separated_pairs: mean(&|service| service.separated_pairs),
    }
}

/// Runs a load with several seeds and returns the mean service level.
pub fn measure(load: &Load) -> ServiceLevel {
    mean(&run_all_seeds(load))
}

/// Runs a load with several seeds and returns the counts of each queue for jobs submitted in a range
/// of seconds, summed over the runs, and what happened to jobs that could not be placed yet.
pub fn tally_by_queue(
    load: &Load,
    seconds: std::ops::Range<u64>,
    seeds: u64,
) -> ([Tally; 3], BTreeMap<&'static str, u64>) {
    let results: Vec<RunResult> = std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || World::new(draw_scenario(load, seed)).run()))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("the run ends"))
            .collect()
    });
    let mut startup_jobs = BTreeMap::new();
    for result in &results {
        assert!(result.violations.is_empty(), "{:?}", result.violations);
        for (what, count) in &result.startup_jobs {
            *startup_jobs.entry(*what).or_default() += count;
        }
    }
    let tallies = [0, 1, 2].map(|queue| {
        let tallies = results
            .iter()
            .map(|result| result.tally_between(queue, seconds.clone()));
        tallies.fold(Tally::default(), |sum, tally| Tally {
            submitted: sum.submitted + tally.submitted,
            in_time: sum.in_time + tally.in_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
    });
    (tallies, startup_jobs)
}

/// Returns the worth of the completed jobs divided by the worth of all.
pub fn worth_of(tallies: &[Tally; 3]) -> f64 {
    worth_share_of(|queue| tallies[queue])
}

/// How soon jobs started in a run.
#[derive(Debug, Clone, Copy)]
pub struct StartDelays {
    /// Tasks that came back from a full server, divided by the started ones.
    pub returned_share: f64,
    /// Median time from the submission of a job to the start of its first task.
    pub median: Duration,
    /// 95th percentile of that time.
    pub p95: Duration,
}

/// Runs a load with one seed and returns how soon its jobs started.
pub fn measure_start_delays(load: &Load) -> StartDelays {
    let result = World::new(draw_scenario(load, 1)).run();
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    let mut delays_us = result.first_start_us;
    delays_us.sort_unstable();
    let percentile =
        |percent: usize| Duration::from_micros(delays_us[delays_us.len() * percent / 100]);
    let returned = result.retries.get("busy").copied().unwrap_or_default();
    let delays = StartDelays {
        returned_share: returned as f64 / result.starts as f64,
        median: percentile(50),
        p95: percentile(95),
    };
    println!("{delays:?}");
    delays
}

/// Runs a load with several seeds, prints the service level of each run and returns the mean.
pub fn measure_and_print(name: &str, load: &Load) -> ServiceLevel {
    let played = run_all_seeds(load);
    for service in &played {
        println!(
            "{name:<28} worth {:.3}; in time {}; late {}; {} refused, {} expired",
            service.worth_share,
            format_by_queue(service.in_time),
            format_by_queue(service.late),
            service.refused,
            service.expired
        );
    }
    let mean = mean(&played);
    println!(
        "{name:<28} mean worth {:.3}, {:.0} reports/s an entry",
        mean.worth_share, mean.reports_per_second
    );
    mean
}

pub fn format_by_queue(shares: [f64; 3]) -> String {
    let share = |queue: usize| format!("{} {:.3}", QUEUES[queue].0, shares[queue]);
    [share(0), share(1), share(2)].join(" ")
}

/// Slowdowns of servers of three speeds: 0.6, 1 and 1.6 times the typical one.
pub fn mixed_servers(count: usize) -> Vec<f64> {
    let speeds = [0.6, 1.0, 1.6];
    (0..count).map(|index| 1.0 / speeds[index % 3]).collect()
}

/// Load of `factor` times the capacity on 18 servers and 4 entries, without faults.
pub fn steady_load(factor: f64) -> Load {
    Load {
        servers: mixed_servers(18),
        server_cpu: vec![SLOTS_PER_SERVER * TASK_CPU],
        task_cpu: TASK_CPU,
        entries: 4,
        phases: vec![(0, 100, factor, None)],
        faults: Vec::new(),
        late_call_share: 0.0,
        home_agents: DEFAULT_HOME_AGENTS,
        catalogue_after_us: 0,
        waits_for_catalogue: true,
        redial_us: 200 * MS,
        policy: Policy::default(),
        agent_policy: agent::Policy::default(),
        long_tasks: LongTasks::default(),
        separates_interfering: false,
        interference: Vec::new(),
        first_entry_share: 0.0,
        lost_gossip_share: 0.0,
        gossip_delay_us: 2 * MS,
        retries_refusals: false,
        sheds_waiting: false,
        early_leavers: (0, 0, 0.0),
        unservable: (0, 0, 0.0),
        arrival_seconds: 8,
        seeds: SEEDS,
    }
}

/// Load of `factor` times the capacity on the 240 servers of the large deployment, whose tasks need
/// about a quarter of a server each.
pub fn large_load(factor: f64, entries: usize) -> Load {
    let speeds = LARGE_SERVER_SPEEDS.iter().cycle().take(240);
    Load {
        servers: speeds.map(|speed| 1.0 / speed).collect(),
        server_cpu: LARGE_SERVER_CPU.to_vec(),
        task_cpu: LARGE_TASK_CPU,
        entries,
        arrival_seconds: 5,
        ..steady_load(factor)
    }
}
