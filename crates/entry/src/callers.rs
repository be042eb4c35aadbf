//! HTTP interface of an entry for callers: submits, queries and cancels jobs. Requests of operators
//! are passed on to the module `operator`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use ibisspool_core::entry::{Event, Origin};
use ibisspool_core::job::{Id, Spec};
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use ibisspool_core::time::Wall;
use ibisspool_kernel::http::{self, Method, Request};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::metrics::Metrics;
use crate::operator::OperatorInterface;
use crate::responder::{self, AnswerFormat, Waiters};

/// Timeout of a job that was submitted without one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// What the HTTP threads need to serve a request.
#[derive(Debug, Clone)]
pub struct Context {
    /// Mailbox of the decider, the thread that owns the entry's state.
    pub events: Sender<Event>,
    /// Recipients that wait for an answer.
    pub waiters: Waiters,
    /// Handler of operators' requests.
    pub operators: OperatorInterface,
    /// Metrics of the entry, served at `/metrics`.
    pub metrics: Metrics,
    /// Whether the entry accepts jobs, as served at `/readyz`.
    pub ready: Arc<AtomicBool>,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Number of waiting recipients from which on requests are refused.
    pub max_waiters: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission<'a> {
    kind: String,
    #[serde(borrow)]
    tasks: Vec<TaskBody<'a>>,
    timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    #[serde(borrow)]
    input: &'a RawValue,
}

/// Serves one request: answers it at once, or sends it to the decider as an event and keeps the
/// connection among the waiters.
pub fn handle(context: &Context, request: Request) {
    let Some(request) = context.operators.handle(request) else {
        return;
    };
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["healthz"]) => {
            request.answer(http::text_response(200, "text/plain", "ok\n"));
        }
        (&Method::GET, ["readyz"]) => reply_readiness(context, request),
        (&Method::GET, ["metrics"]) => {
            let text = context.metrics.text();
            request.answer(http::text_response(200, "text/plain; version=0.0.4", text));
        }
        (&Method::POST, ["v1", "jobs"]) => submit_job(context, request, None),
        (&Method::PUT, ["v1", "jobs", id]) => submit_job(context, request, Some(id)),
        (&Method::POST, ["v1", "requests", kind]) => submit_single_input(context, request, kind),
        (&Method::GET, ["v1", "jobs", id]) => {
            ask_about_job(context, request, id, |waiter, id| Event::Get {
                waiter,
                id,
                forwarded: false,
            });
        }
        (&Method::DELETE, ["v1", "jobs", id]) => {
            ask_about_job(context, request, id, |waiter, id| Event::Cancel {
                waiter,
                id,
                forwarded: false,
            });
        }
        (&Method::GET, ["v1", "jobs", id, "trace"]) => {
            ask_about_job(context, request, id, |waiter, id| Event::Trace {
                waiter,
                id,
                forwarded: false,
            });
        }
        _ => refuse_unknown_path(context, request, &path),
    }
}

fn reply_readiness(context: &Context, request: Request) {
    let reply = if context.ready.load(Ordering::Relaxed) {
        http::text_response(200, "text/plain", "ready\n")
    } else {
        http::text_response(
            503,
            "text/plain",
            "not ready: no lease, no catalogue, or leaving\n",
        )
    };
    request.answer(reply);
}

fn refuse_unknown_path(context: &Context, request: Request, path: &str) {
    let detail = format!(
        "there is no {} {path}; docs/PROTOCOL.md lists the interface",
        request.method()
    );
    let refusal = Refusal::new(Reason::NotFound, Ran::No, detail);
    send_refusal(context, request, &refusal);
}

fn send_refusal(context: &Context, request: Request, refusal: &Refusal) {
    request.answer(responder::refusal_reply(refusal, None, &context.metrics));
}

