//! Tests of an entry's handling of jobs, with one event at a time.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/desk.rs"]
mod desk;

use std::sync::Arc;
use std::time::Duration;

use desk::{
    TASK_NEEDS, agent, at, entry, hello, orders, outcome_of, queue, refused, report, request,
    request_with_long_budget, snapshot, starts, step, take_answers,
};
use ibisspool_core::spool::entry::{Answer, Refusal};
use ibisspool_core::spool::job::{Resources, Step};
use ibisspool_core::spool::message::{DeclineReason, End, Outcome, Report};
use ibisspool_core::time::Monotonic;
use smallvec::smallvec;

#[test]
fn a_job_is_answered_once_all_its_steps_are_done() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    let steps = vec![step(1, smallvec![]), step(1, smallvec![0])];
    let key = entry.submit(request(steps), queue(), at(1));
    let first = starts(&mut entry);
    assert_eq!(first.len(), 1, "the second step waits for the first");

    let done = vec![outcome_of(&first[0].1, End::Done)];
    entry.report(connection, report(10, done, at(60)), at(60));
    let second = starts(&mut entry);
    let done = vec![outcome_of(&second[0].1, End::Done)];
    entry.report(connection, report(10, done, at(120)), at(120));

    assert_eq!(second[0].1.name.step, 1);
    assert_eq!(take_answers(&mut entry), [(key, Answer::Completed)]);
}

#[test]
fn tasks_are_cancelled_when_the_caller_closes_its_connection() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(request(vec![step(2, smallvec![])]), queue(), at(1));
    let sent = starts(&mut entry);

    entry.close(key, at(20));

    let cancels: Vec<_> = orders(&mut entry)
        .into_iter()
        .flat_map(|(_connection, order)| order.cancels)
        .collect();
    assert_eq!(cancels.len(), sent.len());
}

#[test]
fn a_failed_task_is_retried_on_another_agent_until_its_attempts_are_used_up() {
    let mut entry = entry();
    let one = agent(&mut entry, "agent-1", 10, at(0));
    let two = agent(&mut entry, "agent-2", 10, at(0));
    let key = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    let (first, start) = starts(&mut entry).remove(0);

    let failed = vec![outcome_of(&start, End::Failed)];
    entry.report(first, report(10, failed, at(10)), at(10));
    let (second, start) = starts(&mut entry).remove(0);
    let failed = vec![outcome_of(&start, End::Failed)];
    entry.report(second, report(10, failed, at(20)), at(20));

    assert_ne!(first, second);
    assert!([one, two].contains(&second));
    assert_eq!(take_answers(&mut entry), [(key, Answer::Failed)]);
}

#[test]
fn the_last_failure_cancels_only_the_tasks_that_still_run() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let mut one_attempt = queue();
    one_attempt.max_failed_runs = 1;
    entry.submit(request(vec![step(2, smallvec![])]), one_attempt, at(1));
    let sent = starts(&mut entry);

    let failed = vec![outcome_of(&sent[0].1, End::Failed)];
    entry.report(sent[0].0, report(10, failed, at(10)), at(10));

    let cancels: Vec<_> = orders(&mut entry)
        .into_iter()
        .flat_map(|(_connection, order)| order.cancels)
        .collect();
    assert_eq!(cancels, [sent[1].1.ticket]);
}

#[test]
fn tasks_larger_than_any_server_do_not_overflow_the_backlog() {
    let mut entry = entry();
    let huge = Step {
        needs: Resources {
            cpu_millicores: u32::MAX,
            ..TASK_NEEDS
        },
        ..step(8, smallvec![])
    };

    let key = entry.submit(request(vec![huge]), queue(), at(10));
    agent(&mut entry, "agent-1", 10, at(20));
    entry.tick(at(1_900));
    entry.tick(at(2_100));

    assert!(
        take_answers(&mut entry)
            .iter()
            .any(|(answered, _)| *answered == key)
    );
}

#[test]
fn a_job_that_cannot_start_in_time_is_refused_at_once() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 0, at(0));

    let key = entry.submit(request(vec![step(8, smallvec![])]), queue(), at(1));

    let expected = refused(Refusal::Overloaded);
    assert_eq!(take_answers(&mut entry), [(key, expected)]);
}

#[test]
fn no_task_is_dispatched_to_a_data_centre_out_of_service() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    entry.set_catalogue(snapshot(2, &["north"]), "test", at(1));
    entry.take_actions();

    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(2));

    assert!(starts(&mut entry).is_empty());
}

#[test]
fn an_older_catalogue_does_not_replace_a_newer_one() {
    let mut entry = entry();
    entry.set_catalogue(snapshot(5, &["north"]), "test", at(1));

    entry.set_catalogue(snapshot(4, &[]), "test", at(2));

    assert_eq!(entry.catalogue().map(|known| known.version), Some(5));
}

#[test]
fn an_agent_without_a_recent_report_gets_no_task() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));

    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(390));

    assert!(starts(&mut entry).is_empty());
}

