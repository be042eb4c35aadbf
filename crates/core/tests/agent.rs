//! The agent's decisions: at most one start, true refusals, no lost outcome.

use std::time::Duration;

use bytes::Bytes;
use ibisspool_core::agent::{Action, Agent, Bounds, Event};
use ibisspool_core::frame::{Attempt, Dispatch, End, Hello, NotStarted, Order, Outcome, Report};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::receipt::Receipt;
use ibisspool_core::settings::Timing;
use ibisspool_core::time::{Mono, Now, Wall};

const INCARNATION: u64 = 7;
const ANNOUNCEMENT: Duration = Duration::from_secs(3);

struct Bench {
    agent: Agent,
    now: Mono,
}

/// An agent with one entry attached as connection 1.
fn bench(slots: u32, bounds: Bounds) -> Bench {
    let agent = Agent::new("backend", "north", INCARNATION, Timing::default())
        .with_bounds(bounds)
        .with_announcement_timeout(ANNOUNCEMENT);
    let now = Mono(10_000_000);
    let mut bench = Bench { agent, now };
    bench.announce(slots);
    bench.send(Event::Attached { link: 1 });
    bench
}

impl Bench {
    fn send(&mut self, event: Event) -> Vec<Action> {
        let (mono, wall) = (self.now, Wall(0));
        let mut actions = Vec::new();
        self.agent.handle(event, Now { mono, wall }, &mut actions);
        actions
    }

    fn announce(&mut self, slots: u32) -> Vec<Action> {
        let kinds = vec!["echo".to_owned()];
        self.send(Event::Announced { slots, kinds })
    }

    fn order(&mut self, link: u64, order: Order) -> Vec<Action> {
        self.send(Event::Ordered { link, order })
    }

    /// Dispatches over a connection with a permit of this moment.
    fn dispatch(&mut self, link: u64, task: Task, attempt: u32) -> Vec<Action> {
        let order = Order {
            permit: Some(self.now),
            dispatches: vec![dispatch(task, attempt)],
            ..blank()
        };
        self.order(link, order)
    }

    fn query(&mut self, link: u64, task: Task, attempt: u32) -> Vec<Action> {
        let queries = vec![Attempt { task, attempt }];
        self.order(link, Order { queries, ..blank() })
    }

    fn end(&mut self, task: Task, end: End) -> Vec<Action> {
        self.send(Event::Ended { task, end })
    }

    fn pass(&mut self, delay: Duration) -> Vec<Action> {
        self.now = self.now.plus(delay);
        self.send(Event::Tick)
    }
}

fn blank() -> Order {
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
    let flat = |(link, report): (u64, &Report)| {
        let ends = report.outcomes.clone().into_iter();
        ends.map(
            move |Outcome {
                      task, attempt, end, ..
                  }| (link, task.index, attempt, end),
        )
        .collect::<Vec<_>>()
    };
    reports(actions).flat_map(flat).collect()
}

fn refused(link: u64, index: u32, attempt: u32, reason: NotStarted) -> Vec<(u64, u32, u32, End)> {
    vec![(link, index, attempt, End::NotStarted(reason))]
}

fn hello(actions: &[Action]) -> Option<Hello> {
    reports(actions).find_map(|(_link, report)| report.hello.clone())
}

#[test]
fn a_second_dispatch_never_starts_a_task_again() {
    let mut bench = bench(1, Bounds::default());
    let (running, queued) = (task(0), task(1));

    let first = bench.dispatch(1, running, 1);
    let waiting = bench.dispatch(1, queued, 1);
    let again = [bench.dispatch(1, running, 1), bench.dispatch(1, queued, 1)].concat();
    let ended = bench.end(running, done());
    let repeated = bench.dispatch(1, running, 2);

    assert_eq!((starts(&first), starts(&waiting)), (vec![0], vec![]));
    assert!(starts(&again).is_empty() && outcomes(&again).is_empty());
    assert_eq!(starts(&ended), [1]);
    assert_eq!(outcomes(&repeated), [(1, 0, 2, done())]);
    assert!(starts(&repeated).is_empty());
}

