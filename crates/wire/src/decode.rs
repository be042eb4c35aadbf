//! Conversion of generated protobuf messages to the types of `ibisspool_core`.
//!
//! The messages come from other processes, which may run another version. An invalid message is an
//! [`enum@Error`], never a panic, so that one bad peer cannot stop this process.

use std::time::Duration;

use bytes::Bytes;
use ibisspool_core::entry::{Findings, JobRequest};
use ibisspool_core::time::Monotonic;
use ibisspool_core::{frame, job, refusal};
use thiserror::Error;

use crate::generated as wire;

/// Why a message from another process was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// A required field, given by name, is not set.
    #[error("the message lacks the field `{0}`; run the same version on all processes")]
    Missing(&'static str),
    /// A job id is not a UUID of version 7.
    #[error("a job id in the message is invalid: {0}")]
    Id(#[from] job::IdError),
    /// The named field has a value that this version does not know or did not expect.
    #[error(
        "the field `{0}` has a value that this version does not know; run the same version on all processes"
    )]
    Unknown(&'static str),
}

/// The reply to a forwarded request about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Final answer of the job.
    Answer(job::Answer),
    /// Trace of the job: a JSON list of steps.
    Trace(Bytes),
}

fn task(task: Option<wire::Task>) -> Result<job::Task, Error> {
    let task = task.ok_or(Error::Missing("task"))?;
    Ok(job::Task {
        job: job::Id::from_slice(&task.job)?,
        index: task.index,
    })
}

/// Decodes a report that an agent sent.
///
/// # Errors
/// Fails if a required field is missing, a job id is invalid or a value is unknown.
pub fn report(report: wire::Report) -> Result<frame::Report, Error> {
    let outcomes: Result<Vec<_>, Error> = report.outcomes.into_iter().map(outcome).collect();
    Ok(frame::Report {
        incarnation: report.incarnation,
        epoch: report.epoch,
        stamp: Monotonic(report.stamp_us),
        load: frame::Load {
            running: report.running,
            queued: report.queued,
        },
        hello: report.hello.map(hello),
        outcomes: outcomes?,
    })
}

fn hello(hello: wire::Hello) -> frame::Hello {
    frame::Hello {
        agent: hello.agent,
        data_centre: hello.data_centre,
        slots: hello.slots,
        kinds: hello.kinds,
        leaving: hello.leaving,
    }
}

fn outcome(outcome: wire::Outcome) -> Result<frame::Outcome, Error> {
    let end = match outcome.end.ok_or(Error::Missing("end"))? {
        wire::outcome::End::Done(output) => frame::End::Done(output),
        wire::outcome::End::Failed(detail) => frame::End::Failed(detail),
        wire::outcome::End::Unknown(detail) => frame::End::Unknown(detail),
        wire::outcome::End::NotStarted(reason) => {
            frame::End::NotStarted(not_started_reason(reason)?)
        }
    };
    Ok(frame::Outcome {
        task: task(outcome.task)?,
        attempt: outcome.attempt,
        end,
        queue_us: outcome.queue_us,
        run_us: outcome.run_us,
    })
}

fn not_started_reason(reason: u32) -> Result<frame::NotStarted, Error> {
    u8::try_from(reason)
        .ok()
        .and_then(frame::NotStarted::from_repr)
        .ok_or(Error::Unknown("not_started"))
}

/// Decodes an order that an entry sent.
///
/// # Errors
/// Fails if a required field is missing or a job id is invalid.
pub fn order(order: wire::Order) -> Result<frame::Order, Error> {
    let dispatches: Result<Vec<_>, Error> = order.dispatches.into_iter().map(dispatch).collect();
    let recalls: Result<Vec<_>, Error> = order.recalls.into_iter().map(|t| task(Some(t))).collect();
    let queries: Result<Vec<_>, Error> = order.queries.into_iter().map(attempt).collect();
    Ok(frame::Order {
        agent_incarnation: order.agent_incarnation,
        epoch: order.epoch,
        permit: order.permit_us.map(Monotonic),
        dispatches: dispatches?,
        recalls: recalls?,
        queries: queries?,
        entries: order.entries,
        acknowledged: order.acknowledged,
    })
}

fn attempt(attempt: wire::Attempt) -> Result<frame::Attempt, Error> {
    Ok(frame::Attempt {
        task: task(attempt.task)?,
        attempt: attempt.attempt,
    })
}

fn dispatch(dispatch: wire::Dispatch) -> Result<frame::Dispatch, Error> {
    Ok(frame::Dispatch {
        task: task(dispatch.task)?,
        attempt: dispatch.attempt,
        kind: dispatch.kind,
        input: dispatch.input,
        timeout_ms: dispatch.timeout_ms,
    })
}

/// Decodes a request that another entry forwarded to this one as the job's coordinator.
///
/// # Errors
/// Fails if the verb is missing or the job id is invalid.
pub fn question(question: wire::Question) -> Result<JobRequest, Error> {
    let id = job::Id::from_slice(&question.job)?;
    Ok(match question.verb.ok_or(Error::Missing("verb"))? {
        wire::question::Verb::Submit(submit) => JobRequest::Submit(job::Spec {
            id,
            kind: submit.kind,
            inputs: submit.inputs,
            timeout: Duration::from_millis(submit.timeout_ms),
            idempotent: submit.idempotent,
        }),
        wire::question::Verb::Get(_) => JobRequest::Get(id),
        wire::question::Verb::Cancel(_) => JobRequest::Cancel(id),
        wire::question::Verb::Trace(_) => JobRequest::Trace(id),
    })
}

/// Decodes the id of the job that an inquiry is about.
///
/// # Errors
/// Fails if the job id is invalid.
pub fn inquiry(inquiry: &wire::Inquiry) -> Result<job::Id, Error> {
    Ok(job::Id::from_slice(&inquiry.job)?)
}

/// Decodes the reply to an inquiry about a job; every value of the message is valid.
pub fn findings(findings: wire::Findings) -> Findings {
    Findings {
        holds: findings.holds,
        epoch: findings.epoch,
        clear: findings.clear,
    }
}

/// Decodes the reply to a request about the job `requested`.
///
/// # Errors
/// Fails if a required field is missing, a value is unknown, or the reply is about another job.
pub fn reply(requested: &job::Id, reply: wire::Reply) -> Result<Reply, Error> {
    if job::Id::from_slice(&reply.job)? != *requested {
        return Err(Error::Unknown("job"));
    }
    Ok(match reply.end.ok_or(Error::Missing("end"))? {
        wire::reply::End::Complete(outputs) => {
            Reply::Answer(job::Answer::Complete(outputs.outputs))
        }
        wire::reply::End::Refused(refused) => {
            Reply::Answer(job::Answer::Refused(refusal(refused)?))
        }
        wire::reply::End::Trace(trace) => Reply::Trace(trace),
    })
}

fn refusal(refusal: wire::Refusal) -> Result<refusal::Refusal, Error> {
    Ok(refusal::Refusal {
        reason: refusal
            .reason
            .parse()
            .map_err(|_error| Error::Unknown("reason"))?,
        ran: refusal
            .ran
            .parse()
            .map_err(|_error| Error::Unknown("ran"))?,
        detail: refusal.detail,
        retry_after_ms: refusal.retry_after_ms,
    })
}
