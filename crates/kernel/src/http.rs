//! HTTP server of the durable interface: hands whole requests to a handler that may answer them
//! later from any thread, and refuses requests by problem responses (RFC 9457).
//!
//! The connections are served by [`crate::web`] on one thread. A slow caller occupies no thread, only
//! its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use crossbeam::channel::unbounded;
use http::header::CONTENT_TYPE;
pub use http::header::{HeaderName, LOCATION};
pub use http::{Method, StatusCode};
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::connection_limiter::{ConnectionLimiter, limit_kernel_buffers};
use crate::part::{Kernel, PartName};
use crate::spool::block_on;
use crate::web::{self, Call, Limits, Options, Reply, RequestError};

/// Threads that handle the requests with longer bodies, which take time to decode.
const HANDLER_THREADS: usize = 4;

/// Longest body whose request is handled by the thread that serves the connections. It is decoded
/// within some tens of microseconds, less than the wake-up of another thread takes.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Longest time for a body, for a write of which the caller reads nothing, and between the requests
/// of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// Largest total size of the names and values of one request's headers.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Largest head of a request: the headers, what separates them, and the request line.
const MAX_HEAD_BYTES: usize = MAX_HEADER_BYTES + (4 << 10);

/// A request whose whole body has arrived and that waits for its answer. If it is dropped, its
/// connection is closed without one.
#[derive(Debug)]
pub struct Request {
    call: Box<Call>,
    answer: oneshot::Sender<Reply>,
}

impl Request {
    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.call.method
    }

    /// Returns the path of the request target.
    pub fn path(&self) -> &str {
        self.call.uri.path()
    }

    /// Returns the query of the request target, empty if it has none.
    pub fn query(&self) -> &str {
        self.call.uri.query().unwrap_or_default()
    }

    /// Returns the value of a header, `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.call.header(name)
    }

    /// Takes the body out of the request. It counts against the limit of the listener until it is
    /// dropped.
    ///
    /// # Errors
    /// Fails if the body is longer than `limit` bytes.
    pub fn take_body(&mut self, limit: usize) -> Result<Bytes, RequestError> {
        let body = std::mem::take(&mut self.call.body);
        if body.len() > limit {
            return Err(RequestError::BodyTooLarge(limit));
        }
        Ok(body)
    }

    /// Answers the request. A caller that has disconnected is not an error.
    pub fn answer(self, reply: Reply) {
        if self.answer.send(reply).is_err() {
            log::debug!("http: A caller disconnected before its response.");
        }
    }
}

/// Listens on an address and passes each request with a body of up to `max_body_bytes` to `handle`,
/// which several threads call at once; returns the bound address.
///
/// `handle` must not block: short requests are handled by the thread that serves all connections.
///
/// # Errors
/// Fails if the address cannot be listened on.
///
/// # Panics
/// Panics in the thread of the connections, which ends the process, if its event loop cannot start.
pub fn serve<F>(
    kernel: &Kernel,
    address: SocketAddr,
    limiter: ConnectionLimiter,
    max_body_bytes: usize,
    handle: F,
) -> Result<SocketAddr>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    let bound_address = listener
        .local_addr()
        .context("the listener has no address")?;
    listener
        .set_nonblocking(true)
        .context("the listener cannot be polled")?;
    let handle = Arc::new(handle);
    let (long_requests, queue) = unbounded::<Request>();
    for _thread in 0..HANDLER_THREADS {
        let (queue, handle) = (queue.clone(), Arc::clone(&handle));
        kernel.spawn(PartName::Http, move || {
            while let Ok(request) = queue.recv() {
                handle(request);
            }
        });
    }
    let handle_or_queue = move |request: Request| {
        if request.call.body.len() <= MAX_INLINE_BYTES {
            handle(request);
        } else {
            let _ended = long_requests.send(request);
        }
    };
    kernel.spawn(PartName::Http, move || {
        let served = block_on(serve_connections(
            listener,
            limiter,
            max_body_bytes,
            handle_or_queue,
        ));
        // Without its listener the process is of no use; its platform starts it again.
        panic!("the HTTP server ended: {served:?}");
    });
    Ok(bound_address)
}

