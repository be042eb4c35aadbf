//! Which announcements an agent believes that name its server and the server's start, and how long a
//! false one lasts.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/agent_fixture.rs"]
mod agent_fixture;

use agent_fixture::*;
use ibisspool_core::spool::agent::{Action, Agent, Announcement, ConnectionKey, Doubt, Profile};
use ibisspool_core::spool::message::{AgentHello, DeclineReason, End};

/// Interval between two announcements of the server, in milliseconds.
const INTERVAL_MS: u64 = 1_500;

/// Returns an announcement that the server makes `millis` milliseconds after the start of the test.
/// Its clock showed 500 ms at the start.
fn own_announcement(sequence: u64, millis: u64) -> Announcement {
    Announcement {
        clock_ms: 500 + millis,
        ..announcement(NAME, BORN, sequence)
    }
}

/// Lets the server repeat its first announcement, and returns when it does.
fn repeat_announcement(agent: &mut Agent) -> u64 {
    let is_acknowledged =
        agent.handle_announcement(own_announcement(2, INTERVAL_MS), at(INTERVAL_MS));
    assert!(is_acknowledged);
    INTERVAL_MS
}

/// Sends a task, and returns the jobs whose tasks start at once. The entry knows the reports that the
/// agent has to send by then.
fn jobs_started_by(agent: &mut Agent, link: ConnectionKey, job: u64, millis: u64) -> Vec<u64> {
    agent.handle_tick(at(millis));
    agent.take_actions();
    send(agent, link, job, at(millis));
    take_started_jobs(agent)
}

fn take_doubts(agent: &mut Agent) -> Vec<Doubt> {
    let actions = agent.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            Action::CountDoubt(doubt) => Some(doubt),
            _ => None,
        })
        .collect()
}

/// Returns an agent that knows of no server yet and is connected to an entry.
fn new_agent() -> (Agent, ConnectionKey) {
    let hello = AgentHello {
        name: "agent-1".to_owned(),
        data_centre: "north".to_owned(),
    };
    let mut agent = Agent::new(hello, safety(), at(0));
    let link = agent.add_connection("entry-1", at(0));
    (agent, link)
}

/// Guards against a server whose own reports are ignored for the rest of its life, after one report
/// of another writer with a high sequence number.
#[test]
fn a_high_sequence_number_shuts_out_no_later_announcement() {
    let (mut agent, link) = connected_agent();
    let false_drain = Announcement {
        sequence: 4_000,
        ready: false,
        ..own_announcement(1, 20)
    };

    agent.handle_announcement(false_drain, at(20));
    let while_closed = jobs_started_by(&mut agent, link, 1, 21);
    repeat_announcement(&mut agent);

    assert!(while_closed.is_empty());
    assert_eq!(
        jobs_started_by(&mut agent, link, 2, INTERVAL_MS + 1),
        [2],
        "the server's own announcement holds"
    );
}

/// Guards against a late report that takes back a newer one.
#[test]
fn an_announcement_that_arrives_late_changes_nothing() {
    let (mut agent, link) = connected_agent();
    let drains_at = repeat_announcement(&mut agent);
    let drain = Announcement {
        ready: false,
        ..own_announcement(3, drains_at + 5)
    };
    agent.handle_announcement(drain, at(drains_at + 6));
    agent.take_actions();

    let is_acknowledged =
        agent.handle_announcement(own_announcement(2, drains_at), at(drains_at + 7));

    assert!(is_acknowledged, "the server has told something newer");
    assert_eq!(take_doubts(&mut agent), [Doubt::Outdated]);
    assert!(jobs_started_by(&mut agent, link, 1, drains_at + 8).is_empty());
}

/// Guards against a report of another writer that the server's own clock refutes, and against a drain
/// of the server that is taken for outdated after it.
#[test]
fn an_announcement_ahead_of_the_servers_clock_is_not_believed() {
    let (mut agent, link) = connected_agent();
    let ahead = Announcement {
        ready: false,
        ..own_announcement(2, 60_000)
    };

    let is_acknowledged = agent.handle_announcement(ahead, at(20));
    let doubts = take_doubts(&mut agent);
    let after_false = jobs_started_by(&mut agent, link, 1, 21);
    let drain = Announcement {
        ready: false,
        ..own_announcement(2, 30)
    };
    let is_drain_acknowledged = agent.handle_announcement(drain, at(30));

    assert!(!is_acknowledged && is_drain_acknowledged);
    assert_eq!(doubts, [Doubt::AheadOfClock]);
    assert_eq!(after_false, [1]);
    assert!(jobs_started_by(&mut agent, link, 2, 31).is_empty());
}

