//! What an entry may answer and dispatch as a member, after its removal and while it leaves.

#[path = "fixture/cluster.rs"]
mod cluster;

use cluster::{Process, cluster};
use ibisspool_core::entry::{Event, JobRequest};
use ibisspool_core::job::Task;
use ibisspool_core::settings::Bounds;

#[test]
fn removed_member_neither_accepts_jobs_nor_answers_that_none_ran() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let (recorded, fresh) = (cluster.id_of(2, 20), cluster.id_of(2, 10));
    cluster.submit(2, recorded);
    cluster.nodes[2].reaches_store = false;
    let row = cluster.row.1.clone();
    let row = row.without_member(
        "c",
        1,
        "remove",
        cluster.now(0).wall,
        std::time::Duration::MAX,
    );
    cluster.row = (cluster.row.0 + 1, row.expect("c is a member"));

    cluster.advance_ms(2_000);
    let submitted = cluster.submit(2, fresh);
    let cancelled = cluster.ask(2, JobRequest::Cancel(recorded));
    cluster.advance_ms(6_000);

    assert!(!cluster.starts(fresh).contains(&2));
    assert_ne!(
        cluster.refusal(submitted).map(|(_, ran)| ran).as_deref(),
        Some("no")
    );
    assert_ne!(
        cluster.refusal(cancelled).map(|(_, ran)| ran).as_deref(),
        Some("no")
    );
}

#[test]
fn removed_member_joins_again_under_the_same_incarnation() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.nodes[2].process = Process::Paused;
    cluster.advance_ms(2_000);
    let removed = cluster.row.1.member("c").is_none();

    cluster.nodes[2].process = Process::Running;
    cluster.advance_ms(3_000);
    let id = cluster.id_of(2, 0);
    cluster.submit(0, id);

    assert!(removed);
    assert_eq!(cluster.starts(id), [2]);
}

#[test]
fn replaced_incarnation_does_not_remove_its_successor_from_the_members() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.nodes[2].process = Process::Paused;
    let successor = cluster.join("c", 2);

    cluster.nodes[2].process = Process::Running;
    cluster.advance_ms(5_000);

    let member = cluster.row.1.member("c").map(|member| member.incarnation);
    assert_eq!(member, Some(2));
    assert!(
        cluster.nodes[successor]
            .entry
            .is_ready(cluster.now(successor))
    );
    assert!(!cluster.nodes[2].entry.is_ready(cluster.now(2)));
    assert!(cluster.nodes[2].entry.is_drained());
}

#[test]
fn leaving_entry_dispatches_and_finishes_the_jobs_that_it_accepted() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let id = cluster.id_of(2, 0);
    cluster.send(2, Event::AgentDisconnected { link: 1 });
    let waiter = cluster.submit(2, id);
    let is_queued = cluster.starts(id).is_empty();

    cluster.send(2, Event::Shutdown);
    cluster.advance_ms(1_000);
    cluster.report(2, true, Vec::new());
    cluster.advance_ms(500);
    let is_drained_early = cluster.nodes[2].entry.is_drained();
    cluster.end(2, Task { job: id, index: 0 });
    cluster.advance_ms(3_000);

    assert!(is_queued);
    assert!(cluster.row.1.member("c").is_none());
    assert_eq!(cluster.starts(id), [2]);
    assert!(cluster.answers.contains_key(&waiter));
    assert!(!is_drained_early);
    assert!(cluster.nodes[2].entry.is_drained());
}

#[test]
fn successor_of_a_single_entry_that_left_accepts_jobs_before_the_store_grace_ends() {
    let mut cluster = cluster(&["a"]);
    cluster.start("b", 1);
    cluster.advance_ms(20);
    cluster.send(0, Event::Shutdown);
    cluster.advance_ms(3_000);
    cluster.nodes[0].process = Process::Ended;
    cluster.advance_ms(1_000);

    let id = cluster.id_of(1, 0);
    cluster.submit(1, id);

    assert_eq!(cluster.starts(id), [1]);
}

#[test]
fn entry_whose_clock_differs_gives_up_its_lease_and_the_others_keep_theirs() {
    let mut cluster = cluster(&["a", "b", "c"]);
    let id = cluster.id_of(2, 0);

    cluster.nodes[2].clock_offset_ms = 200;
    cluster.advance_ms(500);
    let waiter = cluster.submit(2, id);
    let ready: Vec<bool> = (0..3)
        .map(|at| cluster.nodes[at].entry.is_ready(cluster.now(at)))
        .collect();
    cluster.nodes[2].clock_offset_ms = 0;
    cluster.advance_ms(500);

    assert_eq!(ready, [true, true, false]);
    let refusal = cluster.refusal(waiter);
    assert_eq!(refusal, Some(("no_lease".to_owned(), "unknown".to_owned())));
    assert!(cluster.nodes[2].entry.is_ready(cluster.now(2)));
}

#[test]
fn full_tables_refuse_new_requests_as_unknown_and_keep_tombstones() {
    let mut cluster = cluster(&[]);
    let bounds = Bounds {
        max_jobs: 2,
        max_waiters_per_job: 1,
        ..Bounds::default()
    };
    cluster.start_with("a", 1, bounds);
    cluster.advance_ms(1_500);
    let ids = [30, 20, 10].map(|ago| cluster.id_of(0, ago));

    let tombstoned = cluster.ask(0, JobRequest::Cancel(ids[0]));
    let _accepted = cluster.submit(0, ids[1]);
    let over_jobs = cluster.submit(0, ids[2]);
    let over_waiters = cluster.submit(0, ids[1]);
    let resubmitted = cluster.submit(0, ids[0]);

    let table_full = Some(("table_full".to_owned(), "unknown".to_owned()));
    let cancelled = Some(("cancelled".to_owned(), "no".to_owned()));
    assert_eq!(cluster.refusal(tombstoned), cancelled);
    assert_eq!(cluster.refusal(over_jobs), table_full);
    assert_eq!(cluster.refusal(over_waiters), table_full);
    assert_eq!(cluster.refusal(resubmitted), cancelled);
}

#[test]
fn parked_requests_over_the_bound_are_refused_as_unknown() {
    let mut cluster = cluster(&["a"]);
    let bounds = Bounds {
        max_waiters: 1,
        ..Bounds::default()
    };
    let b = cluster.start_with("b", 1, bounds);
    cluster.advance_ms(20);
    let ids = [5, 4].map(|ago| cluster.id_of(b, ago));

    let parked = cluster.submit(b, ids[0]);
    let refused = cluster.submit(b, ids[1]);

    assert!(!cluster.answers.contains_key(&parked));
    let table_full = Some(("table_full".to_owned(), "unknown".to_owned()));
    assert_eq!(cluster.refusal(refused), table_full);
}
