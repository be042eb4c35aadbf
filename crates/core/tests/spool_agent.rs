//! Decisions of an agent, one at a time.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{
    Action, Agent, Announcement, Ended, LinkKey, Listing, RunKey, Running, StartAnswer,
};
use ibisspool_core::spool::job::{Id, Resources, TaskName};
use ibisspool_core::spool::message::{
    AgentHello, Declined, End, Order, Outcome, Report, Stamp, Start, Ticket,
};
use ibisspool_core::spool::safety::Safety;
use ibisspool_core::time::{Mono, Now, Wall};

fn at(millis: u64) -> Now {
    Now {
        mono: Mono(millis * 1_000),
        wall: Wall(1_000_000 + millis),
    }
}

fn announcement(born: u64, sequence: u64, ready: bool) -> Announcement {
    Announcement {
        incarnation: Arc::from(format!("i-{born}")),
        born,
        sequence,
        service: Arc::from("desk"),
        capacity: Resources {
            cpu: 2_000,
            memory: 1_024,
            accelerators: 0,
        },
        labels: Vec::new(),
        ready,
    }
}

fn listing(born: u64, now: Now) -> Listing {
    Listing {
        born,
        clock: now.mono.0 / 1_000,
        ..Listing::default()
    }
}

fn agent() -> (Agent, LinkKey) {
    let hello = AgentHello {
        name: "agent-1".to_owned(),
        data_centre: "north".to_owned(),
    };
    let safety = Safety::new(Duration::from_millis(1_300), Duration::from_secs(1));
    let mut agent = Agent::new(hello, safety, at(0));
    agent.announce(announcement(1, 1, true), at(0));
    agent.listing(&listing(1, at(1)), Mono(0), at(1));
    let link = agent.connect("entry-1", at(1));
    agent.take_actions();
    (agent, link)
}

fn start(ticket: u64, cpu: u32) -> Start {
    Start {
        ticket: Ticket(ticket),
        name: TaskName {
            job: Id(ticket),
            step: 0,
            index: 0,
        },
        spec: Arc::from("work"),
        needs: Resources {
            cpu,
            memory: 64,
            accelerators: 0,
        },
        estimate: Duration::from_millis(100),
        slack_us: 100_000,
        patience: Duration::from_millis(50),
        priority: 0,
        retried: false,
        service: Arc::from("desk"),
    }
}

fn order(echo: Now, sequence: u64, starts: Vec<Start>) -> Order {
    Order {
        echo: Some(Stamp(echo.mono.0)),
        sequence,
        starts,
        cancels: Vec::new(),
        out_of_service: None,
        members: Vec::new(),
        rest: false,
    }
}

fn started(agent: &mut Agent) -> Vec<(RunKey, u64)> {
    agent
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Start { key, number, .. } => Some((key, number)),
            _ => None,
        })
        .collect()
}

fn reports(agent: &mut Agent) -> Vec<Report> {
    agent
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Report(_link, report) => Some(report),
            _ => None,
        })
        .collect()
}

fn outcomes(agent: &mut Agent) -> Vec<Outcome> {
    reports(agent)
        .into_iter()
        .flat_map(|report| report.outcomes)
        .collect()
}

fn stops(agent: &mut Agent) -> usize {
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    agent.take_actions().iter().filter(|a| is_stop(a)).count()
}

#[test]
fn capacity_is_never_exceeded_and_freed_by_the_list_of_ends() {
    let (mut agent, link) = agent();
    let starts = vec![start(1, 1_500), start(2, 1_500)];
    agent.order(link, order(at(1), 1, starts), at(2));
    let first = started(&mut agent);
    assert_eq!(first.len(), 1);

    let ended = Ended {
        sequence: 1,
        number: first[0].1,
        end: End::Done,
    };
    let ends = Listing {
        ended: vec![ended],
        ..listing(1, at(20))
    };
    agent.listing(&ends, Mono(19_000), at(20));

    assert_eq!(started(&mut agent).len(), 1);
    assert_eq!(
        agent.next_hold(at(21)).map(|hold| hold.acknowledged),
        Some(1)
    );
}

