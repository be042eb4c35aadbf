//! The HTTP edge: listening, reading bodies, problem answers.

use std::io::{Cursor, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use ibisspool_core::refusal::Refusal;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

use crate::part::{Kernel, Name};

/// A response whose body stands in memory.
pub type Reply = Response<Cursor<Vec<u8>>>;

/// Threads that read requests. Each takes whole requests only, so few are enough.
const THREADS: usize = 4;

/// Serves requests with `handle` in threads of their own.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub fn serve<F>(kernel: &Kernel, address: SocketAddr, handle: F) -> Result<SocketAddr>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    let bound = listener
        .local_addr()
        .context("the listener has no address")?;
    let server = Server::from_listener(listener, None).map_err(|error| anyhow!("{error}"))?;
    let server = Arc::new(server);
    let handle = Arc::new(handle);
    for _thread in 0..THREADS {
        let server = Arc::clone(&server);
        let handle = Arc::clone(&handle);
        kernel.spawn(Name::Http, move || {
            while let Ok(request) = server.recv() {
                handle(request);
            }
        });
    }
    Ok(bound)
}

/// Reads a body of at most `limit` bytes, `None` if it is longer or breaks off.
pub fn read_body(request: &mut Request, limit: usize) -> Option<Vec<u8>> {
    if request.body_length().is_some_and(|length| length > limit) {
        return None;
    }
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(limit as u64 + 1);
    reader.read_to_end(&mut body).ok()?;
    (body.len() <= limit).then_some(body)
}

/// Makes a header; the name and value are ASCII text of this program.
pub fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Makes a response with a content type.
pub fn reply(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Reply {
    let mut reply = Response::from_data(body).with_status_code(status);
    if let Some(header) = header("Content-Type", content_type) {
        reply.add_header(header);
    }
    reply
}

/// Makes a JSON response.
pub fn json<T>(status: u16, value: &T) -> Reply
where
    T: Serialize,
{
    reply(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// A problem answer (RFC 9457) with the reason and whether anything ran.
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

/// Makes a problem answer.
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
    let mut reply = reply(status, "application/problem+json", body);
    if let Some(delay) = refusal.retry_after_ms {
        let seconds = Duration::from_millis(delay).as_secs().max(1).to_string();
        reply.headers_mut_push("Retry-After", &seconds);
    }
    reply
}

/// Adds headers by name.
trait Push {
    /// Adds a header.
    fn headers_mut_push(&mut self, name: &str, value: &str);
}

impl Push for Reply {
    fn headers_mut_push(&mut self, name: &str, value: &str) {
        if let Some(header) = header(name, value) {
            self.add_header(header);
        }
    }
}

/// Sends a response; a caller that went away is not an error.
pub fn send(request: Request, reply: Reply) {
    if let Err(error) = request.respond(reply) {
        log::debug!("http: A caller went away before its answer: {error}.");
    }
}