/// Guards against a server whose own reports are ignored for a minute, after an answer with a false
/// clock and a false report that agreed with it.
#[test]
fn an_announcement_believed_by_a_false_clock_shuts_out_no_later_one() {
    let (mut agent, link) = connected_agent();
    agent.handle_listing(&empty_listing(NAME, BORN, 60_000), at(10).mono, at(11));
    let false_drain = Announcement {
        ready: false,
        ..own_announcement(2, 59_520)
    };
    agent.handle_announcement(false_drain, at(20));
    agent.handle_listing(&empty_listing(NAME, BORN, 530), at(30).mono, at(31));

    let repeated_at = repeat_announcement(&mut agent);

    assert_eq!(jobs_started_by(&mut agent, link, 1, repeated_at + 1), [1]);
}

/// Guards against a server that gets the tasks of another service, or more than it can hold: a report
/// in its name changed what it had announced before.
#[test]
fn an_announcement_that_contradicts_the_servers_own_changes_nothing() {
    let labelled = Profile {
        labels: vec!["b".to_owned()],
        ..profile("desk", 2_000)
    };
    for false_profile in [
        profile("archive", 2_000),
        profile("desk", 8_000),
        profile("desk", 500),
        labelled,
    ] {
        let (mut agent, link) = connected_agent();
        let repeated_at = repeat_announcement(&mut agent);
        agent.take_actions();

        let contradiction = Announcement {
            profile: false_profile.clone(),
            ..own_announcement(4_000, repeated_at + 5)
        };
        let is_acknowledged = agent.handle_announcement(contradiction, at(repeated_at + 5));
        let doubts = take_doubts(&mut agent);
        let started: Vec<u64> = (1..=4)
            .flat_map(|job| jobs_started_by(&mut agent, link, job, repeated_at + 5 + job))
            .collect();

        assert!(!is_acknowledged, "{false_profile:?}");
        assert_eq!(doubts, [Doubt::Contradiction]);
        assert_eq!(started, [1, 2, 3], "three tasks fit: {false_profile:?}");
    }
}

/// Guards against a false report that lasts for the life of a server because it came first.
#[test]
fn a_server_is_used_as_it_repeats_itself_although_another_writer_came_first() {
    let (mut agent, link) = new_agent();
    let false_first = Announcement {
        profile: profile("desk", 8_000),
        ..own_announcement(1, 0)
    };
    agent.handle_announcement(false_first, at(1));
    agent.handle_listing(&empty_listing(NAME, BORN, 502), at(2).mono, at(3));

    agent.handle_announcement(own_announcement(1, 10), at(10));
    let while_disputed = jobs_started_by(&mut agent, link, 1, 11);
    for round in 1..=2 {
        let millis = 10 + round * INTERVAL_MS;
        agent.handle_announcement(own_announcement(1 + round, millis), at(millis));
    }
    let settled_at = 10 + 2 * INTERVAL_MS;
    let started: Vec<u64> = (2..=5)
        .flat_map(|job| jobs_started_by(&mut agent, link, job, settled_at + job))
        .collect();

    assert!(while_disputed.is_empty());
    assert_eq!(started, [2, 3, 4], "three tasks fit");
}

/// Guards against false reports that win because some of the server's own were lost: two of them, more
/// than 2 s apart, replaced what the server had repeated (random search, seed 100565).
#[test]
fn a_repeated_profile_outlasts_false_announcements_while_the_servers_own_are_lost() {
    let (mut agent, link) = connected_agent();
    let repeated_at = repeat_announcement(&mut agent);

    for round in 1..=4 {
        let millis = repeated_at + round * INTERVAL_MS;
        let false_one = Announcement {
            profile: profile("desk", 8_000),
            ..own_announcement(4_000, millis)
        };
        assert!(!agent.handle_announcement(false_one, at(millis)));
    }
    let after = repeated_at + 4 * INTERVAL_MS + 1;
    agent.handle_listing(
        &empty_listing(NAME, BORN, 500 + after),
        at(after).mono,
        at(after + 1),
    );
    let started: Vec<u64> = (1..=4)
        .flat_map(|job| jobs_started_by(&mut agent, link, job, after + 1 + job))
        .collect();

    assert_eq!(started, [1, 2, 3], "three tasks fit");
}

