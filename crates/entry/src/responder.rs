//! Recipients that wait for an answer of the decider, and the threads that encode HTTP responses.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use anyhow::Result;
use bytes::Bytes;
use crossbeam::channel::Sender;
use ibisspool_core::entry::{Findings, Step, WaiterId};
use ibisspool_core::job::{Answer, Id};
use ibisspool_core::refusal::{Reason, Refusal};
use ibisspool_kernel::http::{self, LOCATION, Request};
use ibisspool_kernel::part::{Kernel, PartName};
use ibisspool_kernel::web::Reply;
use ibisspool_wire::decode;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// Threads that encode responses. The thread of the connections writes them.
const RESPONDER_THREADS: usize = 4;

/// Format of the response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFormat {
    /// A JSON object with the results of all tasks of the job.
    Job,
    /// The output of the job's only task, unchanged.
    RawOutput,
}

/// Recipient of an answer: a caller, or a gRPC call of another entry.
#[derive(Debug)]
enum Recipient {
    /// A caller, whose open HTTP request takes the answer.
    Caller {
        request: Request,
        format: AnswerFormat,
        received_at: Instant,
    },
    /// Another entry that forwarded a question about a job.
    Peer(oneshot::Sender<Option<decode::Reply>>),
    /// Another entry that sent a heartbeat; the answer is an epoch.
    Heartbeat(oneshot::Sender<u64>),
    /// Another entry that asks what this one knows of a job.
    Inquiry(oneshot::Sender<Findings>),
}

/// An answer that is to be written to a caller.
#[derive(Debug)]
pub struct Outgoing {
    request: Request,
    format: AnswerFormat,
    received_at: Instant,
    id: Id,
    reply: decode::Reply,
}

/// Table of the recipients that wait for an answer, by waiter number. Clones share it.
#[derive(Debug, Clone)]
pub struct Waiters {
    next_waiter: Arc<AtomicU64>,
    recipients: Arc<Mutex<HashMap<WaiterId, Recipient>>>,
    outgoing: Sender<Outgoing>,
}

impl Waiters {
    /// Creates the table, registers the mailbox of the responder threads and starts them.
    ///
    /// # Errors
    /// Fails if the mailbox cannot be found, which cannot happen right after its registration.
    pub fn start(kernel: &Kernel, metrics: &Metrics) -> Result<Self> {
        let mailbox = kernel.register::<Outgoing>(PartName::Responder);
        for _thread in 0..RESPONDER_THREADS {
            let mailbox = mailbox.clone();
            let metrics = metrics.clone();
            kernel.spawn(PartName::Responder, move || {
                while let Ok(outgoing) = mailbox.recv() {
                    write_response(outgoing, &metrics);
                }
            });
        }
        Ok(Self {
            next_waiter: Arc::new(AtomicU64::new(1)),
            recipients: Arc::new(Mutex::new(HashMap::new())),
            outgoing: kernel.find(PartName::Responder)?,
        })
    }

    fn add(&self, recipient: Recipient) -> WaiterId {
        let waiter = WaiterId(self.next_waiter.fetch_add(1, Ordering::Relaxed));
        self.lock_recipients().insert(waiter, recipient);
        waiter
    }

    fn lock_recipients(&self) -> std::sync::MutexGuard<'_, HashMap<WaiterId, Recipient>> {
        self.recipients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of recipients that wait.
    pub fn len(&self) -> usize {
        self.lock_recipients().len()
    }

    /// Returns whether no recipient waits.
    pub fn is_empty(&self) -> bool {
        self.lock_recipients().is_empty()
    }

    /// Adds a caller and keeps its open HTTP request until the answer.
    pub fn add_caller(&self, request: Request, format: AnswerFormat) -> WaiterId {
        self.add(Recipient::Caller {
            request,
            format,
            received_at: Instant::now(),
        })
    }

    /// Adds a question that another entry has forwarded. The receiver gets `None` if this entry is
    /// not the job's coordinator.
    pub fn add_forwarded(&self) -> (WaiterId, oneshot::Receiver<Option<decode::Reply>>) {
        let (sender, receiver) = oneshot::channel();
        (self.add(Recipient::Peer(sender)), receiver)
    }

    /// Adds a heartbeat of another entry. The receiver gets the epoch of this entry.
    pub fn add_heartbeat(&self) -> (WaiterId, oneshot::Receiver<u64>) {
        let (sender, receiver) = oneshot::channel();
        (self.add(Recipient::Heartbeat(sender)), receiver)
    }

    /// Adds an inquiry of another entry about a job. The receiver gets what this entry knows.
    pub fn add_inquiry(&self) -> (WaiterId, oneshot::Receiver<Findings>) {
        let (sender, receiver) = oneshot::channel();
        (self.add(Recipient::Inquiry(sender)), receiver)
    }

    /// Answers an inquiry about a job with what this entry knows.
    pub fn answer_inquiry(&self, waiter: WaiterId, findings: Findings) {
        if let Some(Recipient::Inquiry(sender)) = self.lock_recipients().remove(&waiter) {
            let _gone = sender.send(findings);
        }
    }

    /// Answers a caller or another entry with the end of a job.
    pub fn answer_job(&self, waiter: WaiterId, id: Id, answer: Answer) {
        self.send_reply(waiter, id, decode::Reply::Answer(answer));
    }

