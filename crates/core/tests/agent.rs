//! Decisions of the agent: it starts each task at most once, starts no attempt that it reported as
//! not started, and loses no outcome.

use std::time::Duration;

use bytes::Bytes;
use ibisspool_core::agent::{Action, Agent, Bounds, Event};
use ibisspool_core::frame::{Attempt, Dispatch, End, Hello, NotStarted, Order, Outcome, Report};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::receipt::Receipt;
use ibisspool_core::settings::Timing;
use ibisspool_core::time::{Monotonic, Now, Wall};

const INCARNATION: u64 = 7;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

struct Fixture {
    agent: Agent,
    now: Monotonic,
}

/// Returns an agent whose backend server has registered, with an entry on connection 1.
fn fixture(slots: u32, bounds: Bounds) -> Fixture {
    let agent = Agent::new("backend", "north", INCARNATION, Timing::default())
        .with_bounds(bounds)
        .with_announcement_timeout(ANNOUNCEMENT_TIMEOUT);
    let now = Monotonic(10_000_000);
    let mut fixture = Fixture { agent, now };
    fixture.announce(slots);
    fixture.send(Event::Connected { link: 1 });
    fixture
}

impl Fixture {
    fn send(&mut self, event: Event) -> Vec<Action> {
        let (mono, wall) = (self.now, Wall(0));
        let mut actions = Vec::new();
        self.agent.handle(event, Now { mono, wall }, &mut actions);
        actions
    }

    fn announce(&mut self, slots: u32) -> Vec<Action> {
        let kinds = vec!["echo".to_owned()];
        self.send(Event::Registered { slots, kinds })
    }

    fn order(&mut self, link: u64, order: Order) -> Vec<Action> {
        self.send(Event::OrderReceived { link, order })
    }

    /// Dispatches a task over a connection, with a permit of the present time.
    fn dispatch(&mut self, link: u64, task: Task, attempt: u32) -> Vec<Action> {
        let order = Order {
            permit: Some(self.now),
            dispatches: vec![dispatch(task, attempt)],
            ..empty_order()
        };
        self.order(link, order)
    }

    fn query(&mut self, link: u64, task: Task, attempt: u32) -> Vec<Action> {
        let queries = vec![Attempt { task, attempt }];
        self.order(
            link,
            Order {
                queries,
                ..empty_order()
            },
        )
    }

    fn end(&mut self, task: Task, end: End) -> Vec<Action> {
        self.send(Event::TaskEnded { task, end })
    }

    fn advance(&mut self, delay: Duration) -> Vec<Action> {
        self.now = self.now.plus(delay);
        self.send(Event::Tick)
    }
}

fn empty_order() -> Order {
    Order {
        agent_incarnation: INCARNATION,
        epoch: 5,
        ..Order::default()
    }
}

fn dispatch(task: Task, attempt: u32) -> Dispatch {
    Dispatch {
        task,
        attempt,
        kind: "echo".to_owned(),
        input: Bytes::new(),
        timeout_ms: 1_000,
    }
}

fn task(index: u32) -> Task {
    let job = Id::new(Wall(1_000), [9; 10]);
    Task { job, index }
}

fn done() -> End {
    End::Done(Bytes::from_static(b"output"))
}

