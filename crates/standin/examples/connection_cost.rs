//! Compares the processor time of an ordinary request at the HTTP server of ibisspool-kernel within
//! the limits of a limiter, and at the server as it was before, which is kept here: it collects the
//! chunks of a body without a budget and accepts any number of connections.
//!
//! Both servers run in processes of their own and take turns. Linux only.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ibisspool_core::connection_budget::Limits;
use ibisspool_kernel::connection_limiter::{ConnectionLimiter, ConnectionMetrics};
use ibisspool_kernel::metrics::Metrics;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_kernel::spool::{INTERNAL_HTTP_LIMITS, block_on};
use ibisspool_kernel::web::{self, Call, Client, Reply};
use ibisspool_standin::children::{self, free_address};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Size of the body of a call, which is that of a typical job.
const BODY_BYTES: usize = 600;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of the smallest entry.
const LIMITS: Limits = Limits {
    body_bytes: 20 << 20,
    connections: 819,
    min_body_rate: 64,
};

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| arg == "server") {
        return run_server(&args[2], args[3].parse()?);
    }
    let matches = clap::Command::new("connection_cost")
        .about("Compare the costs of the HTTP server with and without limits")
        .arg(
            setting_flag("connections", "COUNT", "Open connections of callers").default_value("32"),
        )
        .arg(
            setting_flag("calls", "COUNT", "Calls of each connection in a round")
                .default_value("500"),
        )
        .arg(setting_flag("rounds", "COUNT", "Rounds of each server").default_value("10"))
        .get_matches();
    let connections = read_setting_in_range(&matches, "connections", 1, 800)? as usize;
    let calls = read_setting_in_range(&matches, "calls", 1, 1_000_000)? as usize;
    let rounds = read_setting_in_range(&matches, "rounds", 1, 1_000)? as usize;

    let servers = [Server::start("before")?, Server::start("within limits")?];
    let mut cpu_us = [Vec::new(), Vec::new()];
    for round in 0..rounds {
        // The order changes, so that neither is always first.
        for index in [round % 2, 1 - round % 2] {
            let server = &servers[index];
            let before = children::usage(&server.process)?;
            let answered = block_on(call_concurrently(server.address, connections, calls))?;
            let after = children::usage(&server.process)?;
            if answered != connections * calls {
                bail!("{answered} of {} calls were answered", connections * calls);
            }
            cpu_us[index].push((after.cpu_s - before.cpu_s) / answered as f64 * 1e6);
        }
    }
    println!("| server | CPU us per call, mean | lowest round | highest round |");
    println!("|---|---|---|---|");
    let mean = |rounds: &[f64]| rounds.iter().sum::<f64>() / rounds.len() as f64;
    for (server, rounds) in servers.iter().zip(&cpu_us) {
        println!(
            "| {} | {:.2} | {:.2} | {:.2} |",
            server.name,
            mean(rounds),
            rounds.iter().copied().fold(f64::INFINITY, f64::min),
            rounds.iter().copied().fold(0.0, f64::max)
        );
    }
    let change = mean(&cpu_us[1]) / mean(&cpu_us[0]) - 1.0;
    println!("change: {:+.2}%", change * 100.0);
    Ok(())
}

async fn answer(_call: Call) -> Reply {
    Reply::new(StatusCode::OK).with_body("{}")
}

fn run_server(name: &str, address: SocketAddr) -> Result<()> {
    block_on(async {
        let listener = TcpListener::bind(address).await?;
        if name == "before" {
            serve_as_before(listener).await;
        } else {
            let metrics = ConnectionMetrics::new(&Metrics::new());
            let limiter = ConnectionLimiter::new("callers", LIMITS, metrics);
            web::serve_within(limiter, listener, || INTERNAL_HTTP_LIMITS, answer).await;
        }
        Ok(())
    })
}

/// Serves as the HTTP server did before it had limits.
async fn serve_as_before(listener: TcpListener) {
    let handle = Rc::new(answer);
    loop {
        let Ok((stream, _from)) = listener.accept().await else {
            return;
        };
        spawn_local(serve_connection_as_before(stream, Rc::clone(&handle)));
    }
}

async fn serve_connection_as_before<H, F>(stream: TcpStream, handle: Rc<H>)
where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _set = stream.set_nodelay(true);
    let answer = move |request: http::Request<Incoming>| {
        let handle = Rc::clone(&handle);
        async move {
            let reply = match read_request_as_before(request).await {
                Ok(call) => handle(call).await,
                Err(status) => Reply::new(status),
            };
            Ok::<_, Infallible>(encode(reply))
        }
    };
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(INTERNAL_HTTP_LIMITS.head_timeout)
        .max_buf_size(INTERNAL_HTTP_LIMITS.head_bytes)
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    let _ended = served.await;
}

fn encode(reply: Reply) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

async fn read_request_as_before(request: http::Request<Incoming>) -> Result<Call, StatusCode> {
    let (head, body) = request.into_parts();
    let head_bytes: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if head_bytes > INTERNAL_HTTP_LIMITS.head_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let body = Limited::new(body, INTERNAL_HTTP_LIMITS.body_bytes);
    let body = body
        .collect()
        .await
        .map_err(|_error| StatusCode::BAD_REQUEST)?;
    Ok(Call {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

async fn post_succeeds(client: &Client) -> bool {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let answer = client.call(Method::POST, "/call", HeaderMap::new(), body, CALL_TIMEOUT);
    answer.await.is_ok_and(|answer| answer.status.is_success())
}

/// Makes calls over several connections that stay open; returns how many calls were answered.
async fn call_concurrently(address: SocketAddr, connections: usize, calls: usize) -> Result<usize> {
    let callers: Vec<_> = (0..connections)
        .map(|_number| {
            spawn_local(async move {
                let client = Client::new(address);
                let mut answered = 0;
                for _ in 0..calls {
                    answered += usize::from(post_succeeds(&client).await);
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

/// This executable run as a server; dropping the value kills the process.
#[derive(Debug)]
struct Server {
    name: &'static str,
    address: SocketAddr,
    process: Child,
}

impl Server {
    fn start(name: &'static str) -> Result<Self> {
        let address = free_address()?;
        let process = Command::new(std::env::current_exe()?)
            .args(["server", name, &address.to_string()])
            .stdin(Stdio::null())
            .spawn()?;
        let server = Self {
            name,
            address,
            process,
        };
        for _attempt in 0..100 {
            if block_on(async { Ok(post_succeeds(&Client::new(address)).await) })? {
                return Ok(server);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        bail!("the server did not answer 100 calls")
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _already_ended = (self.process.kill(), self.process.wait());
    }
}
