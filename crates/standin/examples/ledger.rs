//! Measures two costs of an agent's ledger, which records every started task: the memory per task
//! and the time to cancel a queued task.

use std::hint::black_box;
use std::time::Instant;

use anyhow::{Context, Result};
use bytes::Bytes;
use clap::{Arg, Command};
use ibisspool_core::agent::{Action, Agent, Bounds, Event};
use ibisspool_core::frame::{Dispatch, End, Order};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::settings::Timing;
use ibisspool_core::time::{Monotonic, Now, Wall};

/// Size of the output of each task.
const OUTPUT_BYTES: usize = 200;
/// Windows over which the growth of memory is observed.
const WINDOWS: u32 = 9;

/// Tasks that one agent starts in a window of 600 s when 920 agents together start 49,000 per
/// second.
const TASKS_PER_WINDOW: u32 = 49_000 * 600 / 920;

fn main() -> Result<()> {
    let matches = Command::new("ledger")
        .about(
            "Measure the memory per task of an agent's ledger and the time to cancel a queued task",
        )
        .arg(
            Arg::new("held")
                .long("held")
                .default_value("33554432")
                .help("Maximum bytes of outputs that the ledger holds"),
        )
        .get_matches();
    let held_bytes = matches.get_one::<String>("held").map_or("", String::as_str);
    measure_memory(
        held_bytes
            .parse()
            .context("--held must be a number of bytes")?,
    )?;
    for count in [1_000, 10_000, 100_000] {
        measure_cancellation(count);
    }
    Ok(())
}

fn agent(output_bytes: usize, slots: u32) -> Agent {
    let bounds = Bounds {
        max_records: usize::MAX,
        max_output_bytes: output_bytes,
    };
    let mut agent = Agent::new("backend", "north", 1, Timing::default()).with_bounds(bounds);
    let kinds = vec!["echo".to_owned()];
    handle_event(&mut agent, Event::Registered { slots, kinds });
    handle_event(&mut agent, Event::Connected { link: 1 });
    agent
}

fn handle_event(agent: &mut Agent, event: Event) -> Vec<Action> {
    let (mono, wall) = (Monotonic(1_000_000), Wall(0));
    let mut actions = Vec::new();
    agent.handle(event, Now { mono, wall }, &mut actions);
    actions
}

fn order_event(tasks: &[Task], acknowledged: u64) -> Event {
    let dispatch = |task: &Task| Dispatch {
        task: *task,
        attempt: 1,
        kind: "echo".to_owned(),
        input: Bytes::new(),
        timeout_ms: 1_000,
    };
    let order = Order {
        agent_incarnation: 1,
        permit: Some(Monotonic(1_000_000)),
        dispatches: tasks.iter().map(dispatch).collect(),
        acknowledged,
        ..Order::default()
    };
    Event::OrderReceived { link: 1, order }
}

fn task(number: u32) -> Task {
    let mut random = [0; 10];
    random[..4].copy_from_slice(&(number / 100).to_be_bytes());
    let job = Id::new(Wall(1_000), random);
    Task {
        job,
        index: number % 100,
    }
}

/// Starts and ends tasks, each acknowledged before the next, and prints after each window how much
/// memory the process gained per task.
fn measure_memory(held_bytes: usize) -> Result<()> {
    let mut agent = agent(held_bytes, 8);
    let mut bytes_before = resident_bytes()?;
    for number in 0..WINDOWS * TASKS_PER_WINDOW {
        let task = task(number);
        handle_event(&mut agent, order_event(&[task], u64::from(number)));
        let end = End::Done(Bytes::from(vec![1; OUTPUT_BYTES]));
        black_box(handle_event(&mut agent, Event::TaskEnded { task, end }));
        if (number + 1) % TASKS_PER_WINDOW == 0 {
            let now = resident_bytes()?;
            let bytes_per_task = (now as f64 - bytes_before as f64) / f64::from(TASKS_PER_WINDOW);
            println!(
                "{} tasks: {} KB resident, {bytes_per_task:.0} more bytes per task",
                number + 1,
                now / 1_024
            );
            bytes_before = now;
        }
    }
    Ok(())
}

/// Fills the slots of an agent, queues as many tasks and prints the time to cancel all queued ones.
fn measure_cancellation(count: u32) {
    let slots = count;
    let mut agent = agent(0, slots);
    let tasks: Vec<Task> = (0..2 * count).map(task).collect();
    black_box(handle_event(&mut agent, order_event(&tasks, 0)));
    let recalls = tasks.iter().rev().take(count as usize).copied().collect();
    let order = Order {
        agent_incarnation: 1,
        recalls,
        ..Order::default()
    };
    let started = Instant::now();
    black_box(handle_event(
        &mut agent,
        Event::OrderReceived { link: 1, order },
    ));
    let ns_per_task = started.elapsed().as_nanos() / u128::from(count);
    println!("{count} queued tasks cancelled: {ns_per_task} ns per task");
}

fn resident_bytes() -> Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: usize = kilobytes
        .context("/proc/self/status has no VmRSS")?
        .parse()?;
    Ok(kilobytes * 1_024)
}
