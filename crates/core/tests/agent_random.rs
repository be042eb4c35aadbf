//! Random events, with orders repeated and reordered over connections that open and close, must not
//! make the agent start a task twice or start an attempt that it reported as not started.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use ibisspool_core::agent::{Action, Agent, Bounds, Event};
use ibisspool_core::frame::{Attempt, Dispatch, End, NotStarted, Order, Outcome};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::settings::Timing;
use ibisspool_core::time::{Monotonic, Now, Wall};
use proptest::prelude::*;

const RUNS: u32 = 2_000;
const MAX_STEPS: usize = 120;
const TASKS: u32 = 6;
const CONNECTIONS: u64 = 3;
const BOUNDS: Bounds = Bounds {
    max_records: 16,
    max_output_bytes: 20,
};

/// One random step of a run.
#[derive(Debug, Clone)]
enum Step {
    Dispatch {
        link: u64,
        index: u32,
        attempt: u32,
        permit_age_ms: u64,
        epoch: u64,
    },
    Query {
        link: u64,
        index: u32,
        attempt: u32,
    },
    Recall {
        link: u64,
        index: u32,
    },
    Acknowledge {
        link: u64,
        count: u64,
    },
    End {
        index: u32,
        is_abandoned: bool,
    },
    Attach {
        link: u64,
    },
    Detach {
        link: u64,
    },
    Announce {
        slots: u32,
    },
    Leave,
    Advance {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let task = || 0..TASKS;
    let link = || 0..CONNECTIONS;
    let attempt = || 1..4_u32;
    prop_oneof![
        6 => (link(), task(), attempt(), 0..1_500_u64, 4..6_u64).prop_map(
            |(link, index, attempt, permit_age_ms, epoch)| Step::Dispatch {
                link, index, attempt, permit_age_ms, epoch,
            }
        ),
        2 => (link(), task(), attempt())
            .prop_map(|(link, index, attempt)| Step::Query { link, index, attempt }),
        1 => (link(), task()).prop_map(|(link, index)| Step::Recall { link, index }),
        1 => (link(), 0..9_u64).prop_map(|(link, count)| Step::Acknowledge { link, count }),
        3 => (task(), any::<bool>()).prop_map(|(index, is_abandoned)| Step::End { index, is_abandoned }),
        1 => link().prop_map(|link| Step::Attach { link }),
        1 => link().prop_map(|link| Step::Detach { link }),
        1 => (1..3_u32).prop_map(|slots| Step::Announce { slots }),
        1 => Just(Step::Leave),
        2 => (0..1_200_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// What the agent has reported and started, as seen from outside.
#[derive(Default)]
struct Observed {
    /// Highest attempt dispatched.
    dispatched: HashMap<Task, u32>,
    /// Highest attempt reported as not started.
    highest_not_started: HashMap<Task, u32>,
    running: HashSet<Task>,
    ended: HashSet<Task>,
}

impl Observed {
    fn check(&mut self, actions: &[Action], now: Monotonic) {
        for action in actions {
            match action {
                Action::Start { task, expires, .. } => self.check_start(*task, *expires, now),
                Action::Report { report, .. } => {
                    report
                        .outcomes
                        .iter()
                        .for_each(|outcome| self.check_outcome(outcome));
                }
                _ => {}
            }
        }
    }

    fn check_start(&mut self, task: Task, expires: Monotonic, now: Monotonic) {
        assert!(self.running.insert(task), "the task is running already");
        assert!(!self.ended.contains(&task), "the task has run already");
        assert!(now <= expires, "the permit has expired");
        let highest_not_started = self.highest_not_started.get(&task).copied().unwrap_or(0);
        assert!(
            self.dispatched[&task] > highest_not_started,
            "every dispatched attempt was reported as not started"
        );
    }

    fn check_outcome(&mut self, outcome: &Outcome) {
        let task = outcome.task;
        if let End::NotStarted(_) = outcome.end {
            assert!(!self.running.contains(&task), "the task is running");
            assert!(!self.ended.contains(&task), "the task has run");
            let highest_not_started = self.highest_not_started.entry(task).or_default();
            *highest_not_started = (*highest_not_started).max(outcome.attempt);
        }
    }
}

fn task(index: u32) -> Task {
    let job = Id::new(Wall(1_000), [9; 10]);
    Task { job, index }
}

fn order(epoch: u64) -> Order {
    Order {
        agent_incarnation: 1,
        epoch,
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

/// Returns the event of a step, `None` if the step is impossible in the present state.
fn event(step: &Step, observed: &mut Observed, now: &mut Monotonic) -> Option<Event> {
    Some(match *step {
        Step::Dispatch {
            link,
            index,
            attempt,
            permit_age_ms,
            epoch,
        } => {
            let attempts = observed.dispatched.entry(task(index)).or_default();
            *attempts = (*attempts).max(attempt);
            let permit = Some(Monotonic(now.0 - permit_age_ms * 1_000));
            let dispatches = vec![dispatch(task(index), attempt)];
            let order = Order {
                permit,
                dispatches,
                ..order(epoch)
            };
            Event::OrderReceived { link, order }
        }
        Step::Query {
            link,
            index,
            attempt,
        } => {
            let queries = vec![Attempt {
                task: task(index),
                attempt,
            }];
            Event::OrderReceived {
                link,
                order: Order {
                    queries,
                    ..order(5)
                },
            }
        }
        Step::Recall { link, index } => {
            let recalls = vec![task(index)];
            Event::OrderReceived {
                link,
                order: Order {
                    recalls,
                    ..order(5)
                },
            }
        }
        Step::Acknowledge { link, count } => {
            let order = Order {
                acknowledged: count,
                ..order(5)
            };
            Event::OrderReceived { link, order }
        }
        Step::End {
            index,
            is_abandoned,
        } => {
            let task = task(index);
            observed.running.take(&task)?;
            if is_abandoned {
                let end = End::NotStarted(NotStarted::Stale);
                return Some(Event::TaskEnded { task, end });
            }
            observed.ended.insert(task);
            let end = End::Done(Bytes::from_static(b"output"));
            Event::TaskEnded { task, end }
        }
        Step::Attach { link } => Event::Connected { link },
        Step::Detach { link } => Event::Disconnected { link },
        Step::Announce { slots } => Event::Registered {
            slots,
            kinds: vec!["echo".to_owned()],
        },
        Step::Leave => Event::Deregistered,
        Step::Advance { ms } => {
            *now = now.plus(Duration::from_millis(ms));
            Event::Tick
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: RUNS,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_orders_never_start_a_task_twice_or_after_its_last_attempt_was_declined(
        steps in prop::collection::vec(step(), 1..MAX_STEPS),
    ) {
        let mut agent = Agent::new("backend", "north", 1, Timing::default()).with_bounds(BOUNDS);
        let (mut observed, mut now) = (Observed::default(), Monotonic(10_000_000));
        let initial_steps = [Step::Announce { slots: 2 }, Step::Attach { link: 0 }, Step::Attach { link: 1 }];

        for step in initial_steps.iter().chain(&steps) {
            if let Some(event) = event(step, &mut observed, &mut now) {
                let mut actions = Vec::new();
                agent.handle(event, Now { mono: now, wall: Wall(0) }, &mut actions);
                observed.check(&actions, now);
            }
        }

        prop_assert!(agent.ledger().len() <= BOUNDS.max_records);
    }
}
