//! Conversion of the types of `ibisspool_core` to the generated protobuf messages.
//!
//! The functions are total; the reverse direction, which can fail, is [`crate::decode`].

use bytes::Bytes;
use ibisspool_core::entry::{Findings, JobRequest};
use ibisspool_core::{frame, job, refusal};

use crate::generated as wire;

fn id(id: &job::Id) -> Bytes {
    Bytes::copy_from_slice(id.as_bytes())
}

fn task(task: &job::Task) -> wire::Task {
    wire::Task {
        job: id(&task.job),
        index: task.index,
    }
}

/// Encodes a report that an agent sends to an entry: load, outcomes and, on a new connection, the
/// agent's description of itself.
pub fn report(report: frame::Report) -> wire::Report {
    wire::Report {
        incarnation: report.incarnation,
        epoch: report.epoch,
        stamp_us: report.stamp.0,
        running: report.load.running,
        queued: report.load.queued,
        hello: report.hello.map(hello),
        outcomes: report.outcomes.into_iter().map(outcome).collect(),
    }
}

fn hello(hello: frame::Hello) -> wire::Hello {
    wire::Hello {
        agent: hello.agent,
        data_centre: hello.data_centre,
        slots: hello.slots,
        kinds: hello.kinds,
        leaving: hello.leaving,
    }
}

fn outcome(outcome: frame::Outcome) -> wire::Outcome {
    let end = match outcome.end {
        frame::End::Done(output) => wire::outcome::End::Done(output),
        frame::End::Failed(detail) => wire::outcome::End::Failed(detail),
        frame::End::Unknown(detail) => wire::outcome::End::Unknown(detail),
        frame::End::NotStarted(reason) => wire::outcome::End::NotStarted(reason as u32),
    };
    wire::Outcome {
        task: Some(task(&outcome.task)),
        attempt: outcome.attempt,
        end: Some(end),
        queue_us: outcome.queue_us,
        run_us: outcome.run_us,
    }
}

/// Encodes an order that an entry sends to an agent: dispatches, recalls, queries about attempts
/// and the acknowledgement of outcomes.
pub fn order(order: frame::Order) -> wire::Order {
    wire::Order {
        agent_incarnation: order.agent_incarnation,
        epoch: order.epoch,
        permit_us: order.permit.map(|stamp| stamp.0),
        dispatches: order.dispatches.into_iter().map(dispatch).collect(),
        recalls: order.recalls.iter().map(task).collect(),
        queries: order.queries.iter().map(attempt).collect(),
        entries: order.entries,
        acknowledged: order.acknowledged,
    }
}

fn attempt(attempt: &frame::Attempt) -> wire::Attempt {
    wire::Attempt {
        task: Some(task(&attempt.task)),
        attempt: attempt.attempt,
    }
}

fn dispatch(dispatch: frame::Dispatch) -> wire::Dispatch {
    wire::Dispatch {
        task: Some(task(&dispatch.task)),
        attempt: dispatch.attempt,
        kind: dispatch.kind,
        input: dispatch.input,
        timeout_ms: dispatch.timeout_ms,
    }
}

/// Encodes a request that an entry forwards to the entry that coordinates the job.
pub fn question(question: JobRequest) -> wire::Question {
    let job = id(&question.id());
    let verb = match question {
        JobRequest::Submit(spec) => wire::question::Verb::Submit(wire::Submit {
            kind: spec.kind,
            inputs: spec.inputs,
            timeout_ms: spec.timeout.as_millis() as u64,
            idempotent: spec.idempotent,
        }),
        JobRequest::Get(_) => wire::question::Verb::Get(wire::Empty {}),
        JobRequest::Cancel(_) => wire::question::Verb::Cancel(wire::Empty {}),
        JobRequest::Trace(_) => wire::question::Verb::Trace(wire::Empty {}),
    };
    wire::Question {
        job,
        verb: Some(verb),
    }
}

/// Encodes the question whether the given incarnation of an entry has a record of a job. A
/// restarted entry has another incarnation and refuses to answer.
pub fn inquiry(incarnation: u64, epoch: u64, job: &job::Id) -> wire::Inquiry {
    wire::Inquiry {
        incarnation,
        epoch,
        job: id(job),
    }
}

/// Encodes the reply to an inquiry about a job.
pub fn findings(findings: Findings) -> wire::Findings {
    wire::Findings {
        holds: findings.holds,
        epoch: findings.epoch,
        clear: findings.clear,
    }
}

/// Encodes the final answer of a job: its outputs or the refusal.
pub fn answer(job: &job::Id, answer: job::Answer) -> wire::Reply {
    let end = match answer {
        job::Answer::Complete(outputs) => wire::reply::End::Complete(wire::Outputs { outputs }),
        job::Answer::Refused(refused) => wire::reply::End::Refused(refusal(refused)),
    };
    wire::Reply {
        job: id(job),
        end: Some(end),
    }
}

/// Encodes the trace of a job; `trace` is a JSON list of steps.
pub fn trace(job: &job::Id, trace: Bytes) -> wire::Reply {
    wire::Reply {
        job: id(job),
        end: Some(wire::reply::End::Trace(trace)),
    }
}

fn refusal(refusal: refusal::Refusal) -> wire::Refusal {
    wire::Refusal {
        reason: refusal.reason.to_string(),
        ran: refusal.ran.to_string(),
        detail: refusal.detail,
        retry_after_ms: refusal.retry_after_ms,
    }
}
