//! Measures the response times and threads of an entry whose callers hold many connections open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ibisspool::settings::Settings;
use ibisspool_kernel::log as logs;

/// Connections that each client holds open.
const CONNECTIONS_PER_CLIENT: usize = 60;

/// Number of clients in each round.
const CLIENTS_BY_ROUND: [usize; 3] = [1, 4, 10];

/// Timeout of each read of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between rounds in which the threads of closed connections end.
const ROUND_PAUSE: Duration = Duration::from_secs(6);

fn main() -> Result<()> {
    logs::start(logs::Format::Text, "error");
    // The measured request, a health check, needs neither a lease nor the table service, so none
    // runs here.
    let entry = ibisspool::serve::start(&Settings::new("held", "north", "http://127.0.0.1:9"))?;
    println!(
        "{:>11} {:>14} {:>14} {:>14} {:>8}",
        "connections", "first p50 ms", "first max ms", "again max ms", "threads"
    );
    for clients in CLIENTS_BY_ROUND {
        measure(entry.address, clients * CONNECTIONS_PER_CLIENT)?;
        std::thread::sleep(ROUND_PAUSE);
    }
    Ok(())
}

/// Opens `count` connections, makes two health checks over each and prints the response times.
fn measure(address: SocketAddr, count: usize) -> Result<()> {
    let opened: Result<Vec<TcpStream>> =
        (0..count).map(|_number| open_connection(address)).collect();
    let mut connections = opened?;
    let first_times = check_health_on_all(&mut connections)?;
    let thread_count = thread_count()?;
    let second_times = check_health_on_all(&mut connections)?;
    println!(
        "{count:>11} {:>14.1} {:>14.1} {:>14.1} {thread_count:>8}",
        as_millis(first_times[count / 2]),
        as_millis(first_times[count - 1]),
        as_millis(second_times[count - 1])
    );
    Ok(())
}

fn open_connection(address: SocketAddr) -> Result<TcpStream> {
    let connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(connection)
}

/// Sends a health check over each connection, then reads the responses; returns the sorted times
/// from the first request to each response.
fn check_health_on_all(connections: &mut [TcpStream]) -> Result<Vec<Duration>> {
    let started = Instant::now();
    for connection in connections.iter_mut() {
        connection.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
    }
    let mut times = Vec::new();
    for connection in connections {
        let mut chunk = [0; 1_024];
        let count = connection
            .read(&mut chunk)
            .context("an entry did not answer a health check in time")?;
        anyhow::ensure!(
            count > 0,
            "the entry closed a connection without a response"
        );
        times.push(started.elapsed());
    }
    times.sort_unstable();
    Ok(times)
}

fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn thread_count() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("Threads:"));
    line.context("/proc/self/status has no number of threads")?
        .trim()
        .parse()
        .context("/proc/self/status has no number of threads")
}
