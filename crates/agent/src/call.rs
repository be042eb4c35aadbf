//! The HTTP call that starts a task at the backend server. Its error tells whether the task may
//! have been started.

use std::cell::Cell;
use std::io::{Read, Result as IoResult, Write};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use bytes::Bytes;
use thiserror::Error;

use crate::runner::StartRequest;

/// A call that starts one task.
#[derive(Debug)]
pub struct TaskCall<'a> {
    /// Base URL of the backend server.
    pub base_url: &'a str,
    /// The task and its input.
    pub start: &'a StartRequest,
    /// Time limit for opening the connection. After it, nothing is sent.
    pub connect_timeout: Duration,
    /// Largest accepted body of the answer.
    pub max_answer_bytes: usize,
}

/// Why a call has no usable answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent and the task was not started.
    #[error("no connection to the backend server: {0}")]
    NotConnected(attohttpc::Error),
    /// At least a part of the request may have been sent, and no answer arrived.
    #[error("no answer of the backend server: {0}")]
    NoAnswer(attohttpc::Error),
    /// The connection broke or timed out while the body of the answer was read.
    #[error("the backend server's answer was interrupted: {0}")]
    Interrupted(std::io::Error),
    /// The body is shorter than the answer's `Content-Length`, or the answer has no length, so that
    /// a truncated body cannot be told from a whole one.
    #[error("the backend server's answer is incomplete; it must send Content-Length or chunks")]
    Incomplete,
    /// The headers of the answer name another task, or none.
    #[error(
        "the backend server's answer names another task; \
         it must repeat Ibisspool-Job and Ibisspool-Index"
    )]
    WrongTask,
    /// The body of the answer is over the limit, given in bytes.
    #[error("the answer is over {0} bytes; send less or raise the agent's --max-answer-bytes")]
    TooLarge(usize),
}

/// The backend server's answer to a task.
#[derive(Debug)]
pub struct Answer {
    status: StatusCode,
    /// Body, the output of the task if it succeeded.
    pub body: Bytes,
}

impl Answer {
    /// Returns whether the task succeeded.
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Returns the status and the body as text for an error message.
    pub fn describe(&self) -> String {
        format!("{} {}", self.status, String::from_utf8_lossy(&self.body))
    }
}

/// Request body that records whether a connection was opened. attohttpc calls [`Body::kind`] while
/// the request is prepared and again right after the connection is open, before anything is
/// written.
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
/// Redirects are not followed and proxies are not used, since either could start the task twice.
///
/// # Errors
/// Fails if there is no whole answer that names the task. Only after [`Error::NotConnected`] is it
/// certain that the task was not started.
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
