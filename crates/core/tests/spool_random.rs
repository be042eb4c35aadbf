//! Random runs of the spool under faults: no task runs twice at a time, no server gets more than
//! it holds, a job that was refused each time has not run.
//!
//! `IBISSPOOL_SEEDS` sets the number of seeds and `IBISSPOOL_FIRST_SEED` the first one.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use ibisspool_core::spool::entry::{DEFAULT_FREQUENT_REPORTERS, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::plan::distinct;
use world::{Fault, Job, MS, Mutant, Plan, Seen, World};

/// Seeds of a run without `IBISSPOOL_SEEDS`.
const SEEDS: u64 = 1_500;

/// Seeds within which each deliberate mistake has to be caught.
const MUTANT_SEEDS: u64 = 4_000;

/// Threads that share the seeds.
const THREADS: usize = 4;

fn number(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).map_or(otherwise, |text| {
        text.parse().expect("the variable must be a number")
    })
}

fn fault(random: &mut SmallRng, entries: usize, servers: usize) -> Fault {
    let entry = random.random_range(0..entries);
    let server = random.random_range(0..servers);
    let time = [50, 300, 700, 1_500, 4_000][random.random_range(0..5)] * MS;
    match random.random_range(0..9) {
        0 => Fault::KillEntry(entry, time),
        1 => Fault::KillAgent(server, time),
        2 | 3 => Fault::PauseEntry(entry, time),
        4 => Fault::PauseAgent(server, time),
        5 => Fault::Reset(entry, server),
        6 => Fault::Reborn(server),
        7 => Fault::Slow(server, random.random_range(2..8), time),
        _ => {
            let (up, down) =
                [(true, true), (true, false), (false, true)][random.random_range(0..3)];
            Fault::Cut(entry, server, time, up, down)
        }
    }
}

/// Draws agents that sleep again and again, each time for less than the lease, while an entry is
/// silent: there a clock that stands still in a pause does harm.
fn naps(random: &mut SmallRng, entries: usize, servers: usize) -> Vec<(u64, Fault)> {
    let begin = random.random_range(900..2_500);
    let entry = random.random_range(0..entries);
    let mut faults = vec![(begin * MS, Fault::PauseEntry(entry, 4_000 * MS))];
    for server in 0..servers {
        for nap in 0..3 {
            let at = begin + 100 + nap * 570 + random.random_range(0..60);
            faults.push((at * MS, Fault::PauseAgent(server, 520 * MS)));
        }
    }
    faults
}

/// Draws jumps of the time of day, each soon followed by a new start of the agent. What is drawn leaves
/// the other faults of a seed as they are.
fn steps(seed: u64, servers: usize) -> Vec<(u64, Fault)> {
    let mut random = SmallRng::seed_from_u64(!seed);
    let jumps = (0..random.random_range(1..4)).flat_map(|_| {
        let server = random.random_range(0..servers);
        let at = random.random_range(600..5_000) * MS;
        let back = [50, 300][random.random_range(0..2)] * MS;
        let jump = random.random_range(-6_000..6_000);
        let start = at + random.random_range(0..200) * MS;
        [
            (at, Fault::Step(server, jump)),
            (start, Fault::KillAgent(server, back)),
        ]
    });
    jumps.collect()
}

/// Draws backend servers that end and start again; what is drawn leaves the other faults as they are.
fn crashes(seed: u64, servers: usize) -> Vec<(u64, Fault)> {
    let mut random = SmallRng::seed_from_u64(!seed);
    let crashes = (0..random.random_range(1..5)).map(|_| {
        let server = random.random_range(0..servers);
        let dark = [5, 60, 400][random.random_range(0..3)] * MS;
        (
            random.random_range(600..6_000) * MS,
            Fault::Crash(server, dark),
        )
    });
    crashes.collect()
}

/// Draws an entry that stands still just after a job came, while its caller leaves and asks another
/// entry: what the entry finds when it goes on is out of date.
fn absence(random: &mut SmallRng, entries: usize, jobs: &mut [(u64, Job)]) -> (u64, Fault) {
    let index = random.random_range(0..jobs.len());
    let (at, job) = &mut jobs[index];
    job.budget = 2_800 * MS;
    job.patience = random.random_range(50..800) * MS;
    job.work = random.random_range(900..3_000) * MS;
    let entry = random.random_range(0..entries);
    let length = random.random_range(1_400..3_500) * MS;
    let begin = *at + random.random_range(2..50) * MS;
    (begin, Fault::PauseEntry(entry, length))
}

