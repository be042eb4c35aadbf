//! What an entry knows of agents and other entries, one event at a time.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/desk.rs"]
mod desk;

use desk::{
    agent, at, entry, hello, member, orders, queue, report, request, snapshot, starts, step,
};
use ibisspool_core::spool::entry::{Entry, LinkKey, Peer, gossip_pause};
use smallvec::smallvec;

#[test]
fn an_entry_is_ready_once_a_backend_server_is_known() {
    let mut entry = entry();
    let link = entry.connect(hello("agent-1"), at(10));
    let before = entry.is_ready(at(20).mono);
    entry.report(link, report(10, Vec::new(), at(20)), at(20));

    assert!(!before);
    assert!(entry.is_ready(at(40).mono));
}

#[test]
fn an_entry_that_hears_no_agent_is_not_ready() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));

    assert!(entry.is_ready(at(200).mono), "agents report every 200 ms");
    assert!(!entry.is_ready(at(400).mono));
}

#[test]
fn an_entry_tells_another_one_each_entry_once() {
    let mut entry = entry();
    let mut peer = Peer::default();

    let first = entry.tell(&mut peer);
    let second = entry.tell(&mut peer);
    entry.learn_members(&[member(2)]);
    let third = entry.tell(&mut peer);

    let told = [first, second, third].map(|gossip| gossip.members);
    assert_eq!(told, [vec![member(1)], vec![], vec![member(2)]]);
}

#[test]
fn an_entry_tells_an_agent_each_entry_once() {
    let mut entry = entry();
    let link = entry.connect(hello("agent-1"), at(0));
    let mut told = Vec::new();
    for (number, millis) in [(2, 10), (3, 20), (4, 30)] {
        entry.learn_members(&[member(number)]);
        entry.report(link, report(10, Vec::new(), at(millis)), at(millis));
        told.extend(
            orders(&mut entry)
                .into_iter()
                .flat_map(|(_link, order)| order.members),
        );
    }

    assert_eq!(told, [1, 2, 3, 4].map(member));
}

#[test]
fn an_entry_sends_its_catalogue_only_to_one_that_asks_with_an_older_one() {
    let mut entry = entry();
    let mut peer = Peer::default();
    let unknown = entry.tell(&mut peer);

    peer.hear(&unknown);
    let same = entry.tell(&mut peer);
    entry.set_catalogue(snapshot(2, &[]), "test", at(10));
    let asking = entry.ask(&mut peer);
    let behind = entry.tell(&mut peer);

    assert_eq!(unknown.catalogue, None);
    assert_eq!(same.catalogue, None);
    assert_eq!(asking.catalogue, None);
    assert_eq!(behind.catalogue.map(|catalogue| catalogue.version), Some(2));
}

/// An entry that watches one agent of three, and lets the others rest.
fn entry_with_resting_agents() -> (Entry, Vec<LinkKey>) {
    let mut entry = entry().with_watched(1);
    let all: Vec<LinkKey> = ["agent-1", "agent-2", "agent-3"]
        .iter()
        .map(|name| agent(&mut entry, name, 2, at(0)))
        .collect();
    for &link in &all {
        entry.report(link, report(2, Vec::new(), at(700)), at(700));
    }
    entry.tick(at(700));
    let rest: Vec<LinkKey> = orders(&mut entry)
        .into_iter()
        .filter(|(_link, order)| order.rest)
        .map(|(link, _order)| link)
        .collect();
    for &link in &rest {
        entry.report(link, report(2, Vec::new(), at(1_700)), at(1_700));
    }
    entry.take_actions();
    (entry, rest)
}

#[test]
fn agents_that_are_not_in_use_rest_but_for_a_few() {
    let (entry, resting) = entry_with_resting_agents();

    assert_eq!(resting.len(), 2);
    assert!(resting.iter().all(|link| entry.rests(*link)));
}

#[test]
fn a_resting_agent_is_woken_for_its_room_and_gets_tasks_by_a_new_report() {
    let (mut entry, resting) = entry_with_resting_agents();

    // All reports are older than the bound on a start.
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(2_100));
    let (link, asked) = orders(&mut entry).remove(0);
    entry.report(link, report(2, Vec::new(), at(2_102)), at(2_102));

    assert!(resting.contains(&link));
    assert!(asked.starts.is_empty() && !asked.rest);
    let sent = starts(&mut entry);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, link);
}

#[test]
fn a_resting_agent_that_does_not_answer_is_asked_once() {
    let (mut entry, resting) = entry_with_resting_agents();
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(2_100));
    let first = orders(&mut entry).remove(0).0;

    entry.tick(at(2_120));

    let second = orders(&mut entry).remove(0).0;
    assert!(resting.contains(&second));
    assert_ne!(first, second);
}

#[test]
fn exchanges_of_many_entries_are_further_apart() {
    let pauses = [1, 12, 24, 300].map(|others| gossip_pause(others).as_millis());

    assert_eq!(pauses, [400, 400, 800, 1_200]);
}
