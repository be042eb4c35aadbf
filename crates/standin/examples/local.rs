//! Runs a whole ibisspool on loopback, submits a job twice and checks the answer.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, Command};
use ibisspool_kernel::log as logs;
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, ECHO, Local, Shape};
use serde_json::json;

const TASKS: u32 = 40;
const RUN_MS: f64 = 40.0;
const TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> Result<()> {
    let matches = Command::new("local")
        .about("A whole ibisspool in one process on loopback")
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Keep running and print the addresses as one JSON line"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "warn");
    let local = local::start(&["north", "south", "south"], &shapes(), RUN_MS)?;
    if matches.get_flag("stay") {
        return stay(&local);
    }
    run_job(&local)
}

fn shapes() -> Vec<Shape> {
    let shape = |data_centre: &str, slots, speed| Shape {
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

fn stay(local: &Local) -> Result<()> {
    let agents: Vec<String> = local
        .agents
        .iter()
        .map(|a| format!("http://{}", a.address))
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

fn run_job(local: &Local) -> Result<()> {
    let urls = local.entry_urls();
    let id = caller::new_id();
    let inputs: Vec<_> = (0..TASKS)
        .map(|number| json!({ "number": number }))
        .collect();
    let (again_url, again_inputs) = (urls[1].clone(), inputs.clone());
    let again = thread::spawn(move || {
        thread::sleep(Duration::from_millis(20));
        caller::submit(&again_url, &id, ECHO, &again_inputs, TIMEOUT)
    });
    let answer = caller::submit(&urls[0], &id, ECHO, &inputs, TIMEOUT)?;
    let second = again
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
        answer == second,
        "the resubmission through another entry got another answer"
    );
    let whole = answer
        .results
        .iter()
        .zip(&inputs)
        .all(|(result, input)| result.output == *input);
    ensure!(
        whole && answer.results.len() == inputs.len(),
        "the answer is not whole"
    );

    let mut starts: HashMap<u32, u32> = HashMap::new();
    for (number, backend) in local.backends.iter().enumerate() {
        let own: Vec<u32> = backend.starts().iter().map(|start| start.index).collect();
        println!("backend-{number} started {} tasks: {own:?}", own.len());
        for index in own {
            *starts.entry(index).or_default() += 1;
        }
    }
    let once = (0..TASKS).all(|index| starts.get(&index) == Some(&1));
    ensure!(once, "a task did not start exactly once: {starts:?}");
    println!("Every task started exactly once and the answer is whole.");
    Ok(())
}
