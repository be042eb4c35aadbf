//! Semantic checks of a catalogue.

use std::collections::BTreeSet;
use std::time::Duration;

use thiserror::Error;

use super::{Catalogue, Kind, Owner};

/// Most characters of a name.
const NAME_LENGTH: usize = 64;

/// Largest weight of an owner.
const MAX_WEIGHT: u32 = 1_000;

/// Largest limit on running tasks, and on starts a second.
const MAX_LIMIT: u32 = 1_000_000;

/// Most tasks that a kind may allow in one job.
const MAX_TASKS: u32 = 10_000;

/// Most bytes that a kind may allow in one input.
const MAX_INPUT_BYTES: u32 = 16 << 20;

/// Bounds that the entry's settings put on the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long ids are remembered; a timeout is at most half of it.
    pub window: Duration,
}

/// A value that the catalogue may not have.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{table} `{entry}`, field {field}: {detail}")]
pub struct Problem {
    /// `owner` or `kind`.
    pub table: &'static str,
    /// Name of the entry.
    pub entry: String,
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong and what to write instead.
    pub detail: String,
}

impl Catalogue {
    /// Returns every value that is not allowed.
    pub fn problems(&self, limits: Limits) -> Vec<Problem> {
        let mut problems = Vec::new();
        duplicates("owner", self.owners.iter().map(|o| &o.name), &mut problems);
        duplicates("kind", self.kinds.iter().map(|k| &k.name), &mut problems);
        for owner in &self.owners {
            check_owner(owner, &mut problems);
        }
        for kind in &self.kinds {
            check_kind(kind, limits, &mut problems);
            if self.owner(&kind.owner).is_none() {
                let detail = format!(
                    "there is no owner `{}`; add an [[owner]] of that name",
                    kind.owner
                );
                problems.push(problem("kind", &kind.name, "owner", detail));
            }
        }
        problems
    }
}

fn problem(table: &'static str, entry: &str, field: &'static str, detail: String) -> Problem {
    Problem {
        table,
        entry: entry.to_owned(),
        field,
        detail,
    }
}

fn duplicates<'a, I>(table: &'static str, names: I, problems: &mut Vec<Problem>)
where
    I: Iterator<Item = &'a String>,
{
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            let detail = "the name stands twice; keep one of the entries".to_owned();
            problems.push(problem(table, name, "name", detail));
        }
    }
}

fn check_owner(owner: &Owner, problems: &mut Vec<Problem>) {
    let mut check = |field, value, least, most| {
        within("owner", &owner.name, field, value, (least, most), problems);
    };
    check("weight", u64::from(owner.weight), 1, MAX_WEIGHT.into());
    check_limits(owner.max_running, owner.max_rate, &mut check);
    check_name("owner", &owner.name, problems);
}

fn check_kind(kind: &Kind, limits: Limits, problems: &mut Vec<Problem>) {
    let mut check = |field, value, least, most| {
        within("kind", &kind.name, field, value, (least, most), problems);
    };
    check_limits(kind.max_running, kind.max_rate, &mut check);
    if let Some(tasks) = kind.max_tasks {
        check("max_tasks", tasks.into(), 1, MAX_TASKS.into());
    }
    if let Some(bytes) = kind.max_input_bytes {
        check("max_input_bytes", bytes.into(), 1, MAX_INPUT_BYTES.into());
    }
    let longest = limits.window.as_millis() as u64 / 2;
    check("max_timeout_ms", kind.max_timeout_ms, 1, longest);
    check("expected_run_ms", kind.expected_run_ms, 1, longest);
    check_name("kind", &kind.name, problems);
}

fn check_limits<C>(max_running: Option<u32>, max_rate: Option<u32>, check: &mut C)
where
    C: FnMut(&'static str, u64, u64, u64),
{
    if let Some(running) = max_running {
        check("max_running", running.into(), 1, MAX_LIMIT.into());
    }
    if let Some(rate) = max_rate {
        check("max_rate", rate.into(), 1, MAX_LIMIT.into());
    }
}

fn within(
    table: &'static str,
    entry: &str,
    field: &'static str,
    value: u64,
    (least, most): (u64, u64),
    problems: &mut Vec<Problem>,
) {
    if !(least..=most).contains(&value) {
        let detail =
            format!("{value} is out of range; write a whole number from {least} to {most}");
        problems.push(problem(table, entry, field, detail));
    }
}

fn check_name(table: &'static str, name: &str, problems: &mut Vec<Problem>) {
    if !is_name(name) {
        let detail = format!(
            "`{name}` is not a name; write 1 to {NAME_LENGTH} letters, digits, dots, hyphens or underscores"
        );
        problems.push(problem(table, name, "name", detail));
    }
}

/// Returns whether a text may name an owner, a kind, a data centre or a backend server.
pub fn is_name(text: &str) -> bool {
    (1..=NAME_LENGTH).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
}
