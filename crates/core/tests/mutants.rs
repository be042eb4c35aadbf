//! Mutation tests of the simulation: for each deliberate fault in the protocol, some random run
//! must violate the invariant that the fault endangers. An invariant that no fault can violate
//! would check nothing.

#[path = "network/network.rs"]
mod network;

use network::{Invariant, Mutant};

/// Most seeds tried for one mutant.
const MAX_SEEDS: u64 = 20_000;

/// First seed, beyond those of the random runs without mutants.
const FIRST_SEED: u64 = 1_000_000;

/// Asserts that some run violates the invariant with the mutant and none without it.
fn assert_caught(mutant: Mutant, invariant: Invariant) {
    let catching_seed = (FIRST_SEED..FIRST_SEED + MAX_SEEDS).find(|seed| {
        let outcome = network::run(*seed, Some(mutant), false);
        outcome
            .violation
            .is_some_and(|(violated, _description)| violated == invariant)
            && network::run_without_mutant(*seed, mutant)
                .violation
                .is_none()
    });

    println!("{mutant:?}: caught by seed {catching_seed:?}");
    assert!(
        catching_seed.is_some(),
        "{mutant:?} was not caught in {MAX_SEEDS} runs"
    );
}

#[test]
fn counting_one_answer_as_a_blocking_set_is_caught() {
    assert_caught(
        Mutant::SingleAnswerAsBlockingSet,
        Invariant::ChangeInForceHolds,
    );
}

#[test]
fn change_counted_as_in_force_before_the_leases_lapse_is_caught() {
    assert_caught(Mutant::NoWaitForLeases, Invariant::ChangeInForceHolds);
}

#[test]
fn agent_without_a_check_of_the_permit_is_caught() {
    assert_caught(Mutant::NoPermitCheck, Invariant::ChangeInForceHolds);
}

#[test]
fn permit_newer_than_the_heartbeats_of_the_lease_is_caught() {
    assert_caught(Mutant::NewestStampAsPermit, Invariant::ChangeInForceHolds);
}

#[test]
fn lease_counted_from_the_answer_is_caught() {
    assert_caught(Mutant::LeaseFromAnswerTime, Invariant::ChangeInForceHolds);
}

#[test]
fn second_dispatch_after_an_unknown_outcome_is_caught() {
    assert_caught(Mutant::RedispatchUnknown, Invariant::AtMostOneStart);
}

#[test]
fn agent_that_forgets_starts_is_caught() {
    assert_caught(Mutant::AgentForgetsStarts, Invariant::AtMostOneStart);
}

#[test]
fn answer_not_run_without_a_lease_is_caught() {
    assert_caught(Mutant::NotRunWithoutLease, Invariant::NotRunIsTrue);
}

#[test]
fn moved_id_accepted_without_an_inquiry_is_caught() {
    assert_caught(Mutant::MovedIdWithoutInquiry, Invariant::AtMostOneStart);
}
