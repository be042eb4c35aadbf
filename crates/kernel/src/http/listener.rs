//! Workarounds for four faults of `tiny_http`.
//!
//! - No timeouts: the listening socket has read and write timeouts, which Linux copies to each
//!   accepted connection. A half-sent request or a caller that does not read then frees its thread.
//!   The read timeout applies to `accept` too, and `tiny_http` stops listening when `accept` times
//!   out; the wake-up connections, which this process opens to itself, prevent that.
//! - Starvation: `tiny_http` may queue a new connection for an idle thread that another connection
//!   has already taken, and the new one then waits until some connection closes. A wake-up
//!   connection makes `tiny_http` start a thread, which serves the queued one.
//! - Huge `Content-Length`: when `tiny_http` drops a request, it allocates as many bytes as the
//!   body still lacks, which aborts the process if the caller named a huge length. Such a request
//!   is answered and leaked, at the cost of its connection and thread.
//! - Failed `accept`: after one error, for example when file descriptors are exhausted, `tiny_http`
//!   stops listening for good. A new `tiny_http` server is then started on the same socket.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use socket2::SockRef;
use tiny_http::{Request, Response, Server};

use crate::part::{Kernel, PartName};

/// Longest wait for one read or write on a connection, after which it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between rounds of wake-up connections while requests arrive.
const BUSY_WAKE_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time between wake-up connections while no request arrives. It must stay below
/// [`IDLE_TIMEOUT`], since `accept` times out after that.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Wake-up connections in one round while requests arrive. Each frees one queued connection.
const WAKES_PER_BUSY_ROUND: u32 = 8;

/// Rounds with several wake-up connections that follow the last request.
const BUSY_ROUNDS: u32 = 20;

/// Time limit for opening a wake-up connection.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest `Content-Length` with which `tiny_http` can drop a request without exhausting memory.
const MAX_DECLARED_BODY_BYTES: usize = 1 << 30;

/// Threads that receive requests from one `tiny_http` server.
const REQUEST_THREADS: usize = 4;

const MAX_HEADERS: usize = 64;

/// Largest total size of the names and values of one request's headers.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Delay before a new server is started on the socket of a failed one.
const RELISTEN_DELAY: Duration = Duration::from_millis(100);

/// Handles a request or passes it on to another thread. It is called in the thread that received
/// the request.
type RequestHandler = Arc<dyn Fn(Request) + Send + Sync>;

/// Listens on an address and calls `handler` for each acceptable request; returns the bound
/// address.
pub(super) fn start(
    kernel: &Kernel,
    address: SocketAddr,
    handler: RequestHandler,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    let bound_address = listener
        .local_addr()
        .context("the listener has no address")?;
    let socket = SockRef::from(&listener);
    socket
        .set_read_timeout(Some(IDLE_TIMEOUT))
        .context("cannot set the read timeout of the listener")?;
    socket
        .set_write_timeout(Some(IDLE_TIMEOUT))
        .context("cannot set the write timeout of the listener")?;
    socket
        .set_tcp_nodelay(true)
        .context("cannot set TCP_NODELAY on the listener")?;
    let request_count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&request_count);
    let wake_thread = kernel.spawn(PartName::Http, move || {
        open_wake_connections(wake_address(bound_address), &request_count);
    });
    let wake_thread = wake_thread.thread().clone();
    let count_and_handle = move |request| {
        counter.fetch_add(1, Ordering::Relaxed);
        wake_thread.unpark();
        handler(request);
    };
    let handler: RequestHandler = Arc::new(count_and_handle);
    spawn_request_threads(kernel, &Arc::new(listener), &handler)?;
    Ok(bound_address)
}

