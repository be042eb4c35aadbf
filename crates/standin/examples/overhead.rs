//! Measures what the path adds to a task's response time at low load, against direct calls of a
//! backend server in the same run.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use clap::Command;
use crossbeam::channel::unbounded;
use hdrhistogram::Histogram;
use ibisspool_core::job::Id;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, ECHO, Local, Shape};
use serde_json::json;

const ENTRIES: [&str; 3] = ["north", "south", "south"];
const SLOTS: u32 = 8;
/// Pause before each message between threads, so that the other one sleeps.
const PAUSE: Duration = Duration::from_millis(1);

const TIMEOUT: Duration = Duration::from_secs(10);

/// Response times of one way to a backend server.
#[derive(Debug)]
struct Way {
    name: &'static str,
    micros: Histogram<u64>,
}

fn main() -> Result<()> {
    let matches = Command::new("overhead")
        .about("What the path adds to a task's response time at low load")
        .arg(setting_flag("rounds", "COUNT", "Calls of each way").default_value("2000"))
        .get_matches();
    let rounds = read_setting_in_range(&matches, "rounds", 10, 1_000_000)?;
    logs::start(logs::Format::Text, "warn");
    let shape = |data_centre: &str| Shape {
        data_centre: data_centre.to_owned(),
        slots: SLOTS,
        speed: 1.0,
    };
    let local = local::start(&ENTRIES, &[shape("north"), shape("south")], 0.0)?;
    let mut ways = [
        new_way("direct")?,
        new_way("one hop")?,
        new_way("forward hop")?,
    ];
    for _round in 0..rounds {
        record(&mut ways[0], || direct(&local))?;
        let (own, other) = (
            caller::id_coordinated_by(0, ENTRIES.len()),
            caller::id_coordinated_by(1, ENTRIES.len()),
        );
        record(&mut ways[1], || submit(&local, &own))?;
        record(&mut ways[2], || submit(&local, &other))?;
    }
    print(&ways);
    let hop = thread_hop(rounds)?;
    println!("a message from one thread to another that sleeps: p50 {hop:.3} ms");
    Ok(())
}

/// Measures half a round trip between two threads that sleep until a message comes.
fn thread_hop(rounds: u64) -> Result<f64> {
    let (ask, asked) = unbounded::<()>();
    let (answer, answered) = unbounded::<()>();
    std::thread::spawn(move || {
        while asked.recv().is_ok() {
            if answer.send(()).is_err() {
                return;
            }
        }
    });
    let mut way = new_way("threads")?;
    for _round in 0..rounds {
        std::thread::sleep(PAUSE);
        record(&mut way, || {
            ask.send(())?;
            Ok(answered.recv()?)
        })?;
    }
    Ok(way.micros.value_at_quantile(0.5) as f64 / 2_000.0)
}

fn new_way(name: &'static str) -> Result<Way> {
    Ok(Way {
        name,
        micros: Histogram::new(3)?,
    })
}

fn record<F>(way: &mut Way, call: F) -> Result<()>
where
    F: FnOnce() -> Result<()>,
{
    let begun = Instant::now();
    call()?;
    way.micros.record(begun.elapsed().as_micros() as u64)?;
    Ok(())
}

fn direct(local: &Local) -> Result<()> {
    let url = format!("{}/tasks/{}/0", local.backends[0].url(), caller::new_id());
    let response = attohttpc::post(url).bytes(b"{}".to_vec()).send()?;
    ensure!(
        response.is_success(),
        "the backend server answered {}",
        response.status()
    );
    response.bytes()?;
    Ok(())
}

fn submit(local: &Local, id: &Id) -> Result<()> {
    let entry = format!("http://{}", local.entries[0].address);
    let answer = caller::submit(&entry, id, ECHO, &[json!({})], TIMEOUT)?;
    ensure!(
        answer.status == 200,
        "the entry answered {} {}",
        answer.status,
        answer.detail
    );
    Ok(())
}

fn print(ways: &[Way]) {
    let at = |way: &Way, quantile: f64| way.micros.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{:12} {:>9} {:>9} {:>14} {:>14}",
        "way", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms"
    );
    for way in ways {
        let (p50, p99) = (at(way, 0.5), at(way, 0.99));
        let (d50, d99) = (p50 - at(&ways[0], 0.5), p99 - at(&ways[0], 0.99));
        println!("{:12} {p50:9.3} {p99:9.3} {d50:14.3} {d99:14.3}", way.name);
    }
}
