//! Concurrency and rate limits that apply to all entries together.

use std::time::Duration;

use ibisspool_core::catalogue::{Class, Kind};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::limits::{Limits, Place, rate_share, share};
use ibisspool_core::placement;
use ibisspool_core::time::{Mono, Wall};
use proptest::prelude::{prop_assert, proptest};

fn place(position: usize, members: usize) -> Place {
    Place {
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
            Place { position: position(n, members_before), members: members_before },
            Place { position: position(n, members_after), members: members_after },
        ];

        let sum_during_change: u32 = (0..max_members).map(|n| share(limit, &places(n))).sum();
        let rate_sum: f64 = (0..max_members).map(|n| rate_share(limit, &places(n))).sum();
        let sum_after_change: u32 = (0..members_after).map(|n| share(limit, &[place(n, members_after)])).sum();

        prop_assert!(sum_during_change <= limit);
        prop_assert!(rate_sum <= f64::from(limit) + 1e-6);
        prop_assert!(sum_after_change == limit);
    }
}

#[test]
fn entry_with_its_share_running_starts_another_task_only_after_one_ends() {
    let kind = kind(Some(5), None);
    let places = [place(0, 2)];
    let agent = placement::Key::default();
    let mut limits = Limits::new();
    let mut started = 0;

    while limits.allow(&kind, None, &places, Mono(0)) {
        limits.start(task(started), agent, "check", "desk");
        started += 1;
    }
    limits.end(task(0), agent);

    assert_eq!(started, 3);
    assert!(limits.allow(&kind, None, &places, Mono(0)));
}

#[test]
fn entry_outside_an_epoch_that_may_hold_leases_starts_no_limited_task() {
    let joining = Place {
        position: None,
        members: 2,
    };
    let mut limits = Limits::new();

    let allowed = limits.allow(
        &kind(Some(100), None),
        None,
        &[place(2, 3), joining],
        Mono(0),
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
        let now = Mono(0).plus(Duration::from_millis(millis));
        while limits.allow(&kind, None, &places, now) {
            limits.start(task(started), placement::Key::default(), "check", "desk");
            started += 1;
        }
    }

    assert!((50..=55).contains(&started), "{started}");
}