    /// Answers a caller or another entry with the recorded steps of a job.
    pub fn answer_trace(&self, waiter: WaiterId, id: Id, steps: &[Step]) {
        let trace = serde_json::to_vec(steps).unwrap_or_default();
        self.send_reply(waiter, id, decode::Reply::Trace(Bytes::from(trace)));
    }

    /// Sends an answer to the recipient: to a caller through the responder threads, to another
    /// entry directly. A recipient that waits no longer gets nothing.
    pub fn send_reply(&self, waiter: WaiterId, id: Id, reply: decode::Reply) {
        let recipient = self.lock_recipients().remove(&waiter);
        match recipient {
            Some(Recipient::Caller {
                request,
                format,
                received_at,
            }) => {
                let _ended = self.outgoing.send(Outgoing {
                    request,
                    format,
                    received_at,
                    id,
                    reply,
                });
            }
            Some(Recipient::Peer(sender)) => {
                let _gone = sender.send(Some(reply));
            }
            Some(Recipient::Heartbeat(_) | Recipient::Inquiry(_)) | None => {}
        }
    }

    /// Tells another entry that this one is not the coordinator of the job that it asked about.
    pub fn answer_misdirected(&self, waiter: WaiterId) {
        if let Some(Recipient::Peer(sender)) = self.lock_recipients().remove(&waiter) {
            let _gone = sender.send(None);
        }
    }

    /// Answers a heartbeat with the epoch of this entry.
    pub fn answer_heartbeat(&self, waiter: WaiterId, epoch: u64) {
        if let Some(Recipient::Heartbeat(sender)) = self.lock_recipients().remove(&waiter) {
            let _gone = sender.send(epoch);
        }
    }
}

fn write_response(outgoing: Outgoing, metrics: &Metrics) {
    let Outgoing {
        request,
        format,
        received_at,
        id,
        reply,
    } = outgoing;
    metrics
        .response_seconds
        .observe(received_at.elapsed().as_secs_f64());
    let response = match &reply {
        decode::Reply::Answer(Answer::Complete(outputs)) => complete_reply(&id, outputs, format),
        decode::Reply::Answer(Answer::Refused(refusal)) => {
            refusal_reply(refusal, Some(&id), metrics)
        }
        decode::Reply::Trace(steps) => trace_reply(&id, steps),
    };
    request.answer(response.with_header(LOCATION, &format!("/v1/jobs/{id}")));
}

/// Creates the problem response (RFC 9457) of a refusal and counts the refusal.
pub fn refusal_reply(refusal: &Refusal, id: Option<&Id>, metrics: &Metrics) -> Reply {
    metrics
        .refusals
        .with_label_values(&[<&str>::from(refusal.reason)])
        .inc();
    let id = id.map(ToString::to_string);
    http::problem(http_status(refusal.reason), refusal, id.as_deref())
}

fn complete_reply(id: &Id, outputs: &[Bytes], format: AnswerFormat) -> Reply {
    if format == AnswerFormat::RawOutput {
        let body = outputs
            .first()
            .map(|output| output.to_vec())
            .unwrap_or_default();
        return http::text_response(200, "application/octet-stream", body);
    }
    let mut body = format!("{{\"id\":\"{id}\",\"state\":\"complete\",\"results\":[").into_bytes();
    for (index, output) in outputs.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        body.extend_from_slice(format!("{{\"index\":{index},\"output\":").as_bytes());
        append_json(&mut body, output);
        body.push(b'}');
    }
    body.extend_from_slice(b"]}");
    http::text_response(200, "application/json", body)
}

/// Appends an output unchanged if it is JSON, otherwise as a JSON string.
fn append_json(body: &mut Vec<u8>, output: &Bytes) {
    if serde_json::from_slice::<&RawValue>(output).is_ok() {
        body.extend_from_slice(output);
    } else {
        let text = serde_json::Value::from(String::from_utf8_lossy(output));
        body.extend_from_slice(text.to_string().as_bytes());
    }
}

fn trace_reply(id: &Id, steps: &Bytes) -> Reply {
    let steps = serde_json::from_slice::<serde_json::Value>(steps).unwrap_or_default();
    http::json_response(200, &json!({ "id": id.to_string(), "steps": steps }))
}

/// Returns the HTTP status for the reason of a refusal.
pub fn http_status(reason: Reason) -> u16 {
    match reason {
        Reason::Malformed | Reason::IdFromFuture | Reason::TimeoutOutOfRange => 400,
        Reason::Unauthorized => 401,
        Reason::UnknownKind | Reason::NotFound => 404,
        Reason::IdReused | Reason::Cancelled => 409,
        Reason::IdTooOld => 410,
        Reason::TooLarge => 413,
        Reason::OverQuota => 429,
        Reason::CoordinatorLost
        | Reason::HistoryLost
        | Reason::TaskFailed
        | Reason::OutcomeUnknown => 502,
        Reason::QueueFull
        | Reason::NoBackend
        | Reason::CannotEndInTime
        | Reason::NoLease
        | Reason::Leaving
        | Reason::TableFull => 503,
        Reason::TimedOut => 504,
    }
}
