//! Which tasks an agent starts after its backend server has started again as another kind. Entries
//! place tasks by the service, the capacity and the labels that the agent has reported, and an order
//! can be on its way, or wait at the agent, when they change.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/agent_fixture.rs"]
mod agent_fixture;

use agent_fixture::*;
use ibisspool_core::spool::agent::{Action, Agent, Announcement, ConnectionKey, StartAnswer};
use ibisspool_core::spool::message::{DeclineReason, End, Order, Timestamp};

const CLOSED: End = End::NotStarted(DeclineReason::Closed);

/// Returns an announcement of a server of the usual service and capacity with one label.
fn labelled(incarnation: &str, born: u64, label: &str) -> Announcement {
    let announcement = announcement(incarnation, born, 1);
    let mut profile = announcement.profile.clone();
    profile.labels.push(label.to_owned());
    Announcement {
        profile,
        ..announcement
    }
}

/// Returns an agent whose server has a label, connected to one entry.
fn agent_of_labelled_server(label: &str) -> (Agent, ConnectionKey) {
    let (mut agent, link) = connected_agent();
    agent.handle_announcement(labelled("i-labelled", BORN + 1, label), at(2));
    agent.handle_listing(&empty_listing("i-labelled", BORN + 1, 3), at(3).mono, at(4));
    agent.handle_tick(at(8));
    agent.take_actions();
    (agent, link)
}

/// Replaces the server at 22 ms by an incarnation with a label.
fn replace_server(agent: &mut Agent, incarnation: &str, label: &str) {
    agent.handle_announcement(labelled(incarnation, REBORN, label), at(20));
    agent.handle_listing(&empty_listing(incarnation, REBORN, 2), at(21).mono, at(22));
}

/// Sends a task of an entry that last got the report which the agent sent at `echo_ms`.
fn send_with_echo(agent: &mut Agent, link: ConnectionKey, job: u64, echo_ms: u64, millis: u64) {
    let order = Order {
        echoed_timestamp: Some(Timestamp(at(echo_ms).mono.0)),
        starts: vec![task(job)],
        ..order(job, at(millis))
    };
    agent.handle_order(link, order, at(millis));
}

/// Guards against tasks on a server without the label that they require: an entry that was suspended
/// sent them by what it knew of the incarnation before (review case 12).
#[test]
fn a_task_placed_by_an_earlier_report_does_not_start_on_the_next_incarnation() {
    for next in ["i-labelled", "i-3"] {
        let (mut agent, link) = agent_of_labelled_server("b");
        replace_server(&mut agent, next, "a");
        agent.take_actions();

        send_with_echo(&mut agent, link, 1, 8, 25);
        let actions = agent.take_actions();
        let ends: Vec<_> = reports(&actions)
            .flat_map(|report| &report.outcomes)
            .map(|outcome| (outcome.ticket.0, outcome.end))
            .collect();
        let told_at = reports(&actions)
            .find(|r| r.server.is_some())
            .map(|r| r.sent_at);
        send_with_echo(&mut agent, link, 2, 25, 30);

        let is_start = |action: &Action| matches!(action, Action::Start { .. });
        assert!(!actions.iter().any(is_start), "{next}");
        assert_eq!(ends, [(1, CLOSED)], "{next}");
        assert_eq!(told_at, Some(Timestamp(at(25).mono.0)), "{next}");
        assert_eq!(take_started_jobs(&mut agent), [2], "{next}");
    }
}

/// Guards against an order that was sent before the entry had any report of the server.
#[test]
fn a_task_of_an_entry_that_was_told_of_no_server_does_not_start() {
    let (mut agent, link) = agent_of_labelled_server("b");
    let order = Order {
        echoed_timestamp: None,
        starts: vec![task(2)],
        ..order(2, at(30))
    };
    send_with_echo(&mut agent, link, 1, 8, 25);
    let before = take_started_jobs(&mut agent);

    agent.handle_order(link, order, at(30));

    assert_eq!(before, [1]);
    assert_eq!(take_ends(&mut agent), [(2, CLOSED)]);
}

