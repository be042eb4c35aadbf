//! Memory of an agent's ledger a task, and time to cancel a queued task.

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

const OUTPUT_BYTES: usize = 200;
const STEPS: u32 = 9;

/// Tasks a second at one of 920 agents that start 49,000 together, times a window of 600 s.
const WINDOW_TASKS: u32 = 49_000 * 600 / 920;

fn main() -> Result<()> {
    let matches = Command::new("ledger")
        .about("Memory of an agent's ledger a task, and time to cancel a queued task")
        .arg(
            Arg::new("held")
                .long("held")
                .default_value("33554432")
                .help("Bytes of outputs held"),
        )
        .get_matches();
    let held = matches.get_one::<String>("held").map_or("", String::as_str);
    measure_memory(held.parse().context("--held is no number of bytes")?)?;
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
    send(&mut agent, Event::Registered { slots, kinds });
    send(&mut agent, Event::Connected { link: 1 });
    agent
}

fn send(agent: &mut Agent, event: Event) -> Vec<Action> {
    let (mono, wall) = (Monotonic(1_000_000), Wall(0));
    let mut actions = Vec::new();
    agent.handle(event, Now { mono, wall }, &mut actions);
    actions
}

fn order(tasks: &[Task], acknowledged: u64) -> Event {
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

fn measure_memory(held: usize) -> Result<()> {
    let mut agent = agent(held, 8);
    let mut before = resident_bytes()?;
    for number in 0..STEPS * WINDOW_TASKS {
        let task = task(number);
        send(&mut agent, order(&[task], u64::from(number)));
        let end = End::Done(Bytes::from(vec![1; OUTPUT_BYTES]));
        black_box(send(&mut agent, Event::TaskEnded { task, end }));
        if (number + 1) % WINDOW_TASKS == 0 {
            let now = resident_bytes()?;
            let slope = (now as f64 - before as f64) / f64::from(WINDOW_TASKS);
            println!(
                "{} tasks: {} KB resident, {slope:.0} bytes more a task",
                number + 1,
                now / 1_024
            );
            before = now;
        }
    }
    Ok(())
}

fn measure_cancellation(count: u32) {
    let slots = count;
    let mut agent = agent(0, slots);
    let tasks: Vec<Task> = (0..2 * count).map(task).collect();
    black_box(send(&mut agent, order(&tasks, 0)));
    let recalls = tasks.iter().rev().take(count as usize).copied().collect();
    let order = Order {
        agent_incarnation: 1,
        recalls,
        ..Order::default()
    };
    let begun = Instant::now();
    black_box(send(&mut agent, Event::OrderReceived { link: 1, order }));
    let each = begun.elapsed().as_nanos() / u128::from(count);
    println!("{count} queued tasks cancelled: {each} ns each");
}

fn resident_bytes() -> Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: usize = kilobytes.context("no VmRSS")?.parse()?;
    Ok(kilobytes * 1_024)
}
