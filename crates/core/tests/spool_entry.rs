//! Decisions of an entry, one at a time.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::catalogue::{Limits, Queue, Snapshot};
use ibisspool_core::spool::entry::{
    Action, Answer, Entry, JobKey, LinkKey, Peer, Refusal, gossip_pause,
};
use ibisspool_core::spool::job::{Id, Request, Resources, Step};
use ibisspool_core::spool::message::{
    AgentHello, Declined, End, Load, Member, Order, Outcome, Report, Server, Stamp, Start,
};
use ibisspool_core::spool::safety::Safety;
use ibisspool_core::time::{Mono, Now, Wall};
use smallvec::{SmallVec, smallvec};

const TASK: Resources = Resources {
    cpu: 1_600,
    memory: 64,
    accelerators: 0,
};

fn at(millis: u64) -> Now {
    Now {
        mono: Mono(millis * 1_000),
        wall: Wall(millis),
    }
}

fn queue() -> Queue {
    Queue {
        name: Arc::from("checks"),
        host: "desk.example".to_owned(),
        prefix: "/checks/".to_owned(),
        service: Arc::from("desk"),
        priority: 0,
        attempts: 2,
        timeout: Duration::from_millis(1_500),
        stretch: 1.6,
        target: Duration::from_millis(60),
        advised: false,
    }
}

fn step(tasks: u32, after: SmallVec<[u16; 4]>) -> Step {
    Step {
        tasks,
        needs: TASK,
        estimate: Duration::from_millis(60),
        after,
        label: None,
        rack: None,
        spread: None,
    }
}

fn request(steps: Vec<Step>) -> Request {
    Request {
        id: Id(7),
        spec: Arc::from("work"),
        steps,
        budget: Duration::from_secs(2),
    }
}

/// A job whose caller waits far longer than its objective.
fn patient(step: Step) -> Request {
    Request {
        budget: Duration::from_secs(10),
        ..request(vec![step])
    }
}

fn snapshot(version: u64, out_of_service: &[&str]) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        version,
        queues: vec![queue()],
        limits: Limits::default(),
        out_of_service: out_of_service.iter().map(|&name| name.to_owned()).collect(),
    })
}

fn entry() -> Entry {
    let me = Member {
        name: "entry-1".to_owned(),
        address: ([10, 0, 0, 1], 7_000).into(),
    };
    let safety = Safety::new(Duration::from_millis(1_300), Duration::from_secs(1));
    let mut entry = Entry::new(me, safety, 1);
    entry.set_catalogue(snapshot(1, &[]), "test", at(0));
    entry
}

fn report(rooms: u32, outcomes: Vec<Outcome>, now: Now) -> Report {
    let capacity = Resources {
        cpu: 16_000,
        memory: 32_768,
        accelerators: 0,
    };
    Report {
        stamp: Stamp(now.mono.0),
        seen: u64::MAX,
        cleared: false,
        server: Some(Server {
            service: Arc::from("desk"),
            capacity,
            labels: Vec::new(),
            ready: true,
        }),
        load: Load {
            free: Resources {
                cpu: rooms * TASK.cpu,
                ..capacity
            },
            queued: 0,
            open: 100,
            pace: 1.0,
        },
        outcomes,
    }
}

fn hello(name: &str) -> AgentHello {
    AgentHello {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
    }
}

fn agent(entry: &mut Entry, name: &str, rooms: u32, now: Now) -> LinkKey {
    let link = entry.connect(hello(name), now);
    entry.report(link, report(rooms, Vec::new(), now), now);
    entry.take_actions();
    link
}

fn orders(entry: &mut Entry) -> Vec<(LinkKey, Order)> {
    entry
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Order(link, order) => Some((link, order)),
            _ => None,
        })
        .collect()
}

fn starts(entry: &mut Entry) -> Vec<(LinkKey, Start)> {
    orders(entry)
        .into_iter()
        .flat_map(|(link, order)| order.starts.into_iter().map(move |start| (link, start)))
        .collect()
}

fn answers(entry: &mut Entry) -> Vec<(JobKey, Answer)> {
    entry
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Answer(key, answer) => Some((key, answer)),
            _ => None,
        })
        .collect()
}

fn outcome(start: &Start, end: End) -> Outcome {
    Outcome {
        ticket: start.ticket,
        end,
        ran: Duration::from_millis(60),
    }
}

#[test]
fn a_job_is_answered_once_all_its_steps_are_done() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    let steps = vec![step(1, smallvec![]), step(1, smallvec![0])];
    let key = entry.submit(request(steps), queue(), at(1));
    let first = starts(&mut entry);
    assert_eq!(first.len(), 1, "the second step waits for the first");

    let done = vec![outcome(&first[0].1, End::Done)];
    entry.report(link, report(10, done, at(60)), at(60));
    let second = starts(&mut entry);
    let done = vec![outcome(&second[0].1, End::Done)];
    entry.report(link, report(10, done, at(120)), at(120));

    assert_eq!(second[0].1.name.step, 1);
    assert_eq!(answers(&mut entry), [(key, Answer::Completed)]);
}

