//! Benchmarks of placement and of whole job runs in the decision code, by number of agents.

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use ibisspool_core::catalogue::{Catalogue, Class, Kind, Owner};
use ibisspool_core::control::{Member, Row};
use ibisspool_core::entry::{Action, Entry, Event, Origin, WaiterId};
use ibisspool_core::fair_queue::Lane;
use ibisspool_core::frame::{End, Hello, Load, Outcome, Report};
use ibisspool_core::job::{Id, Spec};
use ibisspool_core::placement::{Agent, Fleet, PlacementRequest, Policy};
use ibisspool_core::settings::{Bounds, Timing};
use ibisspool_core::time::{Monotonic, Now, Wall};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const AGENT_COUNTS: [usize; 3] = [10, 100, 920];
const KIND: &str = "check";
const START_WALL_TIME: Wall = Wall(1_800_000_000_000);

fn hello(number: usize) -> Hello {
    Hello {
        agent: format!("backend-{number}"),
        data_centre: "north".to_owned(),
        slots: 8,
        kinds: vec![KIND.to_owned()],
        leaving: false,
    }
}

fn report(hello: Option<Hello>, now: Now, outcomes: Vec<Outcome>) -> Report {
    Report {
        incarnation: 1,
        epoch: 1,
        stamp: now.mono,
        load: Load::default(),
        hello,
        outcomes,
    }
}

/// Returns the time `millis` milliseconds after the start.
fn at(millis: u64) -> Now {
    let since = Duration::from_millis(millis);
    Now {
        mono: Monotonic(1_000_000).plus(since),
        wall: START_WALL_TIME.plus(since),
    }
}

/// Returns an entry that holds a lease and is connected to `agents` agents.
fn entry(agents: usize, now: Now) -> Entry {
    let me = Member {
        name: "entry".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        data_centre: "north".to_owned(),
    };
    let row = Row {
        epoch: 1,
        members: vec![me.clone()],
        catalogue: 1,
        ..Row::default()
    };
    let mut entry = Entry::new(me, Timing::default(), Bounds::default(), 1);
    let mut actions = Vec::new();
    let mut handle = |event| entry.handle(event, now, &mut actions);
    handle(Event::RowRead {
        sent: now.mono,
        version: 1,
        row,
    });
    handle(Event::CatalogueRead {
        version: 1,
        catalogue: catalogue(),
    });
    for number in 0..agents {
        handle(Event::ReportReceived {
            link: number as u64,
            report: report(Some(hello(number)), now, Vec::new()),
        });
    }
    entry
}

fn catalogue() -> Catalogue {
    Catalogue {
        owners: vec![Owner {
            name: "desk".to_owned(),
            weight: 1,
            max_running: None,
            max_rate: None,
        }],
        kinds: vec![Kind {
            name: KIND.to_owned(),
            owner: "desk".to_owned(),
            class: Class::Urgent,
            max_running: None,
            max_rate: None,
            max_tasks: None,
            max_input_bytes: None,
            max_timeout_ms: 30_000,
            expected_run_ms: 1,
        }],
    }
}

fn submit(now: Now, tasks: usize) -> Event {
    Event::Submit {
        waiter: WaiterId(0),
        spec: Spec {
            id: Id::new(now.wall, [0; 10]),
            kind: KIND.to_owned(),
            inputs: vec![Bytes::from_static(b"1"); tasks],
            timeout: Duration::from_secs(10),
            idempotent: false,
        },
        origin: Origin::NewId,
    }
}

/// Reports each dispatched task as done at once, until the entry dispatches no more; returns the
/// number of dispatches.
fn end_dispatched_tasks(entry: &mut Entry, now: Now, actions: Vec<Action>) -> usize {
    let mut starts = 0;
    let mut pending_actions = actions;
    while !pending_actions.is_empty() {
        let mut next_actions = Vec::new();
        for action in pending_actions {
            let Action::SendOrder { link, order } = action else {
                continue;
            };
            starts += order.dispatches.len();
            let outcomes: Vec<Outcome> = order
                .dispatches
                .into_iter()
                .map(|dispatch| Outcome {
                    task: dispatch.task,
                    attempt: dispatch.attempt,
                    end: End::Done(Bytes::new()),
                    queue_us: 0,
                    run_us: 0,
                })
                .collect();
            if !outcomes.is_empty() {
                let report = report(None, now, outcomes);
                entry.handle(
                    Event::ReportReceived { link, report },
                    now,
                    &mut next_actions,
                );
            }
        }
        pending_actions = next_actions;
    }
    starts
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for agents in AGENT_COUNTS {
        let mut fleet = Fleet::new();
        for number in 0..agents {
            fleet.insert(Agent::new(hello(number), 1, number as u64, Monotonic(0)));
        }
        let request = PlacementRequest {
            kind: KIND,
            lane: Lane::Short,
            is_backlogged: false,
        };
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(agents), |bencher| {
            bencher.iter(|| {
                let policy = Policy::default();
                let key = fleet.choose_agent(policy, black_box(request), &mut rng, |_, _| true);
                if let Some(key) = key {
                    fleet.record_dispatch(key, Lane::Short, 1.0);
                    fleet.agents[key].unfinished_tasks -= 1;
                    fleet.agents[key].dispatched_since_report -= 1;
                    fleet.reindex(key);
                }
            });
        });
    }
    group.finish();
}

fn starts(criterion: &mut Criterion) {
    const TASKS: usize = 10;
    let mut group = criterion.benchmark_group("starts");
    group.throughput(Throughput::Elements(TASKS as u64));
    for agents in AGENT_COUNTS {
        let now = at(0);
        let mut entry = entry(agents, now);
        group.bench_function(BenchmarkId::from_parameter(agents), |bencher| {
            bencher.iter(|| {
                let mut actions = Vec::new();
                entry.handle(submit(now, TASKS), now, &mut actions);
                assert_eq!(end_dispatched_tasks(&mut entry, now, actions), TASKS);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose, starts);
criterion_main!(benches);
