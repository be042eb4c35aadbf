//! Concurrency and rate limits that apply to all entries together.

use std::time::Duration;

use ibisspool_core::catalogue::{Class, Kind};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::limits::{Limits, MemberPosition, concurrency_share, rate_share};
use ibisspool_core::placement;
use ibisspool_core::time::{Monotonic, Wall};
use proptest::prelude::{prop_assert, proptest};

fn place(position: usize, members: usize) -> MemberPosition {
    MemberPosition {
        position: Some(position),
        members,
    }
}

fn kind(max_running: Option<u32>, max_rate: Option<u32>) -> Kind {
    Kind {
        name: "check".to_owned(),
        owner: "desk".to_owned(),
        class: Class::Urgent,
        max_running,
        max_rate,
        max_tasks: None,
        max_input_bytes: None,
        max_timeout_ms: 30_000,
        expected_run_ms: 100,
    }
}

fn task(index: u32) -> Task {
    Task {
        job: Id::new(Wall(1), [1; 10]),
        index,
    }
}

proptest! {
    #[test]
    fn shares_sum_to_at_most_the_limit_during_a_change_of_members(limit in 0_u32..1_000, members_before in 1_usize..8, members_after in 1_usize..8) {
        let max_members = members_before.max(members_after);
        let position = |n: usize, members: usize| (n < members).then_some(n);
        let places = |n: usize| [
            MemberPosition { position: position(n, members_before), members: members_before },
            MemberPosition { position: position(n, members_after), members: members_after },
        ];

        let sum_during_change: u32 = (0..max_members).map(|n| concurrency_share(limit, &places(n))).sum();
        let rate_sum: f64 = (0..max_members).map(|n| rate_share(limit, &places(n))).sum();
        let sum_after_change: u32 = (0..members_after).map(|n| concurrency_share(limit, &[place(n, members_after)])).sum();

        prop_assert!(sum_during_change <= limit);
        prop_assert!(rate_sum <= f64::from(limit) + 1e-6);
        prop_assert!(sum_after_change == limit);
    }
}

#[test]
fn entry_with_its_share_running_starts_another_task_only_after_one_ends() {
    let kind = kind(Some(5), None);
    let places = [place(0, 2)];
    let agent = placement::AgentKey::default();
    let mut limits = Limits::new();
    let mut started = 0;

    while limits.allows_start(&kind, None, &places, Monotonic(0)) {
        limits.record_start(task(started), agent, "check", "desk");
        started += 1;
    }
    limits.record_end(task(0), agent);

    assert_eq!(started, 3);
    assert!(limits.allows_start(&kind, None, &places, Monotonic(0)));
}

#[test]
fn entry_outside_an_epoch_that_may_hold_leases_starts_no_limited_task() {
    let joining = MemberPosition {
        position: None,
        members: 2,
    };
    let mut limits = Limits::new();

    let allowed = limits.allows_start(
        &kind(Some(100), None),
        None,
        &[place(2, 3), joining],
        Monotonic(0),
    );

    assert!(!allowed);
}

#[test]
fn starts_in_one_second_stay_within_the_rate_share_plus_its_burst() {
    let kind = kind(None, Some(100));
    let places = [place(1, 2)];
    let mut limits = Limits::new();
    let mut started = 0;

    for millis in 1_000..2_000 {
        let now = Monotonic(0).plus(Duration::from_millis(millis));
        while limits.allows_start(&kind, None, &places, now) {
            limits.record_start(
                task(started),
                placement::AgentKey::default(),
                "check",
                "desk",
            );
            started += 1;
        }
    }

    assert!((50..=55).contains(&started), "{started}");
}
