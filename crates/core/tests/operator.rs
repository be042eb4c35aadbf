//! Operators' changes: how they are written, confirmed or rejected, and their effect on agents.

#[path = "fixture/region.rs"]
mod region;

use std::time::Duration;

use ibisspool_core::control::Row;
use ibisspool_core::entry::operator::{ChangeResult, Edit, RejectionReason, ServiceState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use region::{Region, data_centre, put};

fn is_in_force(end: &ChangeResult) -> bool {
    matches!(end, ChangeResult::InForce { .. })
}

/// Returns the reason for which a change was rejected, `None` if it was not.
fn reason(end: &ChangeResult) -> Option<RejectionReason> {
    match end {
        ChangeResult::NotAccepted { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Returns the detail for the operator, empty if the answer has none.
fn detail(end: &ChangeResult) -> String {
    match end {
        ChangeResult::NotAccepted { detail, .. } | ChangeResult::Unsettled { detail } => {
            detail.clone()
        }
        _ => String::new(),
    }
}

#[test]
fn catalogue_change_reaches_every_entry_before_it_is_in_force() {
    let mut region = Region::start(3);

    let end = region.change(0, "c1", put("audit"));

    assert!(is_in_force(&end), "{end:?}");
    for entry in &region.entries {
        assert!(entry.catalogue().kind("audit").is_some());
    }
}

#[test]
fn change_that_a_majority_cannot_confirm_is_written_and_names_the_missing_entries() {
    let mut region = Region::start(3);
    region.isolated = vec![1, 2];
    region.isolated_reach_store = false;

    let end = region.change(0, "c1", data_centre("north", ServiceState::Out));

    let ChangeResult::Written { unconfirmed, .. } = end else {
        panic!("expected a written change, got {end:?}");
    };
    assert_eq!(unconfirmed, ["entry-1", "entry-2"]);
}

#[test]
fn row_write_whose_answer_is_lost_is_found_by_reading_and_not_made_twice() {
    let mut region = Region::start(3);
    let before = region.row().epoch;
    region.lose_answers = 1;

    let end = region.change(0, "c1", data_centre("north", ServiceState::Out));

    assert!(is_in_force(&end), "{end:?}");
    assert_eq!(region.row().epoch, before + 1);
}

#[test]
fn change_is_soon_in_force_even_if_every_answer_to_a_write_is_lost() {
    let mut region = Region::start(3);
    let before = region.row().catalogue;
    region.lose_answers = u32::MAX;

    let end = region.change(0, "c1", put("audit"));

    let ChangeResult::InForce { after_ms, .. } = end else {
        panic!("expected a change in force, got {end:?}");
    };
    assert!(after_ms <= 3_500, "{after_ms}");
    assert_eq!(region.row().catalogue, before + 1);
}

#[test]
fn catalogue_version_that_another_change_used_is_skipped() {
    let mut region = Region::start(3);
    let taken = region.row().catalogue + 1;
    region.write_orphan_catalogue(taken);

    let end = region.change(0, "c1", put("audit"));

    assert!(is_in_force(&end), "{end:?}");
    assert_eq!(region.row().catalogue, taken + 1);
}

#[test]
fn catalogue_whose_read_was_not_answered_is_read_again() {
    let mut region = Region::start(3);
    region.lose_reads = 1;

    let end = region.change(0, "c1", put("audit"));

    assert!(is_in_force(&end), "{end:?}");
}

#[test]
fn second_of_two_racing_changes_is_rejected_and_the_detail_names_the_first() {
    let mut region = Region::start(3);

    let first = region.ask(0, "c1", put("audit"), false);
    let second = region.ask(1, "c2", put("baseline"), false);
    let (first, second) = (region.wait(first), region.wait(second));

    let (winner, rejected) = if is_in_force(&first) {
        ("c1", second)
    } else {
        ("c2", first)
    };
    assert_eq!(
        reason(&rejected),
        Some(RejectionReason::Conflict),
        "{rejected:?}"
    );
    assert!(detail(&rejected).contains(winner), "{rejected:?}");
    let ids: Vec<String> = region.row().changes.into_iter().map(|c| c.id).collect();
    assert_eq!(ids, [winner]);
}

#[test]
fn change_is_in_force_even_if_the_members_change_while_it_is_written() {
    let mut region = Region::start(3);

    let asked = region.ask(0, "c1", data_centre("north", ServiceState::Out), false);
    region.write_row(|row, now| row.with_change("join-other", now));
    let end = region.wait(asked);

    assert!(is_in_force(&end), "{end:?}");
}

#[test]
fn change_during_an_outage_of_the_table_is_unsettled_until_it_is_repeated() {
    let mut region = Region::start(3);
    region.is_store_down = true;

    let unsettled = region.change(0, "c1", data_centre("north", ServiceState::Out));
    region.is_store_down = false;
    let repeated = region.change(1, "c1", data_centre("north", ServiceState::Out));

    assert!(
        matches!(unsettled, ChangeResult::Unsettled { .. }),
        "{unsettled:?}"
    );
    assert!(is_in_force(&repeated), "{repeated:?}");
    assert_eq!(region.row().changes.len(), 1);
}

#[test]
fn change_at_an_entry_without_a_lease_is_rejected() {
    let mut region = Region::start(3);
    region.isolated = vec![0];
    region.advance(Duration::from_secs(2));

    let end = region.change(0, "c1", data_centre("north", ServiceState::Out));

    assert_eq!(reason(&end), Some(RejectionReason::NoLease));
}

#[test]
fn taking_the_last_data_centre_out_needs_force_and_the_detail_names_the_kinds() {
    let mut region = Region::start(3);
    region.attach(0, "backend-0", "north");
    region.attach(0, "backend-1", "south");
    region.change(0, "c1", data_centre("north", ServiceState::Out));

    let rejected = region.change(0, "c2", data_centre("south", ServiceState::Out));
    let forced = region.ask(0, "c3", data_centre("south", ServiceState::Out), true);
    let forced = region.wait(forced);

    assert_eq!(reason(&rejected), Some(RejectionReason::NeedsForce));
    assert!(detail(&rejected).contains("kind echo"), "{rejected:?}");
    assert!(is_in_force(&forced), "{forced:?}");
}

#[test]
fn taking_the_only_backend_server_of_a_kind_out_needs_force() {
    let mut region = Region::start(3);
    region.attach(0, "backend-0", "north");
    let name = "backend-0".to_owned();
    let state = ServiceState::Out;

    let rejected = region.change(0, "c1", Edit::Backend { name, state });

    assert_eq!(reason(&rejected), Some(RejectionReason::NeedsForce));
}

#[test]
fn change_of_an_unknown_data_centre_is_rejected_and_the_detail_has_the_known_names() {
    let mut region = Region::start(3);

    let end = region.change(0, "c1", data_centre("nrth", ServiceState::Out));

    assert_eq!(reason(&end), Some(RejectionReason::Invalid));
    assert!(detail(&end).contains("north, south"), "{end:?}");
}

#[test]
fn unstarted_tasks_of_a_data_centre_taken_out_are_recalled_and_no_more_are_sent() {
    let mut region = Region::start(1);
    region.attach(0, "backend-0", "north");
    region.attach(0, "backend-1", "south");
    region.submit(0, 18);
    let dispatched = region.dispatched("backend-0");

    region.change(0, "c1", data_centre("north", ServiceState::Out));
    region.submit(0, 18);

    assert!(dispatched > 0);
    assert_eq!(region.recalled("backend-0"), dispatched);
    assert_eq!(region.dispatched("backend-0"), dispatched);
}

#[test]
fn data_centre_back_in_service_gets_tasks_gradually() {
    let mut region = Region::start(1);
    region.attach(0, "backend-0", "north");
    region.attach(0, "backend-1", "south");
    region.change(0, "c1", data_centre("north", ServiceState::Out));
    region.submit(0, 60);

    region.write_row(|row, now| {
        let mut row = row.with_operator_change("c2", now);
        row.data_centres_out.clear();
        row
    });
    region.advance(Duration::from_secs(1));
    let early = region.dispatched("backend-0");
    region.advance(Duration::from_secs(5));
    let late = region.dispatched("backend-0");

    assert!((1..=3).contains(&early), "{early}");
    assert!(late >= 8, "{late}");
}

#[test]
fn entry_of_a_data_centre_taken_out_is_not_ready_unless_it_is_the_last() {
    let mut region = Region::start(2);

    region.change(0, "c1", data_centre("north", ServiceState::Out));
    let ready_after_first = [region.is_ready(0), region.is_ready(1)];
    let asked = region.ask(0, "c2", data_centre("south", ServiceState::Out), true);
    region.wait(asked);
    let ready_after_last = [region.is_ready(0), region.is_ready(1)];

    assert_eq!(ready_after_first, [false, true]);
    assert_eq!(ready_after_last, [true, true]);
}

/// Asserts that the row `after` keeps the epoch, the catalogue version and the changes of the row
/// `before`, as far as a row keeps changes.
fn assert_follows(before: &Row, after: &Row) {
    assert!(after.epoch >= before.epoch);
    assert!(after.catalogue >= before.catalogue);
    for change in &before.changes {
        let is_kept = after.changes.contains(change) || after.changes.len() == 64;
        assert!(is_kept, "change {} was reverted", change.id);
    }
}

#[test]
fn racing_changes_during_faults_of_the_table_are_never_reverted_nor_wrongly_rejected() {
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut region = Region::start(3);
        let mut rejected = Vec::new();
        let mut accepted = Vec::new();
        let mut last_row = region.row();
        for round in 0..25 {
            region.lose_answers = u32::from(rng.random_bool(0.5));
            region.is_store_down = rng.random_bool(0.2);
            let kinds = ["a", "b"].map(|part| format!("{part}{round}"));
            let asked = [0, 1].map(|operator| {
                let entry = rng.random_range(0..3);
                let id = format!("change-{}", kinds[operator]);
                (
                    id.clone(),
                    region.ask(entry, &id, put(&kinds[operator]), false),
                )
            });
            region.advance(Duration::from_millis(rng.random_range(0..3_000)));
            region.is_store_down = false;
            for (id, request) in asked {
                match region.wait(request) {
                    ChangeResult::InForce { epoch, .. } => accepted.push((epoch, id)),
                    ChangeResult::NotAccepted { .. } => rejected.push(id),
                    other => panic!("seed {seed}: change {id} ended as {other:?}"),
                }
            }
            assert_follows(&last_row, &region.row());
            last_row = region.row();
        }

        assert!(
            accepted.len() >= 25,
            "seed {seed}: {} accepted",
            accepted.len()
        );
        for (_epoch, id) in &accepted {
            let kind = id.trim_start_matches("change-");
            let is_everywhere = region
                .entries
                .iter()
                .all(|e| e.catalogue().kind(kind).is_some());
            assert!(
                is_everywhere,
                "seed {seed}: {id} was accepted but is not in force"
            );
        }
        for id in &rejected {
            let kind = id.trim_start_matches("change-");
            let is_anywhere = region
                .entries
                .iter()
                .any(|e| e.catalogue().kind(kind).is_some());
            assert!(
                !is_anywhere,
                "seed {seed}: {id} was rejected but is in force"
            );
        }
    }
}
