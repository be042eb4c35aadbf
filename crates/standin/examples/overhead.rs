//! Measures the latency that ibisspool adds to a task at low load: jobs through the entry that
//! coordinates them and through another entry, compared with direct calls of a backend server in
//! the same run.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use clap::Command;
use crossbeam::channel::unbounded;
use hdrhistogram::Histogram;
use ibisspool_core::job::Id;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, BackendShape, ECHO, LocalSystem};
use serde_json::json;

const ENTRY_DATA_CENTRES: [&str; 3] = ["north", "south", "south"];
const SLOTS_PER_BACKEND: u32 = 8;
/// Pause before each message between threads, in which the receiving thread falls asleep.
const THREAD_SLEEP_TIME: Duration = Duration::from_millis(1);

const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// Response times of one route to a backend server.
#[derive(Debug)]
struct Route {
    name: &'static str,
    response_us: Histogram<u64>,
}

fn main() -> Result<()> {
    let matches = Command::new("overhead")
        .about("Measure the latency that ibisspool adds to a task at low load")
        .arg(setting_flag("rounds", "COUNT", "Number of calls on each route").default_value("2000"))
        .get_matches();
    let rounds = read_setting_in_range(&matches, "rounds", 10, 1_000_000)?;
    logs::start(logs::Format::Text, "warn");
    let shape = |data_centre: &str| BackendShape {
        data_centre: data_centre.to_owned(),
        slots: SLOTS_PER_BACKEND,
        speed: 1.0,
    };
    let local = local::start(&ENTRY_DATA_CENTRES, &[shape("north"), shape("south")], 0.0)?;
    let mut routes = [
        new_route("direct")?,
        new_route("one hop")?,
        new_route("forward hop")?,
    ];
    for _round in 0..rounds {
        record_call(&mut routes[0], || call_backend(&local))?;
        let (id_of_first_entry, id_of_second_entry) = (
            caller::id_coordinated_by(0, ENTRY_DATA_CENTRES.len()),
            caller::id_coordinated_by(1, ENTRY_DATA_CENTRES.len()),
        );
        record_call(&mut routes[1], || submit_job(&local, &id_of_first_entry))?;
        record_call(&mut routes[2], || submit_job(&local, &id_of_second_entry))?;
    }
    print_table(&routes);
    let hop_ms = measure_thread_hop(rounds)?;
    println!("a message that wakes a sleeping thread: p50 {hop_ms:.3} ms");
    Ok(())
}

/// Returns half the median round trip in milliseconds between two threads that sleep until a
/// message arrives.
fn measure_thread_hop(rounds: u64) -> Result<f64> {
    let (request_sender, request_receiver) = unbounded::<()>();
    let (reply_sender, reply_receiver) = unbounded::<()>();
    std::thread::spawn(move || {
        while request_receiver.recv().is_ok() {
            if reply_sender.send(()).is_err() {
                return;
            }
        }
    });
    let mut route = new_route("threads")?;
    for _round in 0..rounds {
        std::thread::sleep(THREAD_SLEEP_TIME);
        record_call(&mut route, || {
            request_sender.send(())?;
            Ok(reply_receiver.recv()?)
        })?;
    }
    Ok(route.response_us.value_at_quantile(0.5) as f64 / 2_000.0)
}

fn new_route(name: &'static str) -> Result<Route> {
    Ok(Route {
        name,
        response_us: Histogram::new(3)?,
    })
}

fn record_call<F>(route: &mut Route, call: F) -> Result<()>
where
    F: FnOnce() -> Result<()>,
{
    let started = Instant::now();
    call()?;
    route
        .response_us
        .record(started.elapsed().as_micros() as u64)?;
    Ok(())
}

fn call_backend(local: &LocalSystem) -> Result<()> {
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

fn submit_job(local: &LocalSystem, id: &Id) -> Result<()> {
    let entry = format!("http://{}", local.entries[0].address);
    let answer = caller::submit(&entry, id, ECHO, &[json!({})], JOB_TIMEOUT)?;
    ensure!(
        answer.status == 200,
        "the entry answered {} {}",
        answer.status,
        answer.detail
    );
    Ok(())
}

fn print_table(routes: &[Route]) {
    let at = |route: &Route, quantile: f64| {
        route.response_us.value_at_quantile(quantile) as f64 / 1_000.0
    };
    println!(
        "{:12} {:>9} {:>9} {:>14} {:>14}",
        "way", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms"
    );
    for route in routes {
        let (p50, p99) = (at(route, 0.5), at(route, 0.99));
        let (added_p50, added_p99) = (p50 - at(&routes[0], 0.5), p99 - at(&routes[0], 0.99));
        println!(
            "{:12} {p50:9.3} {p99:9.3} {added_p50:14.3} {added_p99:14.3}",
            route.name
        );
    }
}
