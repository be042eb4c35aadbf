//! A planned stop of an agent under load cuts nothing short.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use ibisspool_standin::backend::Faults;
use ibisspool_standin::caller::{self, Answer};
use ibisspool_standin::local::{self, ECHO, Local, Shape};
use serde_json::json;

const CALLERS: usize = 4;
const TASKS: u32 = 40;
const RUN_MS: f64 = 30.0;
const TIMEOUT: Duration = Duration::from_secs(30);

fn two_agents() -> Local {
    let shape = |data_centre: &str| Shape {
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

/// Callers that each wait for one job, through either entry.
fn submit(local: &Local) -> Vec<thread::JoinHandle<Answer>> {
    let urls = local.entry_urls();
    let submit = |number: usize| {
        let url = urls[number % urls.len()].clone();
        let inputs: Vec<_> = (0..TASKS).map(|n| json!({ "number": n })).collect();
        thread::spawn(move || {
            caller::submit(&url, &caller::new_id(), ECHO, &inputs, TIMEOUT)
                .expect("the entry answers")
        })
    };
    (0..CALLERS).map(submit).collect()
}

fn join(caller: thread::JoinHandle<Answer>) -> Answer {
    caller.join().expect("the caller does not panic")
}

fn starts(local: &Local) -> HashMap<(String, u32), u32> {
    let mut starts = HashMap::new();
    for start in local
        .backends
        .iter()
        .flat_map(ibisspool_standin::backend::Backend::starts)
    {
        *starts.entry((start.job, start.index)).or_default() += 1;
    }
    starts
}

#[test]
fn a_planned_stop_under_load_fails_no_job() {
    let mut local = two_agents();
    let callers = submit(&local);
    while local.backends[0].starts().is_empty() {
        thread::sleep(Duration::from_millis(1));
    }

    let agent = local.agents.remove(0);
    agent.stopper()();
    agent.wait();
    let started_by_stopped = local.backends[0].starts().len();
    let answers = callers.into_iter().map(join);

    for answer in answers {
        assert_eq!(
            answer.state, "complete",
            "{} {}",
            answer.reason, answer.detail
        );
        assert_eq!(answer.results.len(), TASKS as usize);
    }
    let starts = starts(&local);
    assert_eq!(starts.len(), CALLERS * TASKS as usize);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
    assert_eq!(
        local.backends[0].starts().len(),
        started_by_stopped,
        "none started after the stop"
    );
}

#[test]
fn a_backend_that_leaves_and_returns_fails_no_job() {
    let local = two_agents();
    let leave = |leave| Faults {
        leave,
        ..Faults::default()
    };
    let callers = submit(&local);

    local.backends[0].set_faults(leave(true));
    let mut answers: Vec<Answer> = callers.into_iter().map(join).collect();
    let before = local.backends[0].starts().len();
    local.backends[0].set_faults(leave(false));
    while local.backends[0].starts().len() == before {
        answers.extend(submit(&local).into_iter().map(join));
    }

    for answer in &answers {
        assert_eq!(answer.state, "complete", "{answer:?}");
    }
    assert!(starts(&local).values().all(|count| *count == 1));
}