#[test]
fn a_declined_attempt_stays_declined_and_a_later_one_may_start() {
    let mut bench = bench(1, Bounds::default());
    let old = Order {
        epoch: 4,
        permit: Some(bench.now),
        dispatches: vec![dispatch(task(0), 1)],
        ..blank()
    };
    bench.order(1, blank());

    let declined = bench.order(1, old);
    let repeated = bench.dispatch(1, task(0), 1);
    let later = bench.dispatch(1, task(0), 2);

    assert_eq!(outcomes(&declined), refused(1, 0, 1, NotStarted::OldEpoch));
    assert_eq!(outcomes(&repeated), refused(1, 0, 1, NotStarted::OldEpoch));
    assert_eq!(starts(&later), [0]);
}

#[test]
fn a_dispatch_delayed_on_an_old_connection_is_refused_after_a_query() {
    let mut bench = bench(1, Bounds::default());
    bench.send(Event::Attached { link: 2 });

    let answer = bench.query(2, task(0), 1);
    let delayed = bench.dispatch(1, task(0), 1);

    assert_eq!(outcomes(&answer), refused(2, 0, 1, NotStarted::Tombstoned));
    assert_eq!(outcomes(&delayed), refused(1, 0, 1, NotStarted::Tombstoned));
    assert!(starts(&delayed).is_empty());
}

#[test]
fn a_permit_that_expired_in_the_queue_is_stale_at_the_start() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);
    bench.now = bench
        .now
        .plus(Timing::default().lease + Duration::from_micros(1));

    let ended = bench.end(task(0), done());

    assert!(starts(&ended).is_empty());
    assert!(outcomes(&ended).contains(&(1, 1, 1, End::NotStarted(NotStarted::Stale))));
}

#[test]
fn a_newer_permit_refreshes_every_queued_task_of_its_entry_only() {
    let mut bench = bench(1, Bounds::default());
    bench.send(Event::Attached { link: 2 });
    bench.dispatch(2, task(9), 1);
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);
    bench.dispatch(2, task(2), 1);
    bench.now = bench.now.plus(Timing::default().lease);
    let permit = Some(bench.now);
    bench.order(1, Order { permit, ..blank() });
    bench.now = bench.now.plus(Duration::from_millis(1));

    let ends = [task(9), task(0), task(1)].map(|task| bench.end(task, done()));

    assert_eq!(
        ends.each_ref().map(|end| starts(end)),
        [vec![0], vec![1], vec![]]
    );
    assert!(outcomes(&ends[2]).contains(&(2, 2, 1, End::NotStarted(NotStarted::Stale))));
}

#[test]
fn a_queued_task_of_an_older_epoch_does_not_start_under_a_newer_permit() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);
    let (epoch, permit) = (6, Some(bench.now));
    bench.order(
        1,
        Order {
            epoch,
            permit,
            ..blank()
        },
    );

    let end = bench.end(task(0), done());

    assert!(starts(&end).is_empty());
    assert!(outcomes(&end).contains(&(1, 1, 1, End::NotStarted(NotStarted::OldEpoch))));
}

#[test]
fn an_order_for_another_incarnation_is_never_answered() {
    let mut bench = bench(1, Bounds::default());
    let foreign = Order {
        agent_incarnation: INCARNATION + 1,
        permit: Some(bench.now),
        dispatches: vec![dispatch(task(0), 1)],
        queries: vec![Attempt {
            task: task(1),
            attempt: 1,
        }],
        recalls: vec![task(2)],
        ..blank()
    };

    let actions = bench.order(1, foreign);

    assert!(actions.contains(&Action::ForeignOrder));
    assert!(starts(&actions).is_empty() && outcomes(&actions).is_empty());
    assert!(
        hello(&actions).is_some(),
        "the entry learns the present incarnation"
    );
}

#[test]
fn an_outcome_without_a_connection_is_told_after_the_query() {
    let mut bench = bench(2, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);
    bench.send(Event::Detached { link: 1 });
    bench.end(task(0), done());
    bench.send(Event::Attached { link: 2 });

    let ended = bench.query(2, task(0), 1);
    let running = bench.query(2, task(1), 1);
    let later = bench.end(task(1), done());

    assert_eq!(outcomes(&ended), [(2, 0, 1, done())]);
    assert_eq!(outcomes(&running), []);
    assert_eq!(outcomes(&later), [(2, 1, 1, done())]);
}