/// Opens wake-up connections for as long as the process runs: several in each round until half a
/// second after the last request, one a second otherwise.
fn open_wake_connections(own_address: SocketAddr, request_count: &AtomicU64) {
    let mut last_count = 0;
    let mut busy_rounds_left = 0;
    loop {
        let count_now = request_count.load(Ordering::Relaxed);
        busy_rounds_left = if count_now > last_count {
            BUSY_ROUNDS
        } else {
            busy_rounds_left.saturating_sub(1)
        };
        last_count = count_now;
        let connections = if busy_rounds_left > 0 {
            WAKES_PER_BUSY_ROUND
        } else {
            1
        };
        for _wake in 0..connections {
            let _refused = TcpStream::connect_timeout(&own_address, WAKE_TIMEOUT);
        }
        if busy_rounds_left > 0 {
            thread::sleep(BUSY_WAKE_INTERVAL);
        } else {
            thread::park_timeout(IDLE_WAKE_INTERVAL);
        }
    }
}

/// Starts a `tiny_http` server on the socket, and the threads that receive its requests. If the
/// server stops listening, it keeps its open connections, and each thread starts a new server.
fn spawn_request_threads(
    kernel: &Kernel,
    listener: &Arc<TcpListener>,
    handler: &RequestHandler,
) -> Result<()> {
    let server_listener = listener
        .try_clone()
        .context("cannot duplicate the listening socket")?;
    let server =
        Server::from_listener(server_listener, None).map_err(|error| anyhow!("{error}"))?;
    let server = Arc::new(server);
    for _thread in 0..REQUEST_THREADS {
        let (server, thread_kernel) = (Arc::clone(&server), kernel.clone());
        let (listener, handler) = (Arc::clone(listener), Arc::clone(handler));
        kernel.spawn(PartName::Http, move || {
            while let Err(error) = receive_requests(&server, &handler) {
                log::warn!(
                    "http: The server stopped listening; a new one takes its socket: {error}."
                );
                thread::sleep(RELISTEN_DELAY);
                if let Err(error) = spawn_request_threads(&thread_kernel, &listener, &handler) {
                    log::error!("http: Cannot start a new server on the socket: {error:#}.");
                    return;
                }
            }
        });
    }
    Ok(())
}

/// Receives requests until the server stops listening; returns why it did.
fn receive_requests(server: &Server, handler: &RequestHandler) -> std::io::Result<()> {
    loop {
        let request = server.recv()?;
        if request.body_length() > Some(MAX_DECLARED_BODY_BYTES) {
            refuse_oversized_body(request);
        } else if has_excess_headers(&request) {
            refuse_excess_headers(request);
        } else {
            handler(request);
        }
    }
}

fn refuse_oversized_body(request: Request) {
    log::warn!(
        "http: Refused a request whose Content-Length is over {MAX_DECLARED_BODY_BYTES}; its \
         connection and thread are not freed."
    );
    let detail = format!("a body is at most {MAX_DECLARED_BODY_BYTES} bytes; send less at once");
    let refusal = Refusal::new(Reason::TooLarge, Ran::Unknown, detail);
    let body = serde_json::to_string(&refusal).unwrap_or_default();
    // `tiny_http` hands out the connection only for an upgrade, which sends a response by itself:
    // an interim one with status 100, after which the final response is written by hand.
    let mut connection = request.upgrade("none", Response::empty(100));
    let _gone = write!(
        connection,
        "HTTP/1.1 413 Payload Too Large\r\nContent-Type: application/problem+json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _gone = connection.flush();
    std::mem::forget(connection);
}

fn has_excess_headers(request: &Request) -> bool {
    let headers = request.headers();
    let bytes: usize = headers
        .iter()
        .map(|h| h.field.as_str().as_str().len() + h.value.len())
        .sum();
    headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES
}

fn refuse_excess_headers(request: Request) {
    let detail =
        format!("more than {MAX_HEADERS} headers or {MAX_HEADER_BYTES} bytes of them; send fewer");
    let refusal = Refusal::new(Reason::TooLarge, Ran::Unknown, detail);
    super::send_response(request, super::problem(431, &refusal, None));
}

/// Returns the address for wake-up connections: the loopback address if the listener is bound to
/// all addresses.
fn wake_address(bound_address: SocketAddr) -> SocketAddr {
    let ip = match bound_address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, bound_address.port())
}