fn ask_about_job<F>(context: &Context, request: Request, id: &str, event: F)
where
    F: FnOnce(ibisspool_core::entry::WaiterId, Id) -> Event,
{
    match id.parse::<Id>() {
        Ok(id) => enqueue(context, request, AnswerFormat::Job, |waiter| {
            event(waiter, id)
        }),
        Err(error) => {
            let refusal = Refusal::new(Reason::Malformed, Ran::No, error.to_string());
            send_refusal(context, request, &refusal);
        }
    }
}

fn submit_job(context: &Context, mut request: Request, id: Option<&str>) {
    // A job whose id the caller chose may have run after an earlier request, so only the job's
    // coordinator can tell that it has not.
    let ran = if id.is_some() { Ran::Unknown } else { Ran::No };
    let spec = take_body(context, &mut request, ran).and_then(|body| read_spec(&body, id, ran));
    match spec {
        Ok(spec) => {
            let origin = if id.is_some() {
                Origin::Caller
            } else {
                Origin::NewId
            };
            enqueue(context, request, AnswerFormat::Job, |waiter| {
                Event::Submit {
                    waiter,
                    spec,
                    origin,
                }
            });
        }
        Err(refusal) => send_refusal(context, request, &refusal),
    }
}

fn submit_single_input(context: &Context, mut request: Request, kind: &str) {
    let idempotent = request
        .header("Ibisspool-Idempotent")
        .is_some_and(|value| value.eq_ignore_ascii_case("true"));
    match take_body(context, &mut request, Ran::No) {
        Ok(body) => {
            let spec = Spec {
                id: placeholder_id(),
                kind: kind.to_owned(),
                // The job outlives the request, whose body counts against the limit of the listener.
                inputs: vec![Bytes::copy_from_slice(&body)],
                timeout: DEFAULT_TIMEOUT,
                idempotent,
            };
            let origin = Origin::NewId;
            enqueue(context, request, AnswerFormat::RawOutput, |waiter| {
                Event::Submit {
                    waiter,
                    spec,
                    origin,
                }
            });
        }
        Err(refusal) => send_refusal(context, request, &refusal),
    }
}

/// Adds the caller to those that wait and sends its event to the decider; refuses the request if
/// too many wait already.
fn enqueue<F>(context: &Context, request: Request, format: AnswerFormat, event: F)
where
    F: FnOnce(ibisspool_core::entry::WaiterId) -> Event,
{
    if context.waiters.len() >= context.max_waiters {
        let refusal = Refusal::new(
            Reason::QueueFull,
            Ran::Unknown,
            "too many callers wait at this entry; send the same id again later",
        )
        .with_retry_after_ms(1_000);
        return send_refusal(context, request, &refusal);
    }
    let waiter = context.waiters.add_caller(request, format);
    let _decider_ended = context.events.send(event(waiter));
}

fn take_body(context: &Context, request: &mut Request, ran: Ran) -> Result<Bytes, Refusal> {
    request
        .take_body(context.max_body_bytes)
        .map_err(|error| http::request_refusal(error, ran))
}

fn read_spec(body: &[u8], id: Option<&str>, ran: Ran) -> Result<Spec, Refusal> {
    let malformed = |detail: String| Refusal::new(Reason::Malformed, ran, detail);
    let id = match id {
        Some(id) => id
            .parse::<Id>()
            .map_err(|error| malformed(error.to_string()))?,
        None => placeholder_id(),
    };
    let submission: Submission<'_> = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is not a job: {error}")))?;
    if submission.tasks.is_empty() {
        return Err(malformed(
            "the job has no tasks; name at least one".to_owned(),
        ));
    }
    let inputs = submission.tasks.iter();
    Ok(Spec {
        id,
        kind: submission.kind,
        inputs: inputs
            .map(|task| Bytes::copy_from_slice(task.input.get().as_bytes()))
            .collect(),
        timeout: submission
            .timeout_ms
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis),
        idempotent: false,
    })
}

/// Returns a placeholder for jobs without an id; the entry replaces it by a new id.
fn placeholder_id() -> Id {
    Id::new(Wall(0), [0; 10])
}
