//! Deliberate mistakes, each of which the random runs must catch.

#[path = "network/network.rs"]
mod network;

use network::{Mutant, Promise};

/// Most seeds tried for one mistake.
const SEEDS: u64 = 20_000;

/// Seeds between those of the random runs and these.
const FIRST_SEED: u64 = 1_000_000;

/// Asserts that some run breaks the promise with the mistake and keeps all without it.
fn assert_caught(mutant: Mutant, promise: Promise) {
    let caught = (FIRST_SEED..FIRST_SEED + SEEDS).find(|seed| {
        let outcome = network::run(*seed, Some(mutant), false);
        outcome
            .violation
            .is_some_and(|(broken, _what)| broken == promise)
            && network::control(*seed, mutant).violation.is_none()
    });

    println!("{mutant:?}: caught by seed {caught:?}");
    assert!(
        caught.is_some(),
        "{mutant:?} was not caught in {SEEDS} runs"
    );
}

#[test]
fn one_answer_instead_of_a_blocking_set() {
    assert_caught(Mutant::OneAnswer, Promise::InForce);
}

#[test]
fn a_change_in_force_before_the_leases_lapse() {
    assert_caught(Mutant::NoWait, Promise::InForce);
}

#[test]
fn an_agent_without_the_permit_check() {
    assert_caught(Mutant::NoPermitCheck, Promise::InForce);
}

#[test]
fn a_permit_newer_than_the_question_of_the_lease() {
    assert_caught(Mutant::NewestStamp, Promise::InForce);
}

#[test]
fn a_lease_counted_from_the_answer() {
    assert_caught(Mutant::LeaseFromAnswer, Promise::InForce);
}

#[test]
fn another_dispatch_after_an_unknown_outcome() {
    assert_caught(Mutant::RedispatchUnknown, Promise::StartOnce);
}

#[test]
fn an_agent_that_forgets_starts() {
    assert_caught(Mutant::ForgetfulLedger, Promise::StartOnce);
}

#[test]
fn not_run_without_a_lease() {
    assert_caught(Mutant::NoWithoutLease, Promise::NotRun);
}

#[test]
fn a_moved_id_started_without_its_history() {
    assert_caught(Mutant::MovedWithoutAsking, Promise::StartOnce);
}