fn starts(actions: &[Action]) -> Vec<u32> {
    let started = |action: &Action| match action {
        Action::Start { task, .. } => Some(task.index),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

fn reports(actions: &[Action]) -> impl Iterator<Item = (u64, &Report)> {
    actions.iter().filter_map(|action| match action {
        Action::Report { link, report } => Some((*link, report)),
        _ => None,
    })
}

fn outcomes(actions: &[Action]) -> Vec<(u64, u32, u32, End)> {
    let outcomes_of = |(link, report): (u64, &Report)| {
        let ends = report.outcomes.clone().into_iter();
        ends.map(
            move |Outcome {
                      task, attempt, end, ..
                  }| (link, task.index, attempt, end),
        )
        .collect::<Vec<_>>()
    };
    reports(actions).flat_map(outcomes_of).collect()
}

fn not_started(
    link: u64,
    index: u32,
    attempt: u32,
    reason: NotStarted,
) -> Vec<(u64, u32, u32, End)> {
    vec![(link, index, attempt, End::NotStarted(reason))]
}

fn hello(actions: &[Action]) -> Option<Hello> {
    reports(actions).find_map(|(_link, report)| report.hello.clone())
}

#[test]
fn repeated_dispatch_does_not_start_a_task_again() {
    let mut fixture = fixture(1, Bounds::default());
    let (running, queued) = (task(0), task(1));

    let first = fixture.dispatch(1, running, 1);
    let waiting = fixture.dispatch(1, queued, 1);
    let again = [
        fixture.dispatch(1, running, 1),
        fixture.dispatch(1, queued, 1),
    ]
    .concat();
    let ended = fixture.end(running, done());
    let repeated = fixture.dispatch(1, running, 2);

    assert_eq!((starts(&first), starts(&waiting)), (vec![0], vec![]));
    assert!(starts(&again).is_empty() && outcomes(&again).is_empty());
    assert_eq!(starts(&ended), [1]);
    assert_eq!(outcomes(&repeated), [(1, 0, 2, done())]);
    assert!(starts(&repeated).is_empty());
}

#[test]
fn declined_attempt_stays_declined_and_a_later_attempt_may_start() {
    let mut fixture = fixture(1, Bounds::default());
    let old = Order {
        epoch: 4,
        permit: Some(fixture.now),
        dispatches: vec![dispatch(task(0), 1)],
        ..empty_order()
    };
    fixture.order(1, empty_order());

    let declined = fixture.order(1, old);
    let repeated = fixture.dispatch(1, task(0), 1);
    let later = fixture.dispatch(1, task(0), 2);

    assert_eq!(
        outcomes(&declined),
        not_started(1, 0, 1, NotStarted::OldEpoch)
    );
    assert_eq!(
        outcomes(&repeated),
        not_started(1, 0, 1, NotStarted::OldEpoch)
    );
    assert_eq!(starts(&later), [0]);
}

#[test]
fn dispatch_that_arrives_after_a_query_of_its_attempt_is_declined() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.send(Event::Connected { link: 2 });

    let answer = fixture.query(2, task(0), 1);
    let delayed = fixture.dispatch(1, task(0), 1);

    assert_eq!(
        outcomes(&answer),
        not_started(2, 0, 1, NotStarted::Tombstoned)
    );
    assert_eq!(
        outcomes(&delayed),
        not_started(1, 0, 1, NotStarted::Tombstoned)
    );
    assert!(starts(&delayed).is_empty());
}

#[test]
fn task_whose_permit_expired_in_the_queue_is_declined_as_stale() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);
    fixture.now = fixture
        .now
        .plus(Timing::default().lease_duration + Duration::from_micros(1));

    let ended = fixture.end(task(0), done());

    assert!(starts(&ended).is_empty());
    assert!(outcomes(&ended).contains(&(1, 1, 1, End::NotStarted(NotStarted::Stale))));
}

#[test]
fn newer_permit_applies_to_all_queued_tasks_of_its_entry_only() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.send(Event::Connected { link: 2 });
    fixture.dispatch(2, task(9), 1);
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);
    fixture.dispatch(2, task(2), 1);
    fixture.now = fixture.now.plus(Timing::default().lease_duration);
    let permit = Some(fixture.now);
    fixture.order(
        1,
        Order {
            permit,
            ..empty_order()
        },
    );
    fixture.now = fixture.now.plus(Duration::from_millis(1));

    let ends = [task(9), task(0), task(1)].map(|task| fixture.end(task, done()));

    assert_eq!(
        ends.each_ref().map(|end| starts(end)),
        [vec![0], vec![1], vec![]]
    );
    assert!(outcomes(&ends[2]).contains(&(2, 2, 1, End::NotStarted(NotStarted::Stale))));
}

#[test]
fn queued_task_of_an_older_epoch_does_not_start_under_a_newer_permit() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);
    let (epoch, permit) = (6, Some(fixture.now));
    fixture.order(
        1,
        Order {
            epoch,
            permit,
            ..empty_order()
        },
    );

    let end = fixture.end(task(0), done());

    assert!(starts(&end).is_empty());
    assert!(outcomes(&end).contains(&(1, 1, 1, End::NotStarted(NotStarted::OldEpoch))));
}

#[test]
fn order_for_another_incarnation_is_ignored_and_answered_with_the_hello() {
    let mut fixture = fixture(1, Bounds::default());
    let foreign = Order {
        agent_incarnation: INCARNATION + 1,
        permit: Some(fixture.now),
        dispatches: vec![dispatch(task(0), 1)],
        queries: vec![Attempt {
            task: task(1),
            attempt: 1,
        }],
        recalls: vec![task(2)],
        ..empty_order()
    };

    let actions = fixture.order(1, foreign);

    assert!(actions.contains(&Action::ForeignOrder));
    assert!(starts(&actions).is_empty() && outcomes(&actions).is_empty());
    assert!(
        hello(&actions).is_some(),
        "the entry learns the present incarnation"
    );
}

