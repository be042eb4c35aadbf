//! Client for the HTTP interface of the entries that callers use.

use std::time::Duration;

use anyhow::{Context, Result};
use ibisspool_core::control::Member;
use ibisspool_core::job::Id;
use ibisspool_core::rendezvous;
use ibisspool_core::time::Wall;
use serde::Deserialize;
use serde_json::Value;

/// Time by which the HTTP timeout exceeds the job's timeout, so that the caller still receives the
/// answer of a job that timed out.
const ANSWER_MARGIN: Duration = Duration::from_secs(10);

/// The answer to a submission: the results of all tasks, or a refusal.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Answer {
    /// HTTP status of the response.
    #[serde(skip)]
    pub status: u16,
    /// `complete` if the answer holds the results of all tasks.
    #[serde(default)]
    pub state: String,
    /// Results in the order of the tasks; empty for a refusal.
    #[serde(default)]
    pub results: Vec<TaskResult>,
    /// Reason of a refusal, for programs; empty for a complete answer.
    #[serde(default)]
    pub reason: String,
    /// Whether any task of a refused job ran: `yes`, `no` or `unknown`.
    #[serde(default)]
    pub ran: String,
    /// Description of a refusal, for people.
    #[serde(default)]
    pub detail: String,
}

/// Result of one task.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskResult {
    /// Index of the task in its job.
    pub index: u32,
    /// Output of the task.
    pub output: Value,
}

/// Returns a new random job id with the current time.
pub fn new_id() -> Id {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Id::new(Wall(now.as_millis() as u64), rand::random())
}

/// Submits a job through the entry with the base URL `entry` and waits for its answer.
///
/// # Errors
/// Fails if the entry does not answer in time or the answer is not JSON. A refusal is an
/// [`Answer`].
pub fn submit(
    entry: &str,
    id: &Id,
    kind: &str,
    inputs: &[Value],
    timeout: Duration,
) -> Result<Answer> {
    let tasks: Vec<Value> = inputs
        .iter()
        .map(|input| serde_json::json!({ "input": input }))
        .collect();
    let body = serde_json::json!({
        "kind": kind, "tasks": tasks, "timeout_ms": timeout.as_millis() as u64,
    });
    let response = attohttpc::put(format!("{entry}/v1/jobs/{id}"))
        .timeout(timeout + ANSWER_MARGIN)
        .bytes(body.to_string().into_bytes())
        .send()
        .context("the entry did not answer the submission")?;
    let status = response.status().as_u16();
    let body = response
        .bytes()
        .context("the connection broke before the whole answer was read")?;
    let mut answer: Answer =
        serde_json::from_slice(&body).context("the answer of the entry is not valid JSON")?;
    answer.status = status;
    Ok(answer)
}

/// Returns a new job id that `entry-{number}` coordinates by rendezvous hashing while the members
/// are `entry-0` to `entry-{entries - 1}`.
pub fn id_coordinated_by(number: usize, entries: usize) -> Id {
    let member = |number: usize| Member {
        name: format!("entry-{number}"),
        incarnation: 0,
        address: String::new(),
        data_centre: String::new(),
    };
    let members: Vec<Member> = (0..entries).map(member).collect();
    loop {
        let id = new_id();
        let coordinator = rendezvous::coordinator(&members, &id);
        if coordinator.is_some_and(|member| member.name == members[number].name) {
            return id;
        }
    }
}
