//! Measures how an entry serves many connections that callers hold open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ibisspool::settings::Settings;
use ibisspool_kernel::log as logs;

/// Connections that one client holds.
const HELD: usize = 60;

/// Clients in each round.
const CLIENTS: [usize; 3] = [1, 4, 10];

/// Longest wait for a response.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between rounds, for the threads of closed connections to end.
const PAUSE: Duration = Duration::from_secs(6);

fn main() -> Result<()> {
    logs::start(logs::Format::Text, "error");
    // The health check needs neither a lease nor the table service, which nobody serves here.
    let entry = ibisspool::serve::start(&Settings::new("held", "north", "http://127.0.0.1:9"))?;
    println!(
        "{:>11} {:>14} {:>14} {:>14} {:>8}",
        "connections", "first p50 ms", "first max ms", "again max ms", "threads"
    );
    for clients in CLIENTS {
        measure(entry.address, clients * HELD)?;
        std::thread::sleep(PAUSE);
    }
    Ok(())
}

/// Opens all connections at once, asks twice over each, and prints the times.
fn measure(address: SocketAddr, count: usize) -> Result<()> {
    let opened: Result<Vec<TcpStream>> = (0..count).map(|_number| open(address)).collect();
    let mut connections = opened?;
    let first = ask_all(&mut connections)?;
    let threads = threads()?;
    let again = ask_all(&mut connections)?;
    println!(
        "{count:>11} {:>14.1} {:>14.1} {:>14.1} {threads:>8}",
        millis(first[count / 2]),
        millis(first[count - 1]),
        millis(again[count - 1])
    );
    Ok(())
}

fn open(address: SocketAddr) -> Result<TcpStream> {
    let connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(PATIENCE))?;
    Ok(connection)
}

/// Asks over each connection and returns the sorted times until the responses were read.
fn ask_all(connections: &mut [TcpStream]) -> Result<Vec<Duration>> {
    let begun = Instant::now();
    for connection in connections.iter_mut() {
        connection.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
    }
    let mut times = Vec::new();
    for connection in connections {
        let mut chunk = [0; 1_024];
        let count = connection.read(&mut chunk).context("no response in time")?;
        anyhow::ensure!(count > 0, "the entry closed a held connection");
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    Ok(times)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn threads() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("Threads:"));
    line.context("no count of threads")?
        .trim()
        .parse()
        .context("no count of threads")
}
