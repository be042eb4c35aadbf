//! Random simulations of entries, agents and the control row under faults, with one test for each
//! invariant.
//!
//! The environment variable `IBISSPOOL_SEEDS` sets the number of seeds and `IBISSPOOL_FIRST_SEED`
//! the first one. A failed test prints the seed and the last events before the violation.

#[path = "network/network.rs"]
mod network;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

use network::Invariant;

/// Number of seeds without `IBISSPOOL_SEEDS`.
const DEFAULT_SEEDS: u64 = 20_000;

/// Threads that run the simulations.
const THREADS: usize = 4;

/// Most events printed before a violation.
const MAX_PRINTED_EVENTS: usize = 150;

/// Sums over the runs of all seeds.
#[derive(Debug, Default)]
struct Totals {
    starts: usize,
    jobs: usize,
    complete_jobs: usize,
    changes_in_force: usize,
    /// Seed, violated invariant and description of each run with a violation.
    violations: Vec<(u64, Invariant, String)>,
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from_env(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse().expect("the variable must be a number")
    })
}

/// Runs all seeds, only once for all tests of this file.
fn totals() -> &'static Totals {
    static TOTALS: OnceLock<Totals> = OnceLock::new();
    TOTALS.get_or_init(|| {
        let first = number_from_env("IBISSPOOL_FIRST_SEED", 1);
        let end = first + number_from_env("IBISSPOOL_SEEDS", DEFAULT_SEEDS);
        let totals = run_all(first, end);
        println!(
            "seeds {first} to {}: {} jobs, {} complete, {} starts, {} changes in force, {} violations",
            end - 1,
            totals.jobs,
            totals.complete_jobs,
            totals.starts,
            totals.changes_in_force,
            totals.violations.len()
        );
        totals
    })
}

/// Runs the seeds from `first` to before `end`.
fn run_all(first: u64, end: u64) -> Totals {
    let next = AtomicU64::new(first);
    let totals = Mutex::new(Totals::default());
    std::thread::scope(|scope| {
        for _thread in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let outcome = network::run(seed, None, false);
                    let mut totals = totals.lock().unwrap();
                    totals.starts += outcome.starts;
                    totals.jobs += outcome.jobs;
                    totals.complete_jobs += outcome.complete_jobs;
                    totals.changes_in_force += outcome.changes_in_force;
                    if let Some((invariant, description)) = outcome.violation {
                        totals.violations.push((seed, invariant, description));
                    }
                }
            });
        }
    });
    let mut totals = totals.into_inner().unwrap();
    totals.violations.sort();
    totals
}

/// Asserts that no run violates the invariant, and prints the end of the first run that does.
fn assert_holds(invariant: Invariant) {
    let violations: Vec<_> = totals()
        .violations
        .iter()
        .filter(|(_seed, violated, _description)| *violated == invariant)
        .collect();
    if let Some((seed, _invariant, description)) = violations.first() {
        let event_log = network::run(*seed, None, true).event_log;
        println!("seed {seed}: {description}");
        for line in event_log
            .iter()
            .skip(event_log.len().saturating_sub(MAX_PRINTED_EVENTS))
        {
            println!("  {line}");
        }
    }
    assert!(
        violations.is_empty(),
        "violated in {} runs: {violations:#?}",
        violations.len()
    );
}

#[test]
fn runs_complete_jobs_and_bring_changes_into_force() {
    let totals = totals();

    assert!(totals.starts > 0 && totals.complete_jobs > 0 && totals.changes_in_force > 0);
}

#[test]
fn no_task_starts_twice() {
    assert_holds(Invariant::AtMostOneStart);
}

#[test]
fn complete_answers_contain_all_outputs() {
    assert_holds(Invariant::CompleteAnswerIsWhole);
}

#[test]
fn no_task_starts_of_a_job_answered_as_not_run() {
    assert_holds(Invariant::NotRunIsTrue);
}

#[test]
fn no_task_starts_under_an_older_epoch_once_a_change_is_in_force() {
    assert_holds(Invariant::ChangeInForceHolds);
}

#[test]
fn epochs_never_decrease() {
    assert_holds(Invariant::EpochNeverFalls);
}
