//! Runs a complete ibisspool on loopback, submits a job twice through different entries and checks
//! that both answers are the same and each task started exactly once.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, Command};
use ibisspool_kernel::log as logs;
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, BackendShape, ECHO, LocalSystem};
use serde_json::json;

const TASKS: u32 = 40;
const DEFAULT_RUN_MS: f64 = 40.0;
const JOB_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> Result<()> {
    let matches = Command::new("local")
        .about("Run a complete ibisspool in one process on loopback and check a job")
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Keep running and print the addresses as one JSON line"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "warn");
    let local = local::start(&["north", "south", "south"], &shapes(), DEFAULT_RUN_MS)?;
    if matches.get_flag("stay") {
        return keep_running(&local);
    }
    submit_twice_and_check(&local)
}

fn shapes() -> Vec<BackendShape> {
    let shape = |data_centre: &str, slots, speed| BackendShape {
        data_centre: data_centre.to_owned(),
        slots,
        speed,
    };
    vec![
        shape("north", 8, 1.0),
        shape("north", 4, 2.0),
        shape("south", 8, 0.5),
        shape("south", 2, 1.5),
    ]
}

fn keep_running(local: &LocalSystem) -> Result<()> {
    let agents: Vec<String> = local
        .agents
        .iter()
        .map(|agent| format!("http://{}", agent.address))
        .collect();
    let backends: Vec<String> = local
        .backends
        .iter()
        .map(ibisspool_standin::backend::Backend::url)
        .collect();
    let line = json!({
        "entries": local.entry_urls(), "agents": agents, "backends": backends,
        "platform": local.platform.url(), "kind": ECHO,
    });
    println!("{line}");
    loop {
        thread::park();
    }
}

fn submit_twice_and_check(local: &LocalSystem) -> Result<()> {
    let entry_urls = local.entry_urls();
    let id = caller::new_id();
    let inputs: Vec<_> = (0..TASKS)
        .map(|number| json!({ "number": number }))
        .collect();
    let (second_url, second_inputs) = (entry_urls[1].clone(), inputs.clone());
    let second_caller = thread::spawn(move || {
        thread::sleep(Duration::from_millis(20));
        caller::submit(&second_url, &id, ECHO, &second_inputs, JOB_TIMEOUT)
    });
    let answer = caller::submit(&entry_urls[0], &id, ECHO, &inputs, JOB_TIMEOUT)?;
    let second_answer = second_caller
        .join()
        .map_err(|_panic| anyhow::anyhow!("the second caller panicked"))??;

    println!(
        "job {id}: {} {} with {} results",
        answer.status,
        answer.state,
        answer.results.len()
    );
    ensure!(
        answer.state == "complete",
        "the job was refused: {} {}",
        answer.reason,
        answer.detail
    );
    ensure!(
        answer == second_answer,
        "the second submission of the job, through another entry, got a different answer"
    );
    let is_echoed = answer
        .results
        .iter()
        .zip(&inputs)
        .all(|(result, input)| result.output == *input);
    ensure!(
        is_echoed && answer.results.len() == inputs.len(),
        "the answer lacks outputs or has wrong ones"
    );

    let mut starts_by_index: HashMap<u32, u32> = HashMap::new();
    for (number, backend) in local.backends.iter().enumerate() {
        let started_indices: Vec<u32> = backend.starts().iter().map(|start| start.index).collect();
        println!(
            "backend-{number} started {} tasks: {started_indices:?}",
            started_indices.len()
        );
        for index in started_indices {
            *starts_by_index.entry(index).or_default() += 1;
        }
    }
    let all_started_once = (0..TASKS).all(|index| starts_by_index.get(&index) == Some(&1));
    ensure!(
        all_started_once,
        "a task did not start exactly once: {starts_by_index:?}"
    );
    println!("Every task started exactly once and the answer is complete.");
    Ok(())
}
