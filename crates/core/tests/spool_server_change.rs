//! What an agent does after its backend server has started again as another kind.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/agent_fixture.rs"]
mod agent_fixture;

use agent_fixture::*;
use ibisspool_core::spool::agent::{Agent, Announcement, ConnectionKey};

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
