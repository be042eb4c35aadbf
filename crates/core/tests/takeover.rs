//! Takeover of job ids whose coordinator changed with the members: no job is lost or runs twice.

#[path = "fixture/cluster.rs"]
mod cluster;

use cluster::{Cluster, Process, cluster};
use ibisspool_core::entry::{Event, Findings, JobRequest};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::rendezvous;
use ibisspool_core::settings::Bounds;

/// Returns an id, created now, that entry `a` coordinates until entry `c` joins, and `c` from then
/// on.
fn id_moving_from_a_to_c(cluster: &Cluster) -> Id {
    let members_before = cluster.row.1.members.clone();
    let mut members_after = members_before.clone();
    let mut c = members_before[0].clone();
    "c".clone_into(&mut c.name);
    members_after.push(c);
    let coordinates = |members: &[_], id: &Id, name: &str| {
        rendezvous::coordinator(members, id).is_some_and(|m| m.name == name)
    };
    cluster.find_id(0, |id| {
        coordinates(&members_before, id, "a") && coordinates(&members_after, id, "c")
    })
}

fn first_task(job: Id) -> Task {
    Task { job, index: 0 }
}

#[test]
fn resubmitted_id_that_moved_joins_the_job_at_its_previous_coordinator() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);
    let first = cluster.submit(0, id);

    cluster.join("c", 1);
    let second = cluster.submit(1, id);
    cluster.advance_ms(100);
    cluster.end(0, first_task(id));

    assert_eq!(cluster.starts(id), [0]);
    assert_eq!(cluster.answers.get(&first), cluster.answers.get(&second));
    assert!(cluster.answers.contains_key(&first));
}

#[test]
fn unknown_id_is_started_by_its_new_coordinator_after_the_previous_one_had_no_record() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);

    let c = cluster.join("c", 1);
    let waiter = cluster.submit(0, id);
    cluster.advance_ms(100);

    assert_eq!(cluster.starts(id), [c]);
    assert!(cluster.inquiries > 0);
    assert!(!cluster.answers.contains_key(&waiter));
}

#[test]
fn id_that_moved_from_a_live_coordinator_starts_before_the_old_leases_lapse() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);

    let c = cluster.start("c", 1);
    cluster.advance_ms(20);
    cluster.submit(c, id);
    cluster.advance_ms(20);

    assert_eq!(cluster.starts(id), [c]);
}

#[test]
fn id_created_after_the_old_leases_lapsed_is_started_without_an_inquiry() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let before = cluster.inquiries;

    let id = cluster.id_of(2, 0);
    cluster.submit(2, id);

    assert_eq!(cluster.starts(id), [2]);
    assert_eq!(cluster.inquiries, before);
}

#[test]
fn id_of_a_dead_coordinator_is_refused_as_unknown_and_not_started_again() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let id = cluster.id_of(2, 0);
    let _lost = cluster.submit(2, id);

    cluster.nodes[2].process = Process::Ended;
    cluster.advance_ms(3_000);
    let waiter = cluster.submit(0, id);
    cluster.advance_ms(1_000);

    let refusal = cluster.refusal(waiter);
    assert_eq!(
        refusal,
        Some(("history_lost".to_owned(), "unknown".to_owned()))
    );
    assert_eq!(cluster.starts(id), [2]);
}

#[test]
fn new_ids_of_a_dead_coordinator_are_accepted_within_three_seconds() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let probe = cluster.id_of(2, 0);

    cluster.nodes[2].process = Process::Ended;
    cluster.advance_ms(2_900);
    let inherited = cluster.find_id(0, |id| {
        rendezvous::coordinator(&cluster.row.1.members, id)
            == rendezvous::coordinator(&cluster.row.1.members, &probe)
    });
    cluster.submit(0, inherited);
    cluster.advance_ms(50);

    assert!(cluster.row.1.member("c").is_none());
    assert_eq!(cluster.starts(inherited).len(), 1);
}

#[test]
fn coordinator_that_resumes_after_a_pause_keeps_its_job_and_no_entry_starts_it_again() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let id = cluster.id_of(2, 0);
    let first = cluster.submit(2, id);

    cluster.nodes[2].process = Process::Paused;
    cluster.advance_ms(3_000);
    let during = cluster.submit(0, id);
    cluster.advance_ms(100);
    cluster.nodes[2].process = Process::Running;
    cluster.advance_ms(3_000);
    let after = cluster.submit(0, id);
    cluster.advance_ms(100);
    cluster.end(2, first_task(id));
    cluster.advance_ms(100);

    assert_eq!(cluster.starts(id), [2]);
    assert!(cluster.answers.contains_key(&first));
    assert_eq!(cluster.answers.get(&first), cluster.answers.get(&after));
    assert_eq!(
        cluster.answers.get(&first),
        cluster.answers.get(&during),
        "the paused entry answers the inquiry, once it resumes, that it has a record"
    );
}

