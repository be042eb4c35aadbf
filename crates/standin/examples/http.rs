//! Compares the processor time, context switches and memory of HTTP servers and clients:
//! `tiny_http` and `attohttpc` against the module `web` of ibisspool-kernel, which is built on
//! `hyper`.
//!
//! Each server and client runs in a process of its own, as this executable started again. Linux
//! only.

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_kernel::spool::{INTERNAL_HTTP_LIMITS, block_on};
use ibisspool_kernel::web::{self, Client, Reply};
use ibisspool_standin::children::{self, Usage, free_address};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Size of the body of a call, which is that of a typical job.
const BODY_BYTES: usize = 600;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("server") => return run_server(&args[2], args[3].parse()?),
        Some("client") => return run_client(&args[2], args[3].parse()?, args[4].parse()?),
        _ => {}
    }
    let matches = clap::Command::new("http")
        .about("Compare the costs of HTTP servers and clients")
        .arg(
            setting_flag("connections", "COUNT", "Open connections of callers").default_value("64"),
        )
        .arg(setting_flag("calls", "COUNT", "Calls of each connection").default_value("200"))
        .arg(
            setting_flag("pause-ms", "MS", "Time between two calls of a connection")
                .default_value("50"),
        )
        .get_matches();
    let connections = read_setting_in_range(&matches, "connections", 1, 10_000)? as usize;
    let calls = read_setting_in_range(&matches, "calls", 1, 1_000_000)? as usize;
    let total_calls = connections * calls;
    let pause = Duration::from_millis(read_setting_in_range(&matches, "pause-ms", 1, 60_000)?);

    println!(
        "| server | answered | CPU us per call | context switches per call | threads | memory MB |"
    );
    println!("|---|---|---|---|---|---|");
    for implementation in ["tiny_http", "web"] {
        let address = free_address()?;
        let server = Process::start(&["server", implementation, &address.to_string()])?;
        block_on(async { wait_until_server_answers(&Client::new(address)).await })?;
        let usage_before = children::usage(&server.0)?;
        let answered = block_on(call_concurrently(address, connections, calls, pause))?;
        let usage_after = children::usage(&server.0)?;
        let per_call = |total: f64| total / answered.max(1) as f64;
        println!(
            "| {implementation} | {answered} of {total_calls} | {:.0} | {:.2} | {} | {:.1} |",
            per_call(usage_after.cpu_s - usage_before.cpu_s) * 1e6,
            per_call(usage_after.voluntary_switches - usage_before.voluntary_switches),
            usage_after.threads,
            usage_after.memory_bytes / 1e6
        );
    }
    println!();
    println!(
        "| client | answered | CPU us per call | context switches per call | connections per call |"
    );
    println!("|---|---|---|---|---|");
    for implementation in ["attohttpc", "web"] {
        let address = free_address()?;
        let _server = Process::start(&["server", "web", &address.to_string()])?;
        block_on(async { wait_until_server_answers(&Client::new(address)).await })?;
        let opened_before = count_opened_connections()?;
        let mut client = Process::start(&[
            "client",
            implementation,
            &address.to_string(),
            &total_calls.to_string(),
        ])?;
        let (text, usage) = client.wait_for_output()?;
        let opened_connections = count_opened_connections()? - opened_before;
        let answered: usize = text
            .trim()
            .parse()
            .context("the client did not print its number of answered calls")?;
        let per_call = |total: f64| total / answered.max(1) as f64;
        println!(
            "| {implementation} | {answered} of {total_calls} | {:.0} | {:.2} | {:.2} |",
            per_call(usage.cpu_s) * 1e6,
            per_call(usage.voluntary_switches),
            per_call(opened_connections)
        );
    }
    Ok(())
}

fn run_server(implementation: &str, address: SocketAddr) -> Result<()> {
    if implementation == "web" {
        return block_on(async {
            let listener = TcpListener::bind(address).await?;
            let answer = |_call| async { Reply::new(StatusCode::OK).with_body("{}") };
            web::serve(listener, || INTERNAL_HTTP_LIMITS, answer).await;
            Ok(())
        });
    }
    let server = tiny_http::Server::http(address).map_err(|error| anyhow!("{error}"))?;
    for mut request in server.incoming_requests() {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body)?;
        // A caller that has closed its connection needs no answer.
        let _caller_left = request.respond(tiny_http::Response::from_string("{}"));
    }
    Ok(())
}

/// Makes sequential calls, prints how many were answered, and then runs until its standard input
/// closes or it is killed, so that the parent can read its resource usage.
fn run_client(implementation: &str, address: SocketAddr, calls: usize) -> Result<()> {
    let mut answered = 0;
    if implementation == "attohttpc" {
        let url = format!("http://{address}/call");
        for _ in 0..calls {
            let request = attohttpc::post(&url).timeout(CALL_TIMEOUT);
            answered += usize::from(request.bytes(vec![b'x'; BODY_BYTES]).send().is_ok());
        }
    } else {
        answered = block_on(async {
            let client = Client::new(address);
            let mut answered = 0;
            for _ in 0..calls {
                answered += usize::from(post_succeeds(&client).await);
            }
            Ok(answered)
        })?;
    }
    println!("{answered}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

async fn post_succeeds(client: &Client) -> bool {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let answer = client.call(Method::POST, "/call", HeaderMap::new(), body, CALL_TIMEOUT);
    answer.await.is_ok_and(|answer| answer.status.is_success())
}

async fn wait_until_server_answers(client: &Client) -> Result<()> {
    for _ in 0..100 {
        if post_succeeds(client).await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("the server did not answer 100 calls")
}

/// Makes calls over several connections that stay open; returns how many calls were answered.
async fn call_concurrently(
    address: SocketAddr,
    connections: usize,
    calls: usize,
    pause: Duration,
) -> Result<usize> {
    let callers: Vec<_> = (0..connections)
        .map(|number| {
            spawn_local(async move {
                // The start times are spread, so that callers do not call at the same moment.
                tokio::time::sleep(pause * number as u32 / connections as u32).await;
                let client = Client::new(address);
                let mut answered = 0;
                for _ in 0..calls {
                    answered += usize::from(post_succeeds(&client).await);
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

/// This executable run as a server or client; dropping the value kills the process.
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

    /// Waits for the line that a client prints; returns the line and the resources that the client
    /// used.
    fn wait_for_output(&mut self) -> Result<(String, Usage)> {
        let mut text = String::new();
        let output = self
            .0
            .stdout
            .as_mut()
            .context("the output of the client is not captured")?;
        let mut byte = [0];
        while output.read(&mut byte)? == 1 && byte[0] != b'\n' {
            text.push(char::from(byte[0]));
        }
        Ok((text, children::usage(&self.0)?))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_ended = (self.0.kill(), self.0.wait());
    }
}

/// Returns how many TCP connections this machine has opened since boot.
fn count_opened_connections() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/snmp")?;
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("Tcp:"))
        .collect();
    let [names, values] = lines[..] else {
        bail!("/proc/net/snmp does not have two lines that begin with Tcp:");
    };
    let column = names.split(' ').position(|name| name == "ActiveOpens");
    let value = column.and_then(|column| values.split(' ').nth(column)?.parse().ok());
    value.context("/proc/net/snmp has no number ActiveOpens")
}
