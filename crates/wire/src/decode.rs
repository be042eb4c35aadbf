//! Checked decoding: a message that breaks a rule is an error, never a panic.

use std::time::Duration;

use bytes::Bytes;
use ibisspool_core::entry::{Findings, JobRequest};
use ibisspool_core::time::Monotonic;
use ibisspool_core::{frame, job, refusal};
use thiserror::Error;

use crate::generated as wire;

/// Why a message of another process was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// A part that must be present is missing.
    #[error("the message lacks `{0}`; run the same version on all processes")]
    Missing(&'static str),
    /// A job id is not a UUID of version 7.
    #[error("a job id in the message is malformed: {0}")]
    Id(#[from] job::IdError),
    /// A value is not one of the known ones.
    #[error(
        "`{0}` has a value that this version does not know; run the same version on all processes"
    )]
    Unknown(&'static str),
}

/// The answer to a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The end of the job.
    Answer(job::Answer),
    /// JSON list of what happened.
    Trace(Bytes),
}

fn task(task: Option<wire::Task>) -> Result<job::Task, Error> {
    let task = task.ok_or(Error::Missing("task"))?;
    Ok(job::Task {
        job: job::Id::from_slice(&task.job)?,
        index: task.index,
    })
}

/// Decodes a report of an agent.
///
/// # Errors
/// Fails if a part is missing or unknown.
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
        wire::outcome::End::NotStarted(reason) => frame::End::NotStarted(not_started(reason)?),
    };
    Ok(frame::Outcome {
        task: task(outcome.task)?,
        attempt: outcome.attempt,
        end,
        queue_us: outcome.queue_us,
        run_us: outcome.run_us,
    })
}

fn not_started(reason: u32) -> Result<frame::NotStarted, Error> {
    u8::try_from(reason)
        .ok()
        .and_then(frame::NotStarted::from_repr)
        .ok_or(Error::Unknown("not_started"))
}

/// Decodes an order of an entry.
///
/// # Errors
/// Fails if a part is missing or unknown.
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

/// Decodes a question to a job's coordinator.
///
/// # Errors
/// Fails if a part is missing or unknown.
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

/// Decodes the job that an inquiry is about.
///
/// # Errors
/// Fails if the job's id is not one.
pub fn inquiry(inquiry: &wire::Inquiry) -> Result<job::Id, Error> {
    Ok(job::Id::from_slice(&inquiry.job)?)
}

/// Decodes what an entry knows of a job.
pub fn findings(findings: wire::Findings) -> Findings {
    Findings {
        holds: findings.holds,
        epoch: findings.epoch,
        clear: findings.clear,
    }
}

/// Decodes the answer to a question about `asked`.
///
/// # Errors
/// Fails if a part is missing or unknown, or if the answer is about another job.
pub fn reply(asked: &job::Id, reply: wire::Reply) -> Result<Reply, Error> {
    if job::Id::from_slice(&reply.job)? != *asked {
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