#[test]
fn outcome_of_a_closed_connection_is_reported_after_a_query() {
    let mut fixture = fixture(2, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);
    fixture.send(Event::Disconnected { link: 1 });
    fixture.end(task(0), done());
    fixture.send(Event::Connected { link: 2 });

    let ended = fixture.query(2, task(0), 1);
    let running = fixture.query(2, task(1), 1);
    let later = fixture.end(task(1), done());

    assert_eq!(outcomes(&ended), [(2, 0, 1, done())]);
    assert_eq!(outcomes(&running), []);
    assert_eq!(outcomes(&later), [(2, 1, 1, done())]);
}

#[test]
fn recall_returns_queued_tasks_and_leaves_running_tasks() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);
    let recalls = vec![task(0), task(1)];

    let recalled = fixture.order(
        1,
        Order {
            recalls,
            ..empty_order()
        },
    );
    let ended = fixture.end(task(0), done());

    assert_eq!(
        outcomes(&recalled),
        not_started(1, 1, 1, NotStarted::Recalled)
    );
    assert_eq!(outcomes(&ended), [(1, 0, 1, done())]);
}

#[test]
fn ten_thousand_queued_tasks_can_be_recalled_in_reverse_order() {
    let slots = 4_096;
    let count = slots + 10_000;
    let mut fixture = fixture(slots, Bounds::default());
    let started = fixture.order(
        1,
        Order {
            permit: Some(fixture.now),
            dispatches: (0..count).map(|index| dispatch(task(index), 1)).collect(),
            ..empty_order()
        },
    );
    let recalls = (0..count).rev().map(task).collect();

    let recalled = fixture.order(
        1,
        Order {
            recalls,
            ..empty_order()
        },
    );

    assert_eq!(starts(&started).len() as u32, slots);
    assert_eq!(outcomes(&recalled).len(), 10_000);
    assert_eq!(fixture.agent.load().queued, 0);
}

#[test]
fn leaving_backend_declines_queued_tasks_and_finishes_running_ones() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);

    let left = fixture.send(Event::Deregistered);
    let refusal = fixture.dispatch(1, task(2), 1);
    let ended = fixture.end(task(0), done());

    assert!(hello(&left).is_some_and(|hello| hello.leaving));
    assert_eq!(outcomes(&left), not_started(1, 1, 1, NotStarted::Leaving));
    assert_eq!(
        outcomes(&refusal),
        not_started(1, 2, 1, NotStarted::Leaving)
    );
    assert_eq!(outcomes(&ended), [(1, 0, 1, done())]);
}

#[test]
fn backend_with_a_lapsed_registration_is_leaving_until_it_registers_again() {
    let mut fixture = fixture(1, Bounds::default());

    let kept = fixture.advance(ANNOUNCEMENT_TIMEOUT);
    let lapsed = fixture.advance(Duration::from_micros(1));
    let renewed = fixture.announce(1);
    let started = fixture.dispatch(1, task(0), 1);

    assert!(hello(&kept).is_none());
    assert!(hello(&lapsed).is_some_and(|hello| hello.leaving));
    assert!(hello(&renewed).is_some_and(|hello| !hello.leaving));
    assert_eq!(starts(&started), [0]);
}

#[test]
fn renewed_registration_does_not_undo_a_shutdown() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.send(Event::Shutdown);

    fixture.announce(1);
    let refusal = fixture.dispatch(1, task(0), 1);

    assert_eq!(
        outcomes(&refusal),
        not_started(1, 0, 1, NotStarted::Leaving)
    );
}

#[test]
fn start_abandoned_before_it_was_sent_allows_a_later_attempt() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);

    let abandoned = fixture.end(task(0), End::NotStarted(NotStarted::Stale));
    let repeated = fixture.dispatch(1, task(0), 1);
    let later = fixture.dispatch(1, task(0), 2);

    assert_eq!(
        outcomes(&abandoned),
        not_started(1, 0, 1, NotStarted::Stale)
    );
    assert_eq!(outcomes(&repeated), not_started(1, 0, 1, NotStarted::Stale));
    assert_eq!(starts(&later), [0]);
}

#[test]
fn unreachable_backend_is_leaving_until_it_registers_again() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.dispatch(1, task(1), 1);

    let unreachable = fixture.end(task(0), End::NotStarted(NotStarted::Leaving));
    fixture.announce(1);
    let started = fixture.dispatch(1, task(0), 2);

    assert_eq!(
        outcomes(&unreachable).len(),
        2,
        "the queued task is given back too"
    );
    assert_eq!(starts(&started), [0]);
}