#[test]
fn a_recall_gives_back_queued_tasks_and_leaves_running_ones() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);
    let recalls = vec![task(0), task(1)];

    let recalled = bench.order(1, Order { recalls, ..blank() });
    let ended = bench.end(task(0), done());

    assert_eq!(outcomes(&recalled), refused(1, 1, 1, NotStarted::Recalled));
    assert_eq!(outcomes(&ended), [(1, 0, 1, done())]);
}

#[test]
fn ten_thousand_queued_tasks_can_be_cancelled_in_any_order() {
    let slots = 4_096;
    let count = slots + 10_000;
    let mut bench = bench(slots, Bounds::default());
    let started = bench.order(
        1,
        Order {
            permit: Some(bench.now),
            dispatches: (0..count).map(|index| dispatch(task(index), 1)).collect(),
            ..blank()
        },
    );
    let recalls = (0..count).rev().map(task).collect();

    let recalled = bench.order(1, Order { recalls, ..blank() });

    assert_eq!(starts(&started).len() as u32, slots);
    assert_eq!(outcomes(&recalled).len(), 10_000);
    assert_eq!(bench.agent.load().queued, 0);
}

#[test]
fn a_leaving_backend_gives_back_what_waits_and_finishes_what_runs() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);

    let left = bench.send(Event::Left);
    let refusal = bench.dispatch(1, task(2), 1);
    let ended = bench.end(task(0), done());

    assert!(hello(&left).is_some_and(|hello| hello.leaving));
    assert_eq!(outcomes(&left), refused(1, 1, 1, NotStarted::Leaving));
    assert_eq!(outcomes(&refusal), refused(1, 2, 1, NotStarted::Leaving));
    assert_eq!(outcomes(&ended), [(1, 0, 1, done())]);
}

#[test]
fn a_lapsed_announcement_counts_as_leaving_until_it_is_renewed() {
    let mut bench = bench(1, Bounds::default());

    let kept = bench.pass(ANNOUNCEMENT);
    let lapsed = bench.pass(Duration::from_micros(1));
    let renewed = bench.announce(1);
    let started = bench.dispatch(1, task(0), 1);

    assert!(hello(&kept).is_none());
    assert!(hello(&lapsed).is_some_and(|hello| hello.leaving));
    assert!(hello(&renewed).is_some_and(|hello| !hello.leaving));
    assert_eq!(starts(&started), [0]);
}

#[test]
fn a_renewed_announcement_does_not_undo_a_stop() {
    let mut bench = bench(1, Bounds::default());
    bench.send(Event::Stop);

    bench.announce(1);
    let refusal = bench.dispatch(1, task(0), 1);

    assert_eq!(outcomes(&refusal), refused(1, 0, 1, NotStarted::Leaving));
}

#[test]
fn a_start_called_off_before_it_was_sent_may_start_later() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);

    let called_off = bench.end(task(0), End::NotStarted(NotStarted::Stale));
    let repeated = bench.dispatch(1, task(0), 1);
    let later = bench.dispatch(1, task(0), 2);

    assert_eq!(outcomes(&called_off), refused(1, 0, 1, NotStarted::Stale));
    assert_eq!(outcomes(&repeated), refused(1, 0, 1, NotStarted::Stale));
    assert_eq!(starts(&later), [0]);
}

#[test]
fn an_unreachable_backend_counts_as_leaving_until_it_announces_itself() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.dispatch(1, task(1), 1);

    let unreachable = bench.end(task(0), End::NotStarted(NotStarted::Leaving));
    bench.announce(1);
    let started = bench.dispatch(1, task(0), 2);

    assert_eq!(
        outcomes(&unreachable).len(),
        2,
        "the queued task is given back too"
    );
    assert_eq!(starts(&started), [0]);
}