#[test]
fn an_order_with_an_old_echo_starts_nothing() {
    let (mut agent, link) = agent();

    agent.order(link, order(at(1), 1, vec![start(1, 500)]), at(500));

    let told = outcomes(&mut agent);
    assert_eq!(told[0].end, End::NotStarted(Declined::Stale));
}

#[test]
fn tasks_of_a_silent_entry_are_stopped() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(1), 1, vec![start(1, 500)]), at(2));
    assert_eq!(started(&mut agent).len(), 1);

    agent.tick(at(420));

    assert_eq!(stops(&mut agent), 1);
}

#[test]
fn a_start_without_an_answer_keeps_its_room_until_it_certainly_does_not_run() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(1), 1, vec![start(1, 1_500)]), at(2));
    let (key, number) = started(&mut agent)[0];
    agent.start_answer(key, StartAnswer::Silent, at(42));
    let probes = agent.take_actions();
    assert!(probes.contains(&Action::Probe));

    agent.listing(&listing(1, at(43)), at(43).mono, at(43));
    assert_eq!(stops(&mut agent), 1);
    agent.listing(&listing(1, at(44)), at(44).mono, at(44));
    assert!(
        outcomes(&mut agent).is_empty(),
        "the stop was not answered yet"
    );
    agent.stop_answer(number, at(45));
    agent.listing(&listing(1, at(46)), at(46).mono, at(46));

    let told = outcomes(&mut agent);
    assert_eq!(told[0].end, End::NotStarted(Declined::Unanswered));
}

#[test]
fn a_start_whose_answer_was_lost_goes_on() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(1), 1, vec![start(1, 1_500)]), at(2));
    let (key, number) = started(&mut agent)[0];
    agent.start_answer(key, StartAnswer::Silent, at(42));

    let running = Running {
        name: start(1, 1_500).name,
        number,
        percent: 30,
    };
    let lists = Listing {
        running: vec![running],
        ..listing(1, at(43))
    };
    agent.listing(&lists, at(43).mono, at(43));

    assert_eq!(stops(&mut agent), 0);
}

#[test]
fn a_start_that_could_not_be_sent_leaves_the_other_runs_alone() {
    let (mut agent, link) = agent();
    agent.order(
        link,
        order(at(1), 1, vec![start(1, 500), start(2, 500)]),
        at(2),
    );
    let sent = started(&mut agent);
    agent.start_answer(sent[0].0, StartAnswer::Started, at(3));

    agent.start_answer(sent[1].0, StartAnswer::NotSent, at(400));

    let told = outcomes(&mut agent);
    let expected = End::NotStarted(Declined::Unreachable);
    assert_eq!(
        told.iter().map(|told| told.end).collect::<Vec<_>>(),
        [expected]
    );
}

#[test]
fn a_server_that_is_gone_runs_nothing() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(1), 1, vec![start(1, 500)]), at(2));
    let first = started(&mut agent)[0].0;
    agent.start_answer(first, StartAnswer::Started, at(3));
    agent.order(link, order(at(3), 2, vec![start(2, 500)]), at(4));
    let second = started(&mut agent)[0].0;

    agent.start_answer(second, StartAnswer::Absent, at(5));

    assert_eq!(outcomes(&mut agent).len(), 2);
}

#[test]
fn another_incarnation_runs_nothing_and_fences_off_old_orders() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(1), 1, vec![start(1, 500)]), at(2));
    agent.take_actions();
    let token = agent.token();

    agent.announce(announcement(2, 1, true), at(50));

    assert_eq!(outcomes(&mut agent)[0].end, End::Lost);
    assert!(agent.token() > token);
}