#[test]
fn a_caller_that_leaves_has_its_tasks_stopped() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(request(vec![step(2, smallvec![])]), queue(), at(1));
    let sent = starts(&mut entry);

    entry.close(key, at(20));

    let cancels: Vec<_> = orders(&mut entry)
        .into_iter()
        .flat_map(|(_link, order)| order.cancels)
        .collect();
    assert_eq!(cancels.len(), sent.len());
}

#[test]
fn a_task_that_failed_runs_elsewhere_and_the_last_failure_ends_the_job() {
    let mut entry = entry();
    let one = agent(&mut entry, "agent-1", 10, at(0));
    let two = agent(&mut entry, "agent-2", 10, at(0));
    let key = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    let (first, start) = starts(&mut entry).remove(0);

    let failed = vec![outcome(&start, End::Failed)];
    entry.report(first, report(10, failed, at(10)), at(10));
    let (second, start) = starts(&mut entry).remove(0);
    let failed = vec![outcome(&start, End::Failed)];
    entry.report(second, report(10, failed, at(20)), at(20));

    assert_ne!(first, second);
    assert!([one, two].contains(&second));
    assert_eq!(answers(&mut entry), [(key, Answer::Failed)]);
}

#[test]
fn the_last_failure_cancels_only_the_tasks_that_still_run() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let mut one_attempt = queue();
    one_attempt.attempts = 1;
    entry.submit(request(vec![step(2, smallvec![])]), one_attempt, at(1));
    let sent = starts(&mut entry);

    let failed = vec![outcome(&sent[0].1, End::Failed)];
    entry.report(sent[0].0, report(10, failed, at(10)), at(10));

    let cancels: Vec<_> = orders(&mut entry)
        .into_iter()
        .flat_map(|(_link, order)| order.cancels)
        .collect();
    assert_eq!(cancels, [sent[1].1.ticket]);
}

#[test]
fn tasks_larger_than_any_server_do_not_overflow_the_backlog() {
    let mut entry = entry();
    let huge = Step {
        needs: Resources {
            cpu: u32::MAX,
            ..TASK
        },
        ..step(8, smallvec![])
    };

    let key = entry.submit(request(vec![huge]), queue(), at(10));
    agent(&mut entry, "agent-1", 10, at(20));
    entry.tick(at(1_900));
    entry.tick(at(2_100));

    assert!(
        answers(&mut entry)
            .iter()
            .any(|(answered, _)| *answered == key)
    );
}

#[test]
fn a_job_without_room_in_time_is_refused_at_once() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 0, at(0));

    let key = entry.submit(request(vec![step(8, smallvec![])]), queue(), at(1));

    let expected = Answer::Refused {
        reason: Refusal::Overloaded,
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(answers(&mut entry), [(key, expected)]);
}

#[test]
fn nothing_is_sent_to_a_data_centre_out_of_service() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    entry.set_catalogue(snapshot(2, &["north"]), "test", at(1));
    entry.take_actions();

    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(2));

    assert!(starts(&mut entry).is_empty());
}

#[test]
fn an_older_catalogue_never_comes_back() {
    let mut entry = entry();
    entry.set_catalogue(snapshot(5, &["north"]), "test", at(1));

    entry.set_catalogue(snapshot(4, &[]), "test", at(2));

    assert_eq!(entry.catalogue().map(|known| known.version), Some(5));
}

#[test]
fn an_agent_that_was_silent_gets_no_task() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));

    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(390));

    assert!(starts(&mut entry).is_empty());
}

#[test]
fn an_orphan_waits_until_it_is_certain_that_it_does_not_run() {
    let mut entry = entry();
    let lost = agent(&mut entry, "agent-1", 10, at(0));
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    entry.take_actions();
    entry.disconnect(lost, at(10));
    let other = agent(&mut entry, "agent-2", 10, at(20));
    assert!(starts(&mut entry).is_empty());

    let back = agent(&mut entry, "agent-1", 10, at(30));
    let cleared = Report {
        cleared: true,
        ..report(10, Vec::new(), at(40))
    };
    entry.report(back, cleared, at(40));

    let sent = starts(&mut entry);
    assert_eq!(sent.len(), 1);
    assert!([other, back].contains(&sent[0].0));
}

