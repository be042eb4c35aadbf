//! The work of an entry for a job is linear in the size of the job, whatever its shape. It is counted
//! in visits of steps, dependencies, tasks and queue positions, not in time.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/entry_fixture.rs"]
mod entry_fixture;

use std::collections::VecDeque;
use std::time::Duration;

use entry_fixture::{
    at_ms, connect_agent, new_entry, outcome_of, queue, report, request, step, take_starts,
};
use ibisspool_core::spool::catalogue::Queue;
use ibisspool_core::spool::entry::{Action, Answer, ConnectionKey, Policy};
use ibisspool_core::spool::job::{Request, Step};
use ibisspool_core::spool::message::{End, Start};
use smallvec::{SmallVec, smallvec};

/// Largest growth of the work for each unit of size when the size of a job doubles. It is 1 if the
/// work is linear, and 2 if it is quadratic.
const MAX_GROWTH: f64 = 1.25;

/// Agents of the entry, each with free CPU for this many tasks.
const AGENTS: usize = 4;
const FREE_SLOTS: u32 = 10;

/// Sizes of a job: its steps, dependencies and tasks.
fn size(steps: &[Step]) -> usize {
    let sizes = steps
        .iter()
        .map(|step| 1 + step.depends_on.len() + step.task_count as usize);
    sizes.sum()
}

/// Runs a job to its end, with one outcome in each report, and returns the work for it.
fn work_of(steps: Vec<Step>) -> u64 {
    let admits_all = Policy {
        admit: |_backlog, _slack| Ok(()),
        ..Policy::default()
    };
    let mut entry = new_entry()
        .with_startup_wait(Duration::ZERO)
        .with_policy(admits_all);
    for agent in 0..AGENTS {
        connect_agent(&mut entry, &format!("agent-{agent}"), FREE_SLOTS, at_ms(0));
    }
    let before = entry.work();
    let request = Request {
        timeout: Duration::from_hours(1),
        ..request(steps)
    };
    let patient = Queue {
        objective_offset: Duration::from_hours(1),
        ..queue()
    };
    let key = entry.submit_job(request, patient, at_ms(1));
    let mut running: VecDeque<(ConnectionKey, Start)> = take_starts(&mut entry).into();
    let mut now = at_ms(1);
    loop {
        let (connection, start) = running.pop_front().expect("the job goes on");
        now.mono = now.mono.plus(Duration::from_micros(20));
        let done = vec![outcome_of(&start, End::Done)];
        entry.handle_report(connection, report(FREE_SLOTS, done, now), now);
        for action in entry.take_actions() {
            match action {
                Action::SendOrder(to, order, _part) => {
                    running.extend(order.starts.into_iter().map(|start| (to, start)));
                }
                Action::SendAnswer(answered, answer) => {
                    assert_eq!((answered, answer), (key, Answer::Completed));
                    return entry.work() - before;
                }
                _ => {}
            }
        }
    }
}

fn assert_linear<S>(steps: S)
where
    S: Fn(u16) -> Vec<Step>,
{
    const BASE: u16 = 200;
    let work_per_size = |count: u16| {
        let steps = steps(count);
        let size = size(&steps);
        work_of(steps) as f64 / size as f64
    };

    let growth = work_per_size(2 * BASE) / work_per_size(BASE);

    assert!(
        growth <= MAX_GROWTH,
        "the work for each unit of size grows by {growth:.2}"
    );
}

#[test]
fn a_step_that_waits_for_many() {
    assert_linear(|count| {
        let mut steps = vec![step(1, smallvec![]); usize::from(count)];
        steps.push(step(1, (0..count).collect()));
        steps.push(step(u32::from(count), (0..=count).collect()));
        steps
    });
}

#[test]
fn a_chain_of_steps() {
    assert_linear(|count| {
        let dependencies = |number: u16| number.checked_sub(1).into_iter().collect();
        (0..count)
            .map(|number| step(1, dependencies(number)))
            .collect()
    });
}

#[test]
fn steps_that_each_wait_for_all_before() {
    assert_linear(|count| {
        (0..count / 2)
            .map(|number| step(1, (0..number).collect()))
            .collect()
    });
}

#[test]
fn a_dependency_that_is_repeated() {
    assert_linear(|count| {
        let repeated: SmallVec<[u16; 4]> = SmallVec::from_elem(0, usize::from(count));
        vec![step(1, smallvec![]), step(u32::from(count), repeated)]
    });
}

#[test]
fn a_wide_step() {
    assert_linear(|count| vec![step(4 * u32::from(count), smallvec![])]);
}

#[test]
fn a_wide_step_with_few_tasks_on_a_server() {
    assert_linear(|count| {
        vec![Step {
            max_tasks_per_server: Some(2),
            ..step(4 * u32::from(count), smallvec![])
        }]
    });
}