#[test]
fn a_late_announcement_of_an_earlier_incarnation_is_ignored() {
    let (mut agent, _link) = agent();
    agent.announce(announcement(2, 1, true), at(50));
    agent.take_actions();

    agent.announce(announcement(1, 9, false), at(60));

    let states: Vec<bool> = reports(&mut agent)
        .into_iter()
        .filter_map(|report| report.server)
        .map(|server| server.ready)
        .collect();
    assert!(!states.contains(&false));
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let (mut agent, link) = agent();
    agent.announce(announcement(1, 2, false), at(10));
    agent.take_actions();

    agent.order(link, order(at(10), 1, vec![start(1, 500)]), at(11));

    let told = outcomes(&mut agent);
    assert_eq!(told[0].end, End::NotStarted(Declined::Closed));
}

#[test]
fn a_run_that_nobody_claims_is_stopped_before_anything_starts() {
    let (mut agent, link) = agent();
    let running = Running {
        name: start(9, 500).name,
        number: 5,
        percent: 1,
    };
    let lists = Listing {
        running: vec![running],
        ..listing(1, at(10))
    };
    agent.listing(&lists, at(9).mono, at(10));
    assert_eq!(stops(&mut agent), 1);

    agent.order(link, order(at(10), 1, vec![start(1, 500)]), at(11));
    assert!(started(&mut agent).is_empty());
    agent.listing(&listing(1, at(20)), at(20).mono, at(20));

    assert_eq!(started(&mut agent).len(), 1);
}

#[test]
fn a_server_that_fails_jobs_in_a_row_is_closed_and_probed() {
    let (mut agent, link) = agent();
    for round in 1..=3 {
        let now = at(round * 10);
        agent.order(link, order(now, round, vec![start(round, 500)]), now);
        let number = started(&mut agent)[0].1;
        let ended = Ended {
            sequence: round,
            number,
            end: End::Failed,
        };
        let ends = Listing {
            ended: vec![ended],
            ..listing(1, at(round * 10 + 5))
        };
        agent.listing(&ends, now.mono, at(round * 10 + 5));
    }
    agent.take_actions();

    agent.tick(at(300));
    let closed = reports(&mut agent).pop().map(|report| report.load.open);
    agent.tick(at(700));
    let probing = reports(&mut agent).pop().map(|report| report.load.open);

    assert_eq!((closed, probing), (Some(0), Some(1)));
}

#[test]
fn an_entry_that_needs_few_reports_gets_one_a_second_until_it_asks() {
    let (mut agent, link) = agent();
    let rest = Order {
        rest: true,
        ..order(at(10), 1, Vec::new())
    };
    agent.order(link, rest, at(10));
    agent.take_actions();

    let seen: Vec<usize> = [300, 600, 1_100]
        .iter()
        .map(|&millis| {
            agent.tick(at(millis));
            reports(&mut agent).len()
        })
        .collect();
    agent.order(link, order(at(1_200), 2, Vec::new()), at(1_200));

    assert_eq!(seen, [0, 0, 1]);
    assert_eq!(reports(&mut agent).len(), 1, "it is told at once");
}

#[test]
fn a_refused_connection_says_nothing_of_tasks_started_after_it_was_tried() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(10), 1, vec![start(1, 1_000)]), at(10));
    let run = started(&mut agent)[0].1;

    agent.hold_failed(true, at(5).mono, at(11));
    let before = outcomes(&mut agent);
    agent.hold_failed(true, at(12).mono, at(13));
    let after = outcomes(&mut agent);

    assert!(run > 0);
    assert_eq!(before, []);
    let ends: Vec<End> = after.iter().map(|outcome| outcome.end).collect();
    assert_eq!(ends, [End::Lost]);
}

#[test]
fn a_list_asked_for_at_the_same_reading_of_the_clock_says_nothing_of_a_run() {
    let (mut agent, link) = agent();
    agent.order(link, order(at(10), 1, vec![start(1, 1_000)]), at(10));
    let run = started(&mut agent)[0].0;
    agent.start_answer(run, StartAnswer::Started, at(11));

    agent.listing(&listing(1, at(12)), at(11).mono, at(12));
    let before = outcomes(&mut agent);
    agent.listing(&listing(1, at(14)), at(13).mono, at(14));
    let after = outcomes(&mut agent);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
}
