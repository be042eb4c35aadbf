//! HTTP server with a thread for each connection: listening, reading bodies, and problem responses
//! (RFC 9457).
//!
//! It is built on `tiny_http`, which lacks timeouts, among others; the module `listener` works
//! around that.

mod listener;

use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use crossbeam::channel::unbounded;
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use serde::Serialize;
use thiserror::Error;
use tiny_http::{Header, Method, Request, Response};

use crate::part::{Kernel, PartName};

/// A response whose body is in memory.
pub type Reply = Response<Cursor<Vec<u8>>>;

/// Threads that read the longer bodies and handle their requests. A body that arrives slowly
/// occupies one of them.
const READER_THREADS: usize = 64;

/// Longest body that `tiny_http` has read when it hands out the request.
const READ_AHEAD_BYTES: usize = 1_024;

/// Time limit for reading a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

const CHUNK_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than the limit, given in bytes.
    #[error("the body is over {0} bytes; send less at once")]
    TooLong(usize),
    /// The connection ended before the whole body arrived.
    #[error("the body is incomplete; send as many bytes as Content-Length names")]
    Truncated,
    /// The whole body did not arrive within 10 s.
    #[error("the body did not arrive within {} s; send it faster", BODY_TIMEOUT.as_secs())]
    TooSlow,
}

impl BodyError {
    /// Returns the refusal of a request whose body could not be read. `ran` tells the caller
    /// whether the job may have been started by an earlier request.
    pub fn refusal(self, ran: Ran) -> Refusal {
        let reason = match self {
            Self::TooLong(_) => Reason::TooLarge,
            Self::Truncated | Self::TooSlow => Reason::Malformed,
        };
        Refusal::new(reason, ran, self.to_string())
    }
}

/// Listens on an address and serves requests with `handle`, which several threads call at once;
/// returns the bound address.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub fn serve<F>(kernel: &Kernel, address: SocketAddr, handle: F) -> Result<SocketAddr>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let (unread_requests, unread_queue) = unbounded::<Request>();
    for _thread in 0..READER_THREADS {
        let (request_queue, handle) = (unread_queue.clone(), Arc::clone(&handle));
        kernel.spawn(PartName::Http, move || {
            while let Ok(request) = request_queue.recv() {
                handle(request);
            }
        });
    }
    // A request whose body has arrived is handled in the thread that received it, which saves the
    // wake-up of another thread.
    let handle_or_queue = move |request: Request| {
        if is_body_buffered(&request) {
            return handle(request);
        }
        let _ended = unread_requests.send(request);
    };
    listener::start(kernel, address, Arc::new(handle_or_queue))
}

fn is_body_buffered(request: &Request) -> bool {
    let is_short = request
        .body_length()
        .is_some_and(|length| length <= READ_AHEAD_BYTES);
    is_short || is_bodiless(request)
}

fn is_bodiless(request: &Request) -> bool {
    matches!(
        request.method(),
        Method::Get | Method::Delete | Method::Head
    ) && request.body_length().unwrap_or(0) == 0
}

/// Reads the body of a request, at most `limit` bytes.
///
/// # Errors
/// Fails if the body is longer, incomplete or takes more than 10 s.
pub fn read_body(request: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    let length = request.body_length();
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLong(limit));
    }
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    let mut chunk = vec![0; CHUNK_BYTES.min(limit + 1)];
    loop {
        let read = request.as_reader().read(&mut chunk);
        let count = read.map_err(|_error| BodyError::Truncated)?;
        body.extend_from_slice(&chunk[..count]);
        if body.len() > limit {
            return Err(BodyError::TooLong(limit));
        }
        if count == 0 {
            break;
        }
        if Instant::now() > deadline {
            return Err(BodyError::TooSlow);
        }
    }
    if length.is_some_and(|length| length > body.len()) {
        return Err(BodyError::Truncated);
    }
    Ok(body)
}

/// Creates a header; returns `None` if the name or value is not ASCII.
pub fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Creates a response with a content type.
pub fn text_response(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Reply {
    let mut reply = Response::from_data(body).with_status_code(status);
    if let Some(header) = header("Content-Type", content_type) {
        reply.add_header(header);
    }
    reply
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
    let mut reply = text_response(status, "application/problem+json", body);
    if let Some(delay) = refusal.retry_after_ms {
        let seconds = Duration::from_millis(delay).as_secs().max(1).to_string();
        reply.push_header("Retry-After", &seconds);
    }
    reply
}

trait PushHeader {
    fn push_header(&mut self, name: &str, value: &str);
}

impl PushHeader for Reply {
    fn push_header(&mut self, name: &str, value: &str) {
        if let Some(header) = header(name, value) {
            self.add_header(header);
        }
    }
}

/// Sends a response. A caller that has disconnected is not an error.
pub fn send_response(request: Request, reply: Reply) {
    if let Err(error) = request.respond(reply) {
        log::debug!("http: A caller disconnected before its response: {error}.");
    }
}
