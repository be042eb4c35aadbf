//! A caller of ibisspool.

use std::time::Duration;

use anyhow::{Context, Result};
use ibisspool_core::control::Member;
use ibisspool_core::job::Id;
use ibisspool_core::rendezvous;
use ibisspool_core::time::Wall;
use serde::Deserialize;
use serde_json::Value;

/// Added to a job's timeout, so that the answer comes before the caller gives up.
const PATIENCE: Duration = Duration::from_secs(10);

/// The end of a job as a caller sees it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Answer {
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// `complete` for a whole answer.
    #[serde(default)]
    pub state: String,
    /// Results in task order.
    #[serde(default)]
    pub results: Vec<TaskResult>,
    /// Reason of a refusal.
    #[serde(default)]
    pub reason: String,
    /// Whether anything ran, of a refusal.
    #[serde(default)]
    pub ran: String,
    /// What happened, of a refusal.
    #[serde(default)]
    pub detail: String,
}

/// Result of one task.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskResult {
    /// Position of the task.
    pub index: u32,
    /// Its output.
    pub output: Value,
}

/// Makes a new job id.
pub fn new_id() -> Id {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Id::new(Wall(now.as_millis() as u64), rand::random())
}

/// Submits a job and waits for its end.
///
/// # Errors
/// Fails if the entry does not answer.
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
        .timeout(timeout + PATIENCE)
        .bytes(body.to_string().into_bytes())
        .send()
        .context("the entry does not answer")?;
    let status = response.status().as_u16();
    let body = response.bytes().context("the answer broke off")?;
    let mut answer: Answer = serde_json::from_slice(&body).context("the answer is not JSON")?;
    answer.status = status;
    Ok(answer)
}

/// Draws an id that the entry of the number coordinates while `entries` of them, named by their
/// numbers, are the members.
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
        if coordinator.is_some_and(|found| found.name == members[number].name) {
            return id;
        }
    }
}