/// Draws a plan of few jobs whose callers ask again, and many faults.
fn plan(seed: u64, mutant: Option<Mutant>) -> Plan {
    let mut random = SmallRng::seed_from_u64(seed);
    let entries = random.random_range(2..4);
    let servers = random.random_range(2..4);
    let executors = (0..servers)
        .map(|_| {
            (
                random.random_range(2..6) * 1_000,
                random.random_range(0.8..2.0),
            )
        })
        .collect();
    let mut jobs: Vec<(u64, Job)> = (0..random.random_range(4..20))
        .map(|index| {
            let work = [60, 200, 900, 3_000][random.random_range(0..4)] * MS;
            let budget = [1_000, 1_500, 2_800][random.random_range(0..3)] * MS;
            let leaves_early = random.random_bool(0.3);
            let job = Job {
                id: seed * 1_000 + index,
                queue: random.random_range(0..3),
                tasks: random.random_range(1..4),
                cpu: 1_000,
                work,
                declared: work * random.random_range(60..140) / 100,
                budget,
                patience: if leaves_early {
                    budget * random.random_range(10..90) / 100
                } else {
                    budget
                },
                fails: random.random_bool(0.05),
            };
            (random.random_range(500..4_000) * MS, job)
        })
        .collect();
    let mut faults: Vec<(u64, Fault)> = (0..random.random_range(2..9))
        .map(|_| {
            let at = random.random_range(600..6_000) * MS;
            (at, fault(&mut random, entries, servers))
        })
        .collect();
    if mutant == Some(Mutant::SteadyClock) {
        faults = naps(&mut random, entries, servers);
    }
    if random.random_bool(0.3) {
        faults.push(absence(&mut random, entries, &mut jobs));
    }
    if random.random_bool(0.2) {
        faults.push((random.random_range(600..4_000) * MS, Fault::Drain(0)));
    }
    if seed.is_multiple_of(4) {
        faults.append(&mut steps(seed, servers));
    } else if seed.is_multiple_of(2) {
        faults.append(&mut crashes(seed, servers));
    }
    let late_orders = if random.random_bool(0.5) { 0.15 } else { 0.0 };
    let lost_answers = if random.random_bool(0.3) { 0.1 } else { 0.0 };
    Plan {
        seed,
        entries,
        executors,
        mutant,
        late_orders,
        lost_answers,
        policy: Policy::default(),
        skew: 0.0,
        coarse: seed.is_multiple_of(5),
        // In every other run the agents rest in turn.
        watched: if seed.is_multiple_of(2) {
            1
        } else {
            DEFAULT_FREQUENT_REPORTERS
        },
        faults,
        jobs,
        end: 14_000 * MS,
    }
}

fn run_all(first: u64, count: u64, mutant: Option<Mutant>, stop_early: bool) -> Vec<(u64, Seen)> {
    let next = AtomicU64::new(first);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let result = World::new(plan(seed, mutant)).run();
                    let broken = !result.violations.is_empty();
                    results
                        .lock()
                        .expect("no thread panics")
                        .push((seed, result));
                    if broken && stop_early {
                        next.store(first + count, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    results.into_inner().expect("no thread panics")
}

#[test]
fn no_promise_is_broken_under_faults() {
    let first = number("IBISSPOOL_FIRST_SEED", 1);
    let count = number("IBISSPOOL_SEEDS", SEEDS);

    let seen = run_all(first, count, None, false);

    let sum = |of: fn(&Seen) -> u64| seen.iter().map(|(_seed, seen)| of(seen)).sum::<u64>();
    println!(
        "seeds {first} to {}: {} starts, {} jobs complete, {} resubmissions, {} refusals",
        first + count - 1,
        sum(|seen| seen.starts),
        sum(|seen| seen.completed),
        sum(|seen| seen.resubmitted),
        sum(|seen| seen.refused),
    );
    let broken: Vec<_> = seen
        .iter()
        .filter(|(_seed, seen)| !seen.violations.is_empty())
        .map(|(seed, seen)| (seed, &seen.violations[0]))
        .take(5)
        .collect();
    assert!(broken.is_empty(), "broken promises: {broken:#?}");
    assert!(
        sum(|seen| seen.completed) > count,
        "the runs serve too little to say anything"
    );
    assert!(
        sum(|seen| seen.resubmitted) > count / 2,
        "the runs resubmit too little"
    );
}

/// Seeds that broke a promise once: 17727, an entry that went on after a pause sent a task again
/// before it saw that the caller had left; 10, a list asked for before a run was known, at the same
/// reading of a coarse clock, made an agent take the run for lost.
const ONCE_BROKEN: [u64; 2] = [17_727, 10];

#[test]
fn seeds_that_broke_a_promise_once_keep_it() {
    for seed in ONCE_BROKEN {
        let seen = World::new(plan(seed, None)).run();

        assert!(seen.violations.is_empty(), "{seed}: {:?}", seen.violations);
    }
}

fn is_caught(mutant: Mutant) -> bool {
    run_all(1, MUTANT_SEEDS, Some(mutant), true)
        .iter()
        .any(|(_seed, seen)| !seen.violations.is_empty())
}

#[test]
fn an_order_that_starts_whatever_its_echo_is_caught() {
    assert!(is_caught(Mutant::FreshEcho));
}

#[test]
fn a_clock_that_stands_still_in_a_pause_is_caught() {
    assert!(is_caught(Mutant::SteadyClock));
}

#[test]
fn an_agent_that_waits_for_a_silent_entry_is_caught() {
    assert!(is_caught(Mutant::Patient));
}

#[test]
fn a_lease_that_is_too_long_is_caught() {
    assert!(is_caught(Mutant::LongLease));
}

#[test]
fn an_entry_that_keeps_jobs_of_callers_who_left_is_caught() {
    assert!(is_caught(Mutant::NoClose));
}

#[test]
fn orphans_that_run_elsewhere_at_once_are_caught() {
    assert!(is_caught(Mutant::HastyOrphans));
}

#[test]
fn the_lease_covers_for_stops_that_never_arrive() {
    let first = number("IBISSPOOL_FIRST_SEED", 1);
    let count = number("IBISSPOOL_SEEDS", SEEDS);

    let seen = run_all(first, count, Some(Mutant::NoStop), false);

    let twice = |seen: &Seen| seen.violations.iter().any(|text| text.contains("twice"));
    let broken: Vec<u64> = seen
        .iter()
        .filter(|(_seed, seen)| twice(seen))
        .map(|(seed, _seen)| *seed)
        .collect();
    assert!(broken.is_empty(), "seeds {broken:?} run a task twice");
}

#[test]
fn plans_give_each_job_an_id_of_its_own() {
    for seed in 1..50 {
        assert!(distinct(&plan(seed, None).jobs));
    }
}
