//! Guards around `tiny_http`.
//!
//! - Timeouts: the listening socket carries them, and Linux hands them on to each accepted
//!   connection, so that a half-sent request or a caller that does not read frees its thread.
//!   `accept` itself then times out too, and `tiny_http` would give up, which the wake-up
//!   connections prevent.
//! - Starvation: `tiny_http` queues a connection behind an idle thread that another connection
//!   has already claimed; it stays there until some connection closes. A wake-up connection
//!   makes a thread that serves the queued one.
//! - Absurd lengths: `tiny_http` allocates as many bytes as `Content-Length` still names when it
//!   drops a request, which ends the process. Such a request is answered and never dropped; its
//!   connection and thread are lost.
//! - Loss of the listener: when `accept` fails, for want of file descriptors or after a long
//!   pause, `tiny_http` stops listening for good. A new server takes over the socket.

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

/// Time without a byte after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between wake-up connections while requests arrive.
const BUSY_WAKE_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time between wake-up connections while no request arrives.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Wake-up connections at once while requests arrive; each serves one queued connection.
const WAKES_PER_BUSY_ROUND: u32 = 8;

/// Rounds of wake-up connections after the last request.
const BUSY_ROUNDS: u32 = 20;

/// Time within which a wake-up connection must open.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of a body that the library could not drop safely.
const MAX_DECLARED_BODY_BYTES: usize = 1 << 30;

/// Threads that take requests of one server and handle those that have arrived.
const REQUEST_THREADS: usize = 4;

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// Most bytes of all headers of one request.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Pause before a failed listener is taken over.
const RELISTEN_DELAY: Duration = Duration::from_millis(100);

/// Takes a request on to the threads that handle it.
type RequestHandler = Arc<dyn Fn(Request) + Send + Sync>;

/// Listens and passes requests on.
pub(super) fn start(
    kernel: &Kernel,
    address: SocketAddr,
    handler: RequestHandler,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    let bound = listener
        .local_addr()
        .context("the listener has no address")?;
    let socket = SockRef::from(&listener);
    socket
        .set_read_timeout(Some(IDLE_TIMEOUT))
        .context("cannot set the read timeout")?;
    socket
        .set_write_timeout(Some(IDLE_TIMEOUT))
        .context("cannot set the write timeout")?;
    socket
        .set_tcp_nodelay(true)
        .context("cannot send without delay")?;
    let request_count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&request_count);
    let waker = kernel.spawn(PartName::Http, move || {
        open_wake_connections(wake_address(bound), &request_count)
    });
    let waker = waker.thread().clone();
    let count_and_handle = move |request| {
        counter.fetch_add(1, Ordering::Relaxed);
        waker.unpark();
        handler(request);
    };
    let handler: RequestHandler = Arc::new(count_and_handle);
    spawn_request_threads(kernel, &Arc::new(listener), &handler)?;
    Ok(bound)
}

/// Opens wake-up connections for good: several at a time until some time after the last request,
/// one now and then otherwise.
fn open_wake_connections(target: SocketAddr, request_count: &AtomicU64) {
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
            let _refused = TcpStream::connect_timeout(&target, WAKE_TIMEOUT);
        }
        if busy_rounds_left > 0 {
            thread::sleep(BUSY_WAKE_INTERVAL);
        } else {
            thread::park_timeout(IDLE_WAKE_INTERVAL);
        }
    }
}

/// Accepts connections and takes requests in threads; a failed server goes on with the connections that it has,
/// and a new one takes over the listener.
fn spawn_request_threads(
    kernel: &Kernel,
    listener: &Arc<TcpListener>,
    handler: &RequestHandler,
) -> Result<()> {
    let server_listener = listener.try_clone().context("cannot share the listener")?;
    let server =
        Server::from_listener(server_listener, None).map_err(|error| anyhow!("{error}"))?;
    let server = Arc::new(server);
    for _thread in 0..REQUEST_THREADS {
        let (server, shared) = (Arc::clone(&server), kernel.clone());
        let (listener, handler) = (Arc::clone(listener), Arc::clone(handler));
        kernel.spawn(PartName::Http, move || {
            while let Err(error) = receive_requests(&server, &handler) {
                log::warn!("http: The listener failed and is taken over: {error}.");
                thread::sleep(RELISTEN_DELAY);
                if let Err(error) = spawn_request_threads(&shared, &listener, &handler) {
                    log::error!("http: The listener could not be taken over: {error:#}.");
                    return;
                }
            }
        });
    }
    Ok(())
}

/// Takes requests until the server's listener fails.
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
        "http: A request names a body of over {MAX_DECLARED_BODY_BYTES} bytes; its connection is kept."
    );
    let detail = format!("a body is at most {MAX_DECLARED_BODY_BYTES} bytes; send less at once");
    let refusal = Refusal::new(Reason::TooLarge, Ran::Unknown, detail);
    let body = serde_json::to_string(&refusal).unwrap_or_default();
    // Only an upgrade hands out the connection, so an interim response precedes the real one.
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
    super::send(request, super::problem(431, &refusal, None));
}

/// Returns the address at which this process reaches its own listener.
fn wake_address(bound: SocketAddr) -> SocketAddr {
    let ip = match bound.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, bound.port())
}
