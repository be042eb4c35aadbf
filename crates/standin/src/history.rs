//! Check of a recorded history: what callers were told against what backend servers started.

use std::collections::HashMap;

use serde_json::Value;
use strum::Display;

/// What one caller was told about one submission.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// The job.
    pub job: String,
    /// The inputs, which the backend servers echo.
    pub inputs: Vec<Value>,
    /// The outputs of a whole answer, in the order of the answer; `None` for a refusal.
    pub outputs: Option<Vec<Value>>,
    /// Whether a refusal said that nothing ran and nothing ever will.
    pub not_run: bool,
    /// Reason of a refusal.
    pub reason: String,
}

/// A promise that a history breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Broken {
    /// A task started more than once.
    StartedTwice,
    /// An answer is not whole, or belongs to another job.
    WrongAnswer,
    /// A job was said not to have run, and a task of it started.
    RanAfterAll,
    /// A job was answered whole, and a task of it never started.
    NeverStarted,
}

/// Returns every broken promise with the job that shows it. `starts` are the starts of all
/// backend servers as job and position.
pub fn check(told: &[Told], starts: &[(String, u32)]) -> Vec<(Broken, String)> {
    let mut counts: HashMap<&str, HashMap<u32, u32>> = HashMap::new();
    for (job, index) in starts {
        *counts.entry(job).or_default().entry(*index).or_default() += 1;
    }
    let mut broken: Vec<(Broken, String)> = counts
        .iter()
        .filter(|(_job, tasks)| tasks.values().any(|count| *count > 1))
        .map(|(job, _tasks)| (Broken::StartedTwice, (*job).to_owned()))
        .collect();
    for answer in told {
        let started = counts.get(answer.job.as_str()).map_or(0, HashMap::len);
        broken.extend(judge(answer, started).map(|rule| (rule, answer.job.clone())));
    }
    broken
}

/// Judges one answer by the number of tasks of its job that started.
fn judge(told: &Told, started: usize) -> Option<Broken> {
    match &told.outputs {
        Some(outputs) if *outputs != told.inputs => Some(Broken::WrongAnswer),
        Some(outputs) if started < outputs.len() => Some(Broken::NeverStarted),
        None if told.not_run && started > 0 => Some(Broken::RanAfterAll),
        _ => None,
    }
}