#[test]
fn full_ledger_declines_new_tasks_and_keeps_all_records() {
    let records = 8;
    let mut fixture = fixture(
        16,
        Bounds {
            max_records: records,
            ..Bounds::default()
        },
    );
    for index in 0..7 {
        fixture.dispatch(1, task(index), 1);
    }

    let refusal = fixture.dispatch(1, task(7), 1);
    let query_of_unknown_task = fixture.query(1, task(8), 1);
    let ended = fixture.end(task(0), done());
    let repeated = fixture.dispatch(1, task(0), 1);

    assert_eq!(outcomes(&refusal), not_started(1, 7, 1, NotStarted::Full));
    assert!(matches!(
        outcomes(&query_of_unknown_task)[..],
        [(1, 8, 1, End::Unknown(_))]
    ));
    assert_eq!(outcomes(&ended), outcomes(&repeated));
    assert_eq!(fixture.agent.ledger().len(), records);
}

#[test]
fn ledger_records_expire_after_the_window_except_those_of_running_tasks() {
    let mut fixture = fixture(2, Bounds::default());
    let dispatches = vec![dispatch(task(0), 1)];
    let without_permit = Order {
        dispatches,
        ..empty_order()
    };
    fixture.order(1, without_permit);
    fixture.dispatch(1, task(0), 2);
    fixture.dispatch(1, task(1), 1);
    fixture.end(task(1), done());

    fixture.advance(Timing::default().retention_window + Duration::from_micros(1));
    let remembered = fixture.agent.ledger().len();
    fixture.announce(2);
    let repeated = fixture.dispatch(1, task(0), 2);

    assert_eq!(remembered, 1);
    assert!(starts(&repeated).is_empty());
}

#[test]
fn only_acknowledged_outputs_beyond_the_bound_are_dropped() {
    let output_bytes = 10;
    let mut fixture = fixture(
        4,
        Bounds {
            max_output_bytes: output_bytes,
            ..Bounds::default()
        },
    );
    for index in 0..2 {
        fixture.dispatch(1, task(index), 1);
        fixture.end(task(index), done());
    }

    let refusal = fixture.dispatch(1, task(2), 1);
    let kept = fixture.query(1, task(0), 1);
    fixture.order(
        1,
        Order {
            acknowledged: 1,
            ..empty_order()
        },
    );
    let dropped = fixture.query(1, task(0), 1);
    let second = fixture.query(1, task(1), 1);

    assert_eq!(outcomes(&refusal), not_started(1, 2, 1, NotStarted::Full));
    assert_eq!(outcomes(&kept), [(1, 0, 1, done())]);
    assert!(matches!(
        outcomes(&dropped)[..],
        [(1, 0, 1, End::Unknown(_))]
    ));
    assert_eq!(outcomes(&second), [(1, 1, 1, done())]);
}

#[test]
fn shutdown_waits_until_every_outcome_is_acknowledged() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.send(Event::Shutdown);
    let running = fixture.agent.is_drained();
    fixture.end(task(0), done());
    let reported = fixture.agent.is_drained();

    fixture.order(
        1,
        Order {
            acknowledged: 1,
            ..empty_order()
        },
    );

    assert!(!running && !reported);
    assert!(fixture.agent.is_drained());
}

#[test]
fn shutdown_waits_for_a_lost_entry_only_until_the_agent_silence_timeout() {
    let mut fixture = fixture(1, Bounds::default());
    fixture.dispatch(1, task(0), 1);
    fixture.send(Event::Shutdown);
    fixture.send(Event::Disconnected { link: 1 });
    fixture.end(task(0), done());

    fixture.advance(Duration::ZERO);
    let early = fixture.agent.is_drained();
    fixture.advance(Timing::default().agent_loss_timeout + Duration::from_micros(1));

    assert!(!early);
    assert!(fixture.agent.is_drained());
}

#[test]
fn acknowledgement_without_an_order_is_due_after_a_second_or_at_once_for_a_leaving_agent() {
    let (now, mut receipt) = (Monotonic(1_000_000), Receipt::new());
    let idle = receipt.is_due(true, now);
    receipt.record(2, now);
    let due = |receipt: &Receipt, leaving, delay| receipt.is_due(leaving, now.plus(delay));

    let early = due(&receipt, false, Duration::from_millis(999));
    let later = due(&receipt, false, Duration::from_secs(1));
    let leaving = due(&receipt, true, Duration::ZERO);
    let received = receipt.acknowledge_all();
    let carried = due(&receipt, false, Duration::from_secs(9));

    assert_eq!(
        (idle, early, later, leaving, carried),
        (false, false, true, true, false)
    );
    assert_eq!(received, 2);
}