/// Guards against orders that are declined without need: only another profile makes a report outdated.
#[test]
fn a_task_placed_by_an_earlier_report_of_the_same_profile_starts() {
    let (mut agent, link) = agent_of_labelled_server("b");
    replace_server(&mut agent, "i-3", "b");
    agent.take_actions();

    send_with_echo(&mut agent, link, 1, 8, 25);

    assert_eq!(take_started_jobs(&mut agent), [1]);
}

/// Fills the server and sends another task, which waits.
fn queue_fourth_task(agent: &mut Agent, link: ConnectionKey) {
    for job in 1..=4 {
        send_with_echo(agent, link, job, 8, 10);
    }
    assert_eq!(take_started_jobs(agent), [1, 2, 3], "three tasks fit");
}

/// Guards against tasks on a server without the label that they require: they waited at the agent when
/// the server started again as another kind.
#[test]
fn a_task_that_waits_does_not_start_on_an_incarnation_with_other_labels() {
    for next in ["i-labelled", "i-3"] {
        let (mut agent, link) = agent_of_labelled_server("b");
        queue_fourth_task(&mut agent, link);

        replace_server(&mut agent, next, "a");
        agent.handle_tick(at(30));
        let actions = agent.take_actions();

        let declined = reports(&actions)
            .flat_map(|report| &report.outcomes)
            .any(|outcome| (outcome.ticket.0, outcome.end) == (4, CLOSED));
        let is_start = |action: &Action| matches!(action, Action::Start { .. });
        assert!(!actions.iter().any(is_start), "{next}");
        assert!(declined, "{next}");
    }
}

#[test]
fn a_task_that_waits_starts_on_an_incarnation_of_the_same_profile() {
    let (mut agent, link) = agent_of_labelled_server("b");
    queue_fourth_task(&mut agent, link);

    replace_server(&mut agent, "i-3", "b");

    assert_eq!(take_started_jobs(&mut agent), [4]);
}

/// Guards against entries that go on for up to 0.2 s by what a server no longer offers: a change of
/// its labels alone waited for the next periodic report.
#[test]
fn entries_are_told_at_once_of_a_server_with_other_labels() {
    let (mut agent, _link) = agent_of_labelled_server("b");
    replace_server(&mut agent, "i-3", "a");
    agent.take_actions();

    agent.handle_tick(at(30));

    let actions = agent.take_actions();
    let labels: Vec<_> = reports(&actions)
        .filter_map(|report| report.server.as_ref())
        .flat_map(|server| &server.labels)
        .collect();
    assert_eq!(labels, ["a"]);
}

/// Guards against a start that reaches an incarnation which the agent does not know yet: the answer
/// tells that it was not sent, and nothing more starts until the server has told which one it is.
#[test]
fn nothing_starts_after_another_incarnation_was_found_until_the_server_is_asked() {
    let (mut agent, link) = agent_of_labelled_server("b");
    send_with_echo(&mut agent, link, 1, 8, 10);
    let actions = agent.take_actions();
    let start = actions.iter().find_map(|action| match action {
        Action::Start {
            key, started_at_ms, ..
        } => Some((*key, *started_at_ms)),
        _ => None,
    });
    let (key, started_at_ms) = start.expect("the task starts at once");

    agent.handle_start_answer(key, StartAnswer::OtherIncarnation, at(11));
    let actions = agent.take_actions();
    send_with_echo(&mut agent, link, 2, 8, 12);

    let ends: Vec<_> = reports(&actions)
        .flat_map(|report| &report.outcomes)
        .map(|outcome| (outcome.ticket.0, outcome.end))
        .collect();
    assert_eq!(started_at_ms, BORN + 1);
    assert_eq!(ends, [(1, CLOSED)]);
    assert!(actions.contains(&Action::PollNow));
    assert_eq!(take_started_jobs(&mut agent), Vec::<u64>::new());
}
