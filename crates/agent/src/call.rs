//! One call to the backend server, which says whether anything may have been sent.

use std::cell::Cell;
use std::io::{Read, Result as IoResult, Write};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use bytes::Bytes;
use thiserror::Error;

use crate::runner::StartRequest;

/// A call to start one task.
#[derive(Debug)]
pub struct TaskCall<'a> {
    /// Base URL of the backend server.
    pub base_url: &'a str,
    /// The task.
    pub start: &'a StartRequest,
    /// Time within which the backend server must take the connection. Nothing is sent later.
    pub connect_timeout: Duration,
    /// Most bytes of the answer.
    pub max_answer_bytes: usize,
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
    Interrupted(std::io::Error),
    /// The answer has fewer bytes than it said, or did not say how many it has.
    #[error("the backend server's answer is not whole; it must send Content-Length or chunks")]
    Incomplete,
    /// The answer names another task.
    #[error("the backend server answered another task")]
    WrongTask,
    /// The answer is over the limit.
    #[error("the answer is over {0} bytes; send less or raise the agent's --max-answer-bytes")]
    TooLarge(usize),
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
struct InputBody<'a> {
    bytes: &'a [u8],
    is_connected: &'a Cell<bool>,
    is_prepared: &'a Cell<bool>,
}

impl Body for InputBody<'_> {
    fn kind(&mut self) -> IoResult<BodyKind> {
        self.is_connected.set(self.is_prepared.get());
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
pub fn send_task(call: &TaskCall<'_>) -> Result<Answer, Error> {
    let StartRequest {
        task,
        kind,
        input,
        timeout,
        ..
    } = call.start;
    let (is_connected, is_prepared) = (Cell::new(false), Cell::new(false));
    let body = InputBody {
        bytes: input,
        is_connected: &is_connected,
        is_prepared: &is_prepared,
    };
    let url = format!("{}/tasks/{}/{}", call.base_url, task.job, task.index);
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
    is_prepared.set(true);
    let response = request.send().map_err(|error| {
        if is_connected.get() {
            Error::NoAnswer(error)
        } else {
            Error::NotConnected(error)
        }
    })?;
    read_answer(call, response)
}

fn read_answer(call: &TaskCall<'_>, response: Response) -> Result<Answer, Error> {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let task = call.start.task;
    let names_own_task = header("Ibisspool-Job") == Some(task.job.to_string())
        && header("Ibisspool-Index") == Some(task.index.to_string());
    if !names_own_task {
        return Err(Error::WrongTask);
    }
    let length = header("Content-Length").and_then(|length| length.parse::<usize>().ok());
    let is_chunked = header("Transfer-Encoding").is_some();
    let (status, _headers, reader) = response.split();
    let mut body = Vec::new();
    reader
        .take(call.max_answer_bytes as u64 + 1)
        .read_to_end(&mut body)
        .map_err(Error::Interrupted)?;
    if body.len() > call.max_answer_bytes {
        return Err(Error::TooLarge(call.max_answer_bytes));
    }
    if !is_chunked && length != Some(body.len()) {
        return Err(Error::Incomplete);
    }
    body.shrink_to_fit();
    let body = Bytes::from(body);
    Ok(Answer { status, body })
}
