//! Checks the answers that callers received against the task starts that backend servers recorded.

use std::collections::HashMap;

use serde_json::Value;
use strum::Display;

/// The answer that a caller received to one submission.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedAnswer {
    /// Id of the job.
    pub job: String,
    /// Inputs of the tasks, which the backend servers echo as outputs.
    pub inputs: Vec<Value>,
    /// Outputs of a complete answer, in the order of the answer; `None` for a refusal.
    pub outputs: Option<Vec<Value>>,
    /// Whether a refusal said that no task of the job ran or ever will.
    pub not_run: bool,
    /// Reason of a refusal; empty for a complete answer.
    pub reason: String,
}

/// A guarantee to callers that the answers and starts contradict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// A task started more than once.
    StartedTwice,
    /// A complete answer lacks outputs, or has outputs of other tasks.
    WrongAnswer,
    /// A refusal said that the job did not run, but a task of it started.
    RanAfterAll,
    /// The answer was complete, but a task of the job never started.
    NeverStarted,
}

/// Returns every violation with the id of its job. `starts` holds the job id and the task index of
/// each start at any backend server.
pub fn find_violations(
    answers: &[ReceivedAnswer],
    starts: &[(String, u32)],
) -> Vec<(Violation, String)> {
    let mut starts_by_task: HashMap<&str, HashMap<u32, u32>> = HashMap::new();
    for (job, index) in starts {
        *starts_by_task
            .entry(job)
            .or_default()
            .entry(*index)
            .or_default() += 1;
    }
    let mut violations: Vec<(Violation, String)> = starts_by_task
        .iter()
        .filter(|(_job, starts)| starts.values().any(|count| *count > 1))
        .map(|(job, _starts)| (Violation::StartedTwice, (*job).to_owned()))
        .collect();
    for answer in answers {
        let started = starts_by_task
            .get(answer.job.as_str())
            .map_or(0, HashMap::len);
        violations.extend(
            find_violation(answer, started).map(|violation| (violation, answer.job.clone())),
        );
    }
    violations
}

/// Returns the violation of one answer, given how many different tasks of its job started.
fn find_violation(answer: &ReceivedAnswer, started: usize) -> Option<Violation> {
    match &answer.outputs {
        Some(outputs) if *outputs != answer.inputs => Some(Violation::WrongAnswer),
        Some(outputs) if started < outputs.len() => Some(Violation::NeverStarted),
        None if answer.not_run && started > 0 => Some(Violation::RanAfterAll),
        _ => None,
    }
}
