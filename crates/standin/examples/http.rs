//! Measures what an HTTP server and an HTTP client cost: `tiny_http` and `attohttpc` beside the
//! kernel's `web`, which stands on `hyper`.
//!
//! Each runs in a process of its own, as this program started again. Linux only.

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use ibisspool_kernel::settings::{flag, read_within};
use ibisspool_kernel::spool::{OWN_LIMITS, block_on};
use ibisspool_kernel::web::{self, Client, Reply};
use ibisspool_standin::children::{self, Usage, free_address};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Bytes of a call's body, as the users' jobs have them.
const BODY: usize = 600;

const PATIENCE: Duration = Duration::from_secs(5);

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("server") => return serve(&args[2], args[3].parse()?),
        Some("client") => return call(&args[2], args[3].parse()?, args[4].parse()?),
        _ => {}
    }
    let matches = clap::Command::new("http")
        .about("What an HTTP server and an HTTP client cost")
        .arg(flag("connections", "COUNT", "Open connections of callers").default_value("64"))
        .arg(flag("calls", "COUNT", "Calls of each connection").default_value("200"))
        .arg(flag("pause-ms", "MS", "Time between two calls of a connection").default_value("50"))
        .get_matches();
    let connections = read_within(&matches, "connections", 1, 10_000)? as usize;
    let calls = read_within(&matches, "calls", 1, 1_000_000)? as usize;
    let all = connections * calls;
    let pause = Duration::from_millis(read_within(&matches, "pause-ms", 1, 60_000)?);

    println!("| server | answered | CPU us a call | wake-ups a call | threads | memory MB |");
    println!("|---|---|---|---|---|---|");
    for kind in ["tiny_http", "web"] {
        let address = free_address()?;
        let server = Process::start(&["server", kind, &address.to_string()])?;
        block_on(async { await_answer(&Client::new(address)).await })?;
        let before = children::usage(&server.0)?;
        let answered = block_on(press(address, connections, calls, pause))?;
        let after = children::usage(&server.0)?;
        let each = |total: f64| total / answered.max(1) as f64;
        println!(
            "| {kind} | {answered} of {all} | {:.0} | {:.2} | {} | {:.1} |",
            each(after.cpu_s - before.cpu_s) * 1e6,
            each(after.voluntary_switches - before.voluntary_switches),
            after.threads,
            after.memory_bytes / 1e6
        );
    }
    println!();
    println!("| client | answered | CPU us a call | wake-ups a call | connections a call |");
    println!("|---|---|---|---|---|");
    for kind in ["attohttpc", "web"] {
        let address = free_address()?;
        let _server = Process::start(&["server", "web", &address.to_string()])?;
        block_on(async { await_answer(&Client::new(address)).await })?;
        let opened = connections_opened()?;
        let mut client = Process::start(&["client", kind, &address.to_string(), &all.to_string()])?;
        let (text, usage) = client.finish()?;
        let opened = connections_opened()? - opened;
        let answered: usize = text.trim().parse().context("the client says no number")?;
        let each = |total: f64| total / answered.max(1) as f64;
        println!(
            "| {kind} | {answered} of {all} | {:.0} | {:.2} | {:.2} |",
            each(usage.cpu_s) * 1e6,
            each(usage.voluntary_switches),
            each(opened)
        );
    }
    Ok(())
}

fn serve(kind: &str, address: SocketAddr) -> Result<()> {
    if kind == "web" {
        return block_on(async {
            let listener = TcpListener::bind(address).await?;
            let answer = |_call| async { Reply::new(StatusCode::OK).with_body("{}") };
            web::serve(listener, || OWN_LIMITS, answer).await;
            Ok(())
        });
    }
    let server = tiny_http::Server::http(address).map_err(|error| anyhow!("{error}"))?;
    for mut request in server.incoming_requests() {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body)?;
        // A caller that has left needs no answer.
        let _left = request.respond(tiny_http::Response::from_string("{}"));
    }
    Ok(())
}

/// Makes calls one after another, says how many were answered, and stays until it is killed.
fn call(kind: &str, address: SocketAddr, calls: usize) -> Result<()> {
    let mut answered = 0;
    if kind == "attohttpc" {
        let url = format!("http://{address}/call");
        for _ in 0..calls {
            let request = attohttpc::post(&url).timeout(PATIENCE);
            answered += usize::from(request.bytes(vec![b'x'; BODY]).send().is_ok());
        }
    } else {
        answered = block_on(async {
            let client = Client::new(address);
            let mut answered = 0;
            for _ in 0..calls {
                answered += usize::from(post(&client).await);
            }
            Ok(answered)
        })?;
    }
    println!("{answered}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

async fn post(client: &Client) -> bool {
    let body = Bytes::from(vec![b'x'; BODY]);
    let answer = client.call(Method::POST, "/call", HeaderMap::new(), body, PATIENCE);
    answer.await.is_ok_and(|answer| answer.status.is_success())
}

async fn await_answer(client: &Client) -> Result<()> {
    for _ in 0..100 {
        if post(client).await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("the server does not answer")
}

/// Calls over connections that stay open; returns how many calls were answered.
async fn press(
    address: SocketAddr,
    connections: usize,
    calls: usize,
    pause: Duration,
) -> Result<usize> {
    let callers: Vec<_> = (0..connections)
        .map(|number| {
            spawn_local(async move {
                // Callers are not in step.
                tokio::time::sleep(pause * number as u32 / connections as u32).await;
                let client = Client::new(address);
                let mut answered = 0;
                for _ in 0..calls {
                    answered += usize::from(post(&client).await);
                    tokio::time::sleep(pause).await;
                }
                answered
            })
        })
        .collect();
    let mut answered = 0;
    for caller in callers {
        answered += caller.await?;
    }
    Ok(answered)
}

/// This program in another role; it is killed when this is dropped.
#[derive(Debug)]
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Result<Self> {
        let child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        Ok(Self(child))
    }

    /// Waits for the line that a client prints; returns it with what the client has used.
    fn finish(&mut self) -> Result<(String, Usage)> {
        let mut text = String::new();
        let output = self.0.stdout.as_mut().context("no output")?;
        let mut byte = [0];
        while output.read(&mut byte)? == 1 && byte[0] != b'\n' {
            text.push(char::from(byte[0]));
        }
        Ok((text, children::usage(&self.0)?))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = (self.0.kill(), self.0.wait());
    }
}

/// Returns how many connections this machine has opened so far.
fn connections_opened() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/snmp")?;
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("Tcp:"))
        .collect();
    let [names, values] = lines[..] else {
        bail!("the system does not tell");
    };
    let place = names.split(' ').position(|name| name == "ActiveOpens");
    let value = place.and_then(|place| values.split(' ').nth(place)?.parse().ok());
    value.context("the system does not tell")
}