#[test]
fn no_record_answer_of_an_earlier_epoch_does_not_allow_a_start() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);
    let a = cluster.nodes[0].me.clone();
    cluster.nodes[0].drops_inquiries = true;
    let c = cluster.join("c", 1);
    cluster.submit(c, id);

    for epoch in [1, cluster.row.1.epoch - 1] {
        let findings = Findings {
            holds: false,
            epoch,
            clear: 0,
        };
        let member = a.clone();
        cluster.send(
            c,
            Event::InquiryAnswered {
                member,
                id,
                findings,
            },
        );
        cluster.advance_ms(50);
    }

    assert!(cluster.starts(id).is_empty());
}

#[test]
fn no_record_answer_that_arrives_late_and_repeatedly_starts_no_task_twice() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);
    let a = cluster.nodes[0].me.clone();
    let c = cluster.join("c", 1);
    cluster.submit(c, id);
    cluster.advance_ms(50);

    let findings = Findings {
        holds: false,
        epoch: cluster.row.1.epoch,
        clear: 0,
    };
    for _time in 0..2 {
        let member = a.clone();
        cluster.send(
            c,
            Event::InquiryAnswered {
                member,
                id,
                findings,
            },
        );
        cluster.advance_ms(50);
    }

    assert_eq!(cluster.starts(id), [c]);
}

#[test]
fn job_whose_id_moved_away_and_back_is_found_where_it_runs() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);
    let c = cluster.join("c", 1);
    let first = cluster.submit(c, id);
    cluster.advance_ms(50);

    cluster.send(c, Event::Shutdown);
    cluster.advance_ms(1_500);
    let back = cluster.submit(0, id);
    cluster.advance_ms(100);
    cluster.end(c, first_task(id));
    cluster.advance_ms(100);

    assert!(cluster.row.1.member("c").is_none());
    assert_eq!(cluster.starts(id), [c]);
    assert!(cluster.answers.contains_key(&first));
    assert_eq!(cluster.answers.get(&first), cluster.answers.get(&back));
}

#[test]
fn get_trace_and_cancel_reach_the_previous_coordinator() {
    let mut cluster = cluster(&["a", "b"]);
    let id = id_moving_from_a_to_c(&cluster);
    let submitted = cluster.submit(0, id);
    cluster.join("c", 1);

    let got = cluster.ask(1, JobRequest::Get(id));
    let _traced = cluster.ask(1, JobRequest::Trace(id));
    let cancelled = cluster.ask(1, JobRequest::Cancel(id));
    cluster.advance_ms(100);

    assert_eq!(cluster.traced.len(), 1);
    for waiter in [submitted, got, cancelled] {
        let reason = cluster.refusal(waiter).map(|(reason, _ran)| reason);
        assert_eq!(reason.as_deref(), Some("cancelled"));
    }
}

#[test]
fn id_of_a_restarted_coordinator_is_refused_as_history_lost() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(1_000);
    let id = cluster.id_of(2, 0);
    let _lost = cluster.submit(2, id);

    cluster.nodes[2].process = Process::Ended;
    let again = cluster.join("c", 2);
    let waiter = cluster.submit(again, id);
    cluster.advance_ms(500);

    let reason = cluster.refusal(waiter).map(|(reason, _ran)| reason);
    assert_eq!(reason.as_deref(), Some("history_lost"));
    assert_eq!(cluster.starts(id), [2]);
}

#[test]
fn cancelling_an_id_older_than_the_window_is_refused_as_unknown() {
    let mut cluster = cluster(&["a"]);
    let id = cluster.find_id(700_000, |_id| true);

    let waiter = cluster.ask(0, JobRequest::Cancel(id));

    let refusal = cluster.refusal(waiter);
    assert_eq!(
        refusal,
        Some(("id_too_old".to_owned(), "unknown".to_owned()))
    );
}

#[test]
fn entries_accept_new_jobs_after_all_were_replaced_one_after_another() {
    let mut cluster = cluster(&["a", "b", "c"]);
    let mut last = 0;
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        cluster.advance_ms(3_000);
        cluster.nodes[number].process = Process::Ended;
        cluster.advance_ms(2_000);
        last = cluster.join(name, 2);
    }

    cluster.advance_ms(5_000);
    let id = cluster.id_of(last, 0);
    cluster.submit(last, id);
    cluster.advance_ms(1_000);

    assert_eq!(cluster.starts(id), [last]);
}

#[test]
fn entries_restarted_together_at_their_addresses_soon_accept_new_jobs() {
    let mut cluster = cluster(&["a", "b", "c"]);
    cluster.advance_ms(3_000);
    let addresses = [0, 1].map(|at: usize| cluster.nodes[at].me.address.clone());
    cluster.nodes[0].process = Process::Ended;
    cluster.nodes[1].process = Process::Ended;

    let [a, b] = addresses;
    cluster.start_at("a", 2, a, Bounds::default());
    let last = cluster.start_at("b", 2, b, Bounds::default());
    cluster.advance_ms(5_000);
    let id = cluster.id_of(last, 0);
    cluster.submit(last, id);
    cluster.advance_ms(1_000);

    assert_eq!(cluster.starts(id), [last]);
}