/// Guards against a server that is shut out for its life because another writer repeated itself first.
#[test]
fn a_server_outlasts_a_false_profile_that_was_repeated() {
    let (mut agent, link) = new_agent();
    let false_first = |sequence, millis| Announcement {
        profile: profile("archive", 8_000),
        ..own_announcement(sequence, millis)
    };
    agent.handle_announcement(false_first(1, 0), at(1));
    agent.handle_listing(&empty_listing(NAME, BORN, 502), at(2).mono, at(3));
    agent.handle_announcement(false_first(2, 5), at(5));

    for round in 0..5 {
        let millis = 10 + round * INTERVAL_MS;
        agent.handle_announcement(own_announcement(1 + round, millis), at(millis));
    }

    let settled_at = 10 + 4 * INTERVAL_MS;
    assert_eq!(jobs_started_by(&mut agent, link, 1, settled_at + 1), [1]);
}

/// Guards against a server that stays closed: one false report before the server has repeated itself.
#[test]
fn a_server_that_repeats_itself_is_used_on_after_a_contradiction() {
    let (mut agent, link) = connected_agent();
    let contradiction = Announcement {
        profile: profile("archive", 8_000),
        ..own_announcement(1, 20)
    };

    agent.handle_announcement(contradiction, at(20));
    let while_disputed = jobs_started_by(&mut agent, link, 1, 21);
    let repeated_at = repeat_announcement(&mut agent);

    assert!(while_disputed.is_empty());
    assert_eq!(jobs_started_by(&mut agent, link, 2, repeated_at + 1), [2]);
}

/// Guards against a false report that wins because the server's answer confirms its incarnation: the
/// answer does not tell the capacity.
#[test]
fn two_claims_that_contradict_each_other_open_no_server() {
    for is_false_first in [true, false] {
        let (mut agent, link) = new_agent();
        let own = own_announcement(1, 0);
        let contradiction = Announcement {
            profile: profile("desk", 8_000),
            ..own_announcement(4_000, 0)
        };
        let mut claims = [own, contradiction];
        if is_false_first {
            claims.reverse();
        }
        for claim in claims {
            agent.handle_announcement(claim, at(1));
        }

        agent.handle_listing(&empty_listing(NAME, BORN, 502), at(2).mono, at(3));
        let while_disputed = jobs_started_by(&mut agent, link, 1, 4);

        let closed = End::NotStarted(DeclineReason::Closed);
        assert!(while_disputed.is_empty(), "{is_false_first}");
        send(&mut agent, link, 2, at(5));
        assert_eq!(take_ends(&mut agent), [(2, closed)], "{is_false_first}");
    }
}

/// Guards against a false report before the agent knows its server: the server's clock refutes it.
#[test]
fn a_claim_ahead_of_the_servers_clock_is_not_confirmed() {
    let (mut agent, link) = new_agent();
    let ahead = Announcement {
        profile: profile("desk", 8_000),
        ..own_announcement(4_000, 60_000)
    };
    agent.handle_announcement(ahead, at(1));
    agent.handle_listing(&empty_listing(NAME, BORN, 502), at(2).mono, at(3));
    let by_false = jobs_started_by(&mut agent, link, 1, 4);

    agent.handle_announcement(own_announcement(1, 10), at(10));
    agent.handle_listing(&empty_listing(NAME, BORN, 511), at(11).mono, at(12));

    assert!(by_false.is_empty());
    assert_eq!(jobs_started_by(&mut agent, link, 2, 16), [2]);
}

/// Guards against a false report that takes the server's own with it when the server's clock refutes it
/// (random search, seed 120650).
#[test]
fn a_refuted_claim_does_not_replace_the_servers_own() {
    let (mut agent, link) = new_agent();
    let ahead = Announcement {
        sequence: 4_000,
        ..own_announcement(1, 60_000)
    };
    agent.handle_announcement(own_announcement(1, 0), at(1));
    agent.handle_announcement(ahead, at(1));

    agent.handle_listing(&empty_listing(NAME, BORN, 502), at(2).mono, at(3));
    agent.handle_listing(&empty_listing(NAME, BORN, 504), at(4).mono, at(5));

    assert_eq!(jobs_started_by(&mut agent, link, 1, 7), [1]);
}

/// Guards against one false claim that wins over several of the server's own because it is the oldest
/// (random search, seed 113715).
#[test]
fn the_profile_that_most_claims_tell_is_adopted() {
    let (mut agent, link) = new_agent();
    let false_first = Announcement {
        profile: profile("desk", 8_000),
        ..own_announcement(4_000, 0)
    };
    agent.handle_announcement(false_first, at(1));
    agent.handle_announcement(own_announcement(1, 10), at(10));
    agent.handle_announcement(own_announcement(2, 20), at(20));

    agent.handle_listing(&empty_listing(NAME, BORN, 522), at(22).mono, at(23));
    let started: Vec<u64> = (1..=4)
        .flat_map(|job| jobs_started_by(&mut agent, link, job, 27 + job))
        .collect();

    assert_eq!(started, [1, 2, 3], "three tasks fit");
}