#[test]
fn a_planned_stop_answers_each_job_before_the_process_ends() {
    let mut entry = entry();
    agent(&mut entry, "agent-1", 10, at(0));
    let before = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    entry.stop(Mono(500_000));
    let after = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(100));
    entry.take_actions();

    entry.tick(at(501));

    let mut answered = answers(&mut entry);
    answered.sort_by_key(|(key, _answer)| *key);
    assert_eq!(
        answered,
        [(before, Answer::Expired), (after, Answer::Expired)]
    );
    assert!(!entry.is_ready(at(20).mono));
}

#[test]
fn a_task_that_was_handed_back_is_sent_again() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(1));
    let (_link, start) = starts(&mut entry).remove(0);

    let busy = vec![outcome(&start, End::NotStarted(Declined::Busy))];
    entry.report(link, report(5, busy, at(10)), at(10));

    assert_eq!(starts(&mut entry).len(), 1);
}

#[test]
fn after_a_pause_nothing_is_sent_before_callers_that_left_are_noticed() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    let long = || Step {
        estimate: Duration::from_millis(900),
        ..step(1, smallvec![])
    };
    let left = entry.submit(request(vec![long()]), queue(), at(1));
    entry.submit(request(vec![long()]), queue(), at(1));
    let sent = starts(&mut entry);
    let lost = sent.iter().map(|(_link, start)| outcome(start, End::Lost));

    // The process stood still; what it finds first is that its tasks were stopped meanwhile.
    entry.report(link, report(10, lost.collect(), at(701)), at(701));
    let at_once = starts(&mut entry);
    entry.close(left, at(702));
    entry.report(link, report(10, Vec::new(), at(741)), at(741));
    let later = starts(&mut entry);

    assert_eq!(at_once, []);
    assert_eq!(later.len(), 1);
}

#[test]
fn a_job_that_no_server_can_end_in_time_is_answered_at_once() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(patient(step(1, smallvec![])), queue(), at(1));
    let sent = starts(&mut entry);
    let lost = vec![outcome(&sent[0].1, End::Lost)];
    let mut full = report(0, lost, at(100));
    full.load.queued = 50_000;
    entry.report(link, full, at(100));

    // Three objectives of 156 ms after its arrival nothing that still ends is of use.
    for now in (120..600).step_by(20) {
        entry.tick(at(now));
    }

    assert_eq!(answers(&mut entry), [(key, Answer::Expired)]);
}

#[test]
fn a_job_that_runs_is_answered_when_it_ends_however_late() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    let key = entry.submit(patient(step(1, smallvec![])), queue(), at(1));
    let sent = starts(&mut entry);

    for now in (20..3_000).step_by(20) {
        entry.tick(at(now));
    }
    let done = vec![outcome(&sent[0].1, End::Done)];
    entry.report(link, report(10, done, at(3_000)), at(3_000));

    assert_eq!(answers(&mut entry), [(key, Answer::Completed)]);
}

#[test]
fn a_job_waits_for_the_first_agents_of_an_entry_that_has_just_started() {
    let mut entry = entry();
    entry.submit(request(vec![step(1, smallvec![])]), queue(), at(10));

    let link = entry.connect(hello("agent-1"), at(50));
    entry.report(link, report(10, Vec::new(), at(50)), at(50));

    assert_eq!(starts(&mut entry).len(), 1);
}

#[test]
fn a_job_is_refused_at_once_by_an_entry_that_has_lost_all_agents() {
    let mut entry = entry();
    let link = agent(&mut entry, "agent-1", 10, at(0));
    for now in (20..3_000).step_by(20) {
        entry.tick(at(now));
    }
    entry.disconnect(link, at(3_000));

    let key = entry.submit(request(vec![step(1, smallvec![])]), queue(), at(3_001));

    let refused = Answer::Refused {
        reason: Refusal::NoBackend,
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(answers(&mut entry), [(key, refused)]);
}

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
fn a_task_away_from_its_data_is_expected_to_take_as_long_as_the_deployment_says() {
    let mut entry = entry().with_far(3.0);
    let link = agent(&mut entry, "agent-1", 10, at(0));
    let far = Step {
        rack: Some(Arc::from("r-9")),
        estimate: Duration::from_millis(20),
        ..step(1, smallvec![])
    };
    entry.submit(request(vec![far.clone()]), queue(), at(1));
    let first = starts(&mut entry);
    let done = Outcome {
        ticket: first[0].1.ticket,
        end: End::Done,
        ran: Duration::from_millis(60),
    };
    entry.report(link, report(10, vec![done], at(61)), at(61));

    entry.submit(request(vec![far]), queue(), at(62));

    // The run of 60 ms is what 20 ms near the data take, so nothing new was learnt.
    let second = starts(&mut entry);
    assert_eq!(first[0].1.estimate, Duration::from_millis(60));
    assert_eq!(second[0].1.estimate, Duration::from_millis(60));
}

fn member(number: u8) -> Member {
    Member {
        name: format!("entry-{number}"),
        address: ([10, 0, 0, number], 7_000).into(),
    }
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