#[test]
fn a_full_ledger_refuses_new_tasks_and_forgets_none() {
    let records = 8;
    let mut bench = bench(
        16,
        Bounds {
            records,
            ..Bounds::default()
        },
    );
    for index in 0..7 {
        bench.dispatch(1, task(index), 1);
    }

    let refusal = bench.dispatch(1, task(7), 1);
    let unpromised = bench.query(1, task(8), 1);
    let ended = bench.end(task(0), done());
    let repeated = bench.dispatch(1, task(0), 1);

    assert_eq!(outcomes(&refusal), refused(1, 7, 1, NotStarted::Full));
    assert!(matches!(
        outcomes(&unpromised)[..],
        [(1, 8, 1, End::Unknown(_))]
    ));
    assert_eq!(outcomes(&ended), outcomes(&repeated));
    assert_eq!(bench.agent.ledger().len(), records);
}

#[test]
fn the_ledger_expires_with_the_window_but_for_running_tasks() {
    let mut bench = bench(2, Bounds::default());
    let dispatches = vec![dispatch(task(0), 1)];
    let without_permit = Order {
        dispatches,
        ..blank()
    };
    bench.order(1, without_permit);
    bench.dispatch(1, task(0), 2);
    bench.dispatch(1, task(1), 1);
    bench.end(task(1), done());

    bench.pass(Timing::default().window + Duration::from_micros(1));
    let remembered = bench.agent.ledger().len();
    bench.announce(2);
    let repeated = bench.dispatch(1, task(0), 2);

    assert_eq!(remembered, 1);
    assert!(starts(&repeated).is_empty());
}

#[test]
fn only_acknowledged_outputs_are_dropped_and_only_past_the_bound() {
    let output_bytes = 10;
    let mut bench = bench(
        4,
        Bounds {
            output_bytes,
            ..Bounds::default()
        },
    );
    for index in 0..2 {
        bench.dispatch(1, task(index), 1);
        bench.end(task(index), done());
    }

    let refusal = bench.dispatch(1, task(2), 1);
    let kept = bench.query(1, task(0), 1);
    bench.order(
        1,
        Order {
            acknowledged: 1,
            ..blank()
        },
    );
    let dropped = bench.query(1, task(0), 1);
    let second = bench.query(1, task(1), 1);

    assert_eq!(outcomes(&refusal), refused(1, 2, 1, NotStarted::Full));
    assert_eq!(outcomes(&kept), [(1, 0, 1, done())]);
    assert!(matches!(
        outcomes(&dropped)[..],
        [(1, 0, 1, End::Unknown(_))]
    ));
    assert_eq!(outcomes(&second), [(1, 1, 1, done())]);
}

#[test]
fn a_stop_waits_until_every_outcome_is_acknowledged() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.send(Event::Stop);
    let running = bench.agent.is_drained();
    bench.end(task(0), done());
    let reported = bench.agent.is_drained();

    bench.order(
        1,
        Order {
            acknowledged: 1,
            ..blank()
        },
    );

    assert!(!running && !reported);
    assert!(bench.agent.is_drained());
}

#[test]
fn a_stop_waits_for_a_lost_entry_only_so_long() {
    let mut bench = bench(1, Bounds::default());
    bench.dispatch(1, task(0), 1);
    bench.send(Event::Stop);
    bench.send(Event::Detached { link: 1 });
    bench.end(task(0), done());

    bench.pass(Duration::ZERO);
    let early = bench.agent.is_drained();
    bench.pass(Timing::default().agent_silence + Duration::from_micros(1));

    assert!(!early);
    assert!(bench.agent.is_drained());
}

#[test]
fn an_acknowledgement_without_an_order_to_carry_it_is_due_soon_or_at_once_for_a_leaving_agent() {
    let (now, mut receipt) = (Mono(1_000_000), Receipt::new());
    let idle = receipt.is_due(true, now);
    receipt.record(2, now);
    let due = |receipt: &Receipt, leaving, delay| receipt.is_due(leaving, now.plus(delay));

    let early = due(&receipt, false, Duration::from_millis(999));
    let later = due(&receipt, false, Duration::from_secs(1));
    let leaving = due(&receipt, true, Duration::ZERO);
    let received = receipt.take();
    let carried = due(&receipt, false, Duration::from_secs(9));

    assert_eq!(
        (idle, early, later, leaving, carried),
        (false, false, true, true, false)
    );
    assert_eq!(received, 2);
}
