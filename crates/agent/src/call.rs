//! One call to the backend server, which says whether anything may have been sent.

use std::cell::Cell;
use std::io::{Read, Result as IoResult, Write};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use bytes::Bytes;
use thiserror::Error;

use crate::runner::Start;

/// A call to start one task.
#[derive(Debug)]
pub struct Call<'a> {
    /// Base URL of the backend server.
    pub address: &'a str,
    /// The task.
    pub start: &'a Start,
    /// Time within which the backend server must take the connection. Nothing is sent later.
    pub connect_timeout: Duration,
    /// Most bytes of the answer.
    pub answer_bytes: usize,
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum Error {
    /// There was no connection, so nothing was sent.
    #[error("no connection to the backend server: {0}")]
    NotConnected(attohttpc::Error),
    /// The call was sent, at least in part, and has no answer.
    #[error("no answer of the backend server: {0}")]
    NoAnswer(attohttpc::Error),
    /// The answer broke off.
    #[error("the backend server's answer broke off: {0}")]
    BrokenOff(std::io::Error),
    /// The answer has fewer bytes than it said, or did not say how many it has.
    #[error("the backend server's answer is not whole; it must send Content-Length or chunks")]
    NotWhole,
    /// The answer names another task.
    #[error("the backend server answered another task")]
    Crossed,
    /// The answer is over the limit.
    #[error("the answer is over {0} bytes; send less or raise the agent's --max-answer-bytes")]
    TooLong(usize),
}

/// An answer of the backend server to the task that was sent.
#[derive(Debug)]
pub struct Answer {
    status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns whether the task ended well.
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Returns the status and the body as text.
    pub fn describe(&self) -> String {
        format!("{} {}", self.status, String::from_utf8_lossy(&self.body))
    }
}

/// The input as a body that notes when it is asked for with the connection open: the library asks
/// right before it writes.
struct Input<'a> {
    bytes: &'a [u8],
    connected: &'a Cell<bool>,
    prepared: &'a Cell<bool>,
}

impl Body for Input<'_> {
    fn kind(&mut self) -> IoResult<BodyKind> {
        self.connected.set(self.prepared.get());
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W>(&mut self, mut writer: W) -> IoResult<()>
    where
        W: Write,
    {
        writer.write_all(self.bytes)
    }
}

/// Starts a task at the backend server and waits for its answer.
///
/// Redirects are not followed and proxies not used: either could start the task twice.
///
/// # Errors
/// Fails if there is no answer that names the task; [`Error::NotConnected`] alone says that the
/// task was not started.
pub fn send(call: &Call<'_>) -> Result<Answer, Error> {
    let Start {
        task,
        kind,
        input,
        timeout,
        ..
    } = call.start;
    let (connected, prepared) = (Cell::new(false), Cell::new(false));
    let body = Input {
        bytes: input,
        connected: &connected,
        prepared: &prepared,
    };
    let url = format!("{}/tasks/{}/{}", call.address, task.job, task.index);
    let mut request = RequestBuilder::try_new(Method::POST, url)
        .map_err(Error::NotConnected)?
        .connect_timeout(call.connect_timeout)
        .read_timeout(*timeout)
        .timeout(*timeout)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .header("Ibisspool-Kind", kind)
        .header("Content-Type", "application/json")
        .body(body)
        .try_prepare()
        .map_err(Error::NotConnected)?;
    prepared.set(true);
    let response = request.send().map_err(|error| {
        if connected.get() {
            Error::NoAnswer(error)
        } else {
            Error::NotConnected(error)
        }
    })?;
    read(call, response)
}

fn read(call: &Call<'_>, response: Response) -> Result<Answer, Error> {
    let echoed = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let task = call.start.task;
    let mine = echoed("Ibisspool-Job") == Some(task.job.to_string())
        && echoed("Ibisspool-Index") == Some(task.index.to_string());
    if !mine {
        return Err(Error::Crossed);
    }
    let length = echoed("Content-Length").and_then(|length| length.parse::<usize>().ok());
    let is_chunked = echoed("Transfer-Encoding").is_some();
    let (status, _headers, reader) = response.split();
    let mut body = Vec::new();
    reader
        .take(call.answer_bytes as u64 + 1)
        .read_to_end(&mut body)
        .map_err(Error::BrokenOff)?;
    if body.len() > call.answer_bytes {
        return Err(Error::TooLong(call.answer_bytes));
    }
    if !is_chunked && length != Some(body.len()) {
        return Err(Error::NotWhole);
    }
    body.shrink_to_fit();
    let body = Bytes::from(body);
    Ok(Answer { status, body })
}