async fn serve_connections<F>(
    listener: std::net::TcpListener,
    limiter: ConnectionLimiter,
    max_body_bytes: usize,
    handle: F,
) -> Result<()>
where
    F: Fn(Request) + 'static,
{
    let listener = TcpListener::from_std(listener).context("the listener cannot be polled")?;
    limit_kernel_buffers(&listener);
    let options = Options {
        body_timeout: Some(IDLE_TIMEOUT),
        write_timeout: Some(IDLE_TIMEOUT),
        refuse: Some(refuse),
    };
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        body_bytes: max_body_bytes,
        head_timeout: IDLE_TIMEOUT,
    };
    let answer = move |call: Call| {
        let (sender, answer) = oneshot::channel();
        let refused = has_excess_headers(&call).then(|| {
            let error = RequestError::HeadTooLarge(MAX_HEADER_BYTES);
            refuse(error, Some(&call.method))
        });
        if refused.is_none() {
            handle(Request {
                call: Box::new(call),
                answer: sender,
            });
        }
        async move {
            match refused {
                Some(reply) => Some(reply),
                None => answer.await.ok(),
            }
        }
    };
    let (_trigger, shutdown) = web::shutdown_pair();
    web::serve_with_options(options, limiter, listener, || limits, answer, shutdown).await;
    Ok(())
}

fn has_excess_headers(call: &Call) -> bool {
    let bytes: usize = call
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    call.headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES
}

/// Returns the refusal of a request that was not handed to its handler.
fn refuse(error: RequestError, method: Option<&Method>) -> Reply {
    // A job whose id the caller chose may have run after an earlier request.
    let ran = match method {
        Some(&Method::PUT) | None => Ran::Unknown,
        Some(_) => Ran::No,
    };
    let refusal = request_refusal(error, ran);
    let status = match error {
        RequestError::TooSlow(_) => StatusCode::BAD_REQUEST,
        error => error.status(),
    };
    problem(status.as_u16(), &refusal, None)
}

/// Returns the refusal of a request that was not run. `ran` tells the caller whether the job may have
/// been started by an earlier request.
pub fn request_refusal(error: RequestError, ran: Ran) -> Refusal {
    let reason = match error {
        RequestError::HeadTooLarge(_) | RequestError::BodyTooLarge(_) => Reason::TooLarge,
        RequestError::Malformed | RequestError::Truncated | RequestError::TooSlow(_) => {
            Reason::Malformed
        }
        RequestError::NoRoom(_) => Reason::QueueFull,
    };
    let refusal = Refusal::new(reason, ran, error.to_string());
    match error {
        RequestError::NoRoom(delay) => refusal.with_retry_after_ms(delay.as_millis() as u64),
        _ => refusal,
    }
}

/// Creates a response with a content type. An unknown status becomes 500.
pub fn text_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Reply::new(status)
        .with_body(body)
        .with_header(CONTENT_TYPE, content_type)
}

/// Creates a JSON response. The body is empty if the value cannot be encoded.
pub fn json_response<T>(status: u16, value: &T) -> Reply
where
    T: Serialize,
{
    text_response(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Body of a problem response (RFC 9457), extended by the refusal's reason, whether any task ran,
/// and the job's id.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: String,
    status: u16,
    #[serde(flatten)]
    refusal: &'a Refusal,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<&'a str>,
}

/// Creates a problem response (RFC 9457). A retry delay in the refusal sets the `Retry-After`
/// header, rounded down to whole seconds but at least 1.
pub fn problem(status: u16, refusal: &Refusal, id: Option<&str>) -> Reply {
    let title = refusal.reason.to_string().replace('_', " ");
    let problem = Problem {
        kind: "about:blank",
        title,
        status,
        refusal,
        id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let retry_after = refusal
        .retry_after_ms
        .map(|delay| Duration::from_millis(delay).as_secs().max(1));
    Reply {
        retry_after,
        ..text_response(status, "application/problem+json", body)
    }
}
