//! Validity of leases, and when a change of epoch comes into force.

use std::time::Duration;

use ibisspool_core::control::{Member, Row};
use ibisspool_core::lease::{EpochTracker, Lease};
use ibisspool_core::settings::Timing;
use ibisspool_core::time::Monotonic;

fn member(name: &str) -> Member {
    Member {
        name: name.to_owned(),
        incarnation: 7,
        address: "127.0.0.1:1".to_owned(),
        data_centre: "north".to_owned(),
    }
}

fn row(epoch: u64, names: &[&str]) -> Row {
    Row {
        epoch,
        members: names.iter().map(|name| member(name)).collect(),
        ..Row::default()
    }
}

fn at(millis: u64) -> Monotonic {
    Monotonic(0).plus(Duration::from_millis(millis))
}

#[test]
fn lease_runs_from_the_time_the_confirming_request_was_sent() {
    let timing = Timing::default();
    let row = row(1, &["a", "b", "c"]);
    let mut lease = Lease::new();

    lease.record_row_read(at(0));
    lease.confirm_by_peer("b", at(500));

    assert_eq!(
        lease.confirmed_at("a", &row, &timing, at(1_500)),
        Some(at(500))
    );
    assert_eq!(lease.confirmed_at("a", &row, &timing, at(1_501)), None);
}

#[test]
fn lease_without_a_row_read_lapses_after_the_store_grace() {
    let timing = Timing {
        max_time_without_row_read: Duration::from_secs(2),
        ..Timing::default()
    };
    let row = row(1, &["a", "b", "c"]);
    let mut lease = Lease::new();

    lease.record_row_read(at(0));
    lease.confirm_by_peer("b", at(2_100));

    assert_eq!(lease.confirmed_at("a", &row, &timing, at(2_100)), None);
}

#[test]
fn epoch_is_in_force_one_lease_after_a_blocking_set_has_confirmed_it() {
    let timing = Timing::default();
    let mut takeover = EpochTracker::new();

    takeover.track(row(1, &["a", "b", "c"]), "a", at(0));
    takeover.drop_lapsed_epochs(&timing, at(5_000));
    let after_one_confirmation = takeover.is_in_force(2);
    takeover.record_confirmation("b", 7, 2, at(5_000));
    takeover.drop_lapsed_epochs(&timing, at(6_010));
    let before_the_lease_has_run_out = takeover.is_in_force(2);
    takeover.drop_lapsed_epochs(&timing, at(6_011));
    let after_the_lease_has_run_out = takeover.is_in_force(2);

    assert!(!after_one_confirmation);
    assert!(!before_the_lease_has_run_out);
    assert!(after_the_lease_has_run_out);
}

#[test]
fn confirmation_by_another_incarnation_does_not_count() {
    let timing = Timing::default();
    let mut takeover = EpochTracker::new();

    takeover.track(row(1, &["a", "b", "c"]), "a", at(0));
    takeover.record_confirmation("b", 8, 2, at(0));
    takeover.drop_lapsed_epochs(&timing, at(5_000));

    assert!(!takeover.is_in_force(2));
}

#[test]
fn epoch_is_not_in_force_while_leases_of_a_skipped_epoch_may_be_held() {
    let timing = Timing::default();
    let mut takeover = EpochTracker::new();

    takeover.track_from(1, row(2, &["a", "b", "c"]), "a", at(0));
    takeover.record_confirmation("b", 7, 2, at(0));
    takeover.drop_lapsed_epochs(&timing, at(5_000));

    assert!(!takeover.is_in_force(2));
}

#[test]
fn epoch_is_in_force_one_lease_after_the_store_grace_without_any_confirmation() {
    let timing = Timing::default();
    let mut takeover = EpochTracker::new();
    let store_grace_end = Monotonic(0).plus(timing.max_time_without_row_read + timing.lease_margin);

    takeover.track(row(1, &["a", "b", "c"]), "a", at(0));
    takeover.drop_lapsed_epochs(&timing, store_grace_end.plus(timing.lease_duration));
    let before = takeover.is_in_force(2);
    takeover.drop_lapsed_epochs(
        &timing,
        store_grace_end.plus(timing.lease_duration + Duration::from_millis(1)),
    );

    assert!(!before);
    assert!(takeover.is_in_force(2));
}
