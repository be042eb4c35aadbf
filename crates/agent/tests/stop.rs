//! A planned stop of an agent or backend server under load interrupts no task and fails no job.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use ibisspool_standin::backend::Faults;
use ibisspool_standin::caller::{self, Answer};
use ibisspool_standin::local::{self, BackendShape, ECHO, LocalSystem};
use serde_json::json;

const CALLERS: usize = 4;
const TASKS_PER_JOB: u32 = 40;
const RUN_MS: f64 = 30.0;
const TIMEOUT: Duration = Duration::from_secs(30);

fn start_two_agents() -> LocalSystem {
    let shape = |data_centre: &str| BackendShape {
        data_centre: data_centre.to_owned(),
        slots: 4,
        speed: 1.0,
    };
    local::start(
        &["north", "south"],
        &[shape("north"), shape("south")],
        RUN_MS,
    )
    .expect("the system starts")
}

/// Starts callers that each submit one job and wait for it, half of them through either entry.
fn start_callers(local: &LocalSystem) -> Vec<thread::JoinHandle<Answer>> {
    let urls = local.entry_urls();
    let start_caller = |number: usize| {
        let url = urls[number % urls.len()].clone();
        let inputs: Vec<_> = (0..TASKS_PER_JOB).map(|n| json!({ "number": n })).collect();
        thread::spawn(move || {
            caller::submit(&url, &caller::new_id(), ECHO, &inputs, TIMEOUT)
                .expect("the entry answers")
        })
    };
    (0..CALLERS).map(start_caller).collect()
}

fn join_caller(caller: thread::JoinHandle<Answer>) -> Answer {
    caller.join().expect("the caller does not panic")
}

fn starts_per_task(local: &LocalSystem) -> HashMap<(String, u32), u32> {
    let mut starts_per_task = HashMap::new();
    for start in local
        .backends
        .iter()
        .flat_map(ibisspool_standin::backend::Backend::starts)
    {
        *starts_per_task.entry((start.job, start.index)).or_default() += 1;
    }
    starts_per_task
}

#[test]
fn planned_stop_of_an_agent_under_load_fails_no_job() {
    let mut local = start_two_agents();
    let callers = start_callers(&local);
    while local.backends[0].starts().is_empty() {
        thread::sleep(Duration::from_millis(1));
    }

    let agent = local.agents.remove(0);
    agent.stop_trigger()();
    agent.wait();
    let started_by_stopped = local.backends[0].starts().len();
    let answers = callers.into_iter().map(join_caller);

    for answer in answers {
        assert_eq!(
            answer.state, "complete",
            "{} {}",
            answer.reason, answer.detail
        );
        assert_eq!(answer.results.len(), TASKS_PER_JOB as usize);
    }
    let starts_per_task = starts_per_task(&local);
    assert_eq!(starts_per_task.len(), CALLERS * TASKS_PER_JOB as usize);
    assert!(
        starts_per_task.values().all(|count| *count == 1),
        "{starts_per_task:?}"
    );
    assert_eq!(
        local.backends[0].starts().len(),
        started_by_stopped,
        "none started after the stop"
    );
}

#[test]
fn backend_that_leaves_and_returns_under_load_fails_no_job() {
    let local = start_two_agents();
    let leaving = |leave| Faults {
        leave,
        ..Faults::default()
    };
    let callers = start_callers(&local);

    local.backends[0].set_faults(leaving(true));
    let mut answers: Vec<Answer> = callers.into_iter().map(join_caller).collect();
    let starts_before_return = local.backends[0].starts().len();
    local.backends[0].set_faults(leaving(false));
    while local.backends[0].starts().len() == starts_before_return {
        answers.extend(start_callers(&local).into_iter().map(join_caller));
    }

    for answer in &answers {
        assert_eq!(answer.state, "complete", "{answer:?}");
    }
    assert!(starts_per_task(&local).values().all(|count| *count == 1));
}