#[test]
fn an_orphaned_task_is_dispatched_again_once_its_agent_reports_that_it_is_gone() {
    let mut entry = entry();
    let lost = agent(&mut entry, "agent-1", 10, at(0));
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    entry.take_actions();
    entry.disconnect(lost, at(10));
    let other = agent(&mut entry, "agent-2", 10, at(20));
    assert!(starts(&mut entry).is_empty());

    let reconnected = agent(&mut entry, "agent-1", 10, at(30));
    let cleared = Report {
        earlier_runs_cleared: true,
        ..report(10, Vec::new(), at(40))
    };
    entry.report(reconnected, cleared, at(40));

    let sent = starts(&mut entry);
    assert_eq!(sent.len(), 1);
    assert!([other, reconnected].contains(&sent[0].0));
}

#[test]
fn a_planned_shutdown_answers_every_job_by_its_deadline() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let before = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    entry.stop(Monotonic(500_000));
    let after = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(100));
    entry.take_actions();

    entry.tick(at(501));

    let mut answered = take_answers(&mut entry);
    answered.sort_by_key(|(key, _answer)| *key);
    assert_eq!(
        answered,
        [(before, Answer::Expired), (after, Answer::Expired)]
    );
    assert!(!entry.is_ready(at(20).mono));
}

#[test]
fn a_task_that_the_agent_did_not_start_is_dispatched_again() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    let (_connection, start) = starts(&mut entry).remove(0);

    let busy = vec![outcome_of(&start, End::NotStarted(DeclineReason::Busy))];
    entry.report(connection, report(5, busy, at(10)), at(10));

    assert_eq!(starts(&mut entry).len(), 1);
}

#[test]
fn after_a_pause_no_task_is_dispatched_before_closed_connections_are_noticed() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    let long_step = || Step {
        estimate: Duration::from_millis(900),
        ..step(1, smallvec![])
    };
    let closed = entry.submit(request(vec![long_step()]), queue(), at(1));
    entry.submit(request(vec![long_step()]), queue(), at(1));
    let sent = starts(&mut entry);
    let lost = sent
        .iter()
        .map(|(_connection, start)| outcome_of(start, End::Lost));

    // The process was paused from 1 to 701 ms. The first event that it reads afterwards says that
    // its agents stopped the tasks meanwhile.
    entry.report(connection, report(10, lost.collect(), at(701)), at(701));
    let sent_at_once = starts(&mut entry);
    entry.close(closed, at(702));
    entry.report(connection, report(10, Vec::new(), at(741)), at(741));
    let sent_later = starts(&mut entry);

    assert_eq!(sent_at_once, []);
    assert_eq!(sent_later.len(), 1);
}

#[test]
fn a_job_that_no_server_can_complete_in_useful_time_expires_early() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(
        request_with_long_budget(step(1, smallvec![])),
        queue(),
        at(1),
    );
    let sent = starts(&mut entry);
    let lost = vec![outcome_of(&sent[0].1, End::Lost)];
    let mut full = report(0, lost, at(100));
    full.load.queued_cpu = 50_000;
    entry.report(connection, full, at(100));

    // The latency objective is 156 ms. After three times that, the end of the job has no value.
    for now in (120..600).step_by(20) {
        entry.tick(at(now));
    }

    assert_eq!(take_answers(&mut entry), [(key, Answer::Expired)]);
}

#[test]
fn a_running_job_is_answered_when_it_ends_however_late() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(
        request_with_long_budget(step(1, smallvec![])),
        queue(),
        at(1),
    );
    let sent = starts(&mut entry);

    for now in (20..3_000).step_by(20) {
        entry.tick(at(now));
    }
    let done = vec![outcome_of(&sent[0].1, End::Done)];
    entry.report(connection, report(10, done, at(3_000)), at(3_000));

    assert_eq!(take_answers(&mut entry), [(key, Answer::Completed)]);
}

#[test]
fn a_job_is_queued_until_the_first_agent_connects_after_the_start_of_an_entry() {
    let mut entry = entry();
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(10));

    let connection = entry.connect(hello("agent-1"), at(50));
    entry.report(connection, report(10, Vec::new(), at(50)), at(50));

    assert_eq!(starts(&mut entry).len(), 1);
}

#[test]
fn a_job_is_refused_at_once_by_an_entry_that_has_lost_all_agents() {
    let mut entry = entry();
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    for now in (20..3_000).step_by(20) {
        entry.tick(at(now));
    }
    entry.disconnect(connection, at(3_000));

    let key = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(3_001));

    let expected = refused(Refusal::NoBackend);
    assert_eq!(take_answers(&mut entry), [(key, expected)]);
}

#[test]
fn the_estimate_of_a_task_away_from_its_data_includes_the_configured_factor() {
    let mut entry = entry().with_far(3.0);
    let connection = agent(&mut entry, "agent-1", 10, at(0));
    let step_away_from_data = Step {
        rack: Some(Arc::from("r-9")),
        estimate: Duration::from_millis(20),
        ..step(1, smallvec![])
    };
    entry.submit(request(vec![step_away_from_data.clone()]), queue(), at(1));
    let first = starts(&mut entry);
    let done = Outcome {
        ticket: first[0].1.ticket,
        end: End::Done,
        ran: Duration::from_millis(60),
    };
    entry.report(connection, report(10, vec![done], at(61)), at(61));

    entry.submit(request(vec![step_away_from_data]), queue(), at(62));

    // A run of 60 ms is what a task of 20 ms takes away from its data at a factor of 3, so the
    // observed run leaves the estimate unchanged.
    let second = starts(&mut entry);
    assert_eq!(first[0].1.estimate, Duration::from_millis(60));
    assert_eq!(second[0].1.estimate, Duration::from_millis(60));
}
