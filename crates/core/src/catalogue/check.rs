//! Validation of the values in a catalogue.

use std::collections::BTreeSet;
use std::time::Duration;

use thiserror::Error;

use super::{Catalogue, Kind, Owner};

/// Maximum number of characters of a name.
const MAX_NAME_LENGTH: usize = 64;

/// Largest weight of an owner.
const MAX_WEIGHT: u32 = 1_000;

/// Largest limit on running tasks and on starts per second.
const MAX_LIMIT: u32 = 1_000_000;

/// Largest value of the `max_tasks` of a kind.
const MAX_TASKS_PER_JOB: u32 = 10_000;

/// Largest value of the `max_input_bytes` of a kind.
const MAX_INPUT_BYTES: u32 = 16 << 20;

/// Settings of an entry that restrict the values of the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Retention window of job ids. Timeouts are at most half of it, so that an id is remembered
    /// until well after its job has ended.
    pub window: Duration,
}

/// A value in the catalogue that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{table} `{name}`, field {field}: {detail}")]
pub struct InvalidValue {
    /// Table of the value, `owner` or `kind`.
    pub table: &'static str,
    /// Name of the owner or kind.
    pub name: String,
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong and what to write instead.
    pub detail: String,
}

impl Catalogue {
    /// Returns every value that is not allowed, and every duplicate name and missing owner.
    pub fn invalid_values(&self, limits: Limits) -> Vec<InvalidValue> {
        let mut invalid_values = Vec::new();
        check_duplicates(
            "owner",
            self.owners.iter().map(|o| &o.name),
            &mut invalid_values,
        );
        check_duplicates(
            "kind",
            self.kinds.iter().map(|k| &k.name),
            &mut invalid_values,
        );
        for owner in &self.owners {
            check_owner(owner, &mut invalid_values);
        }
        for kind in &self.kinds {
            check_kind(kind, limits, &mut invalid_values);
            if self.owner(&kind.owner).is_none() {
                let detail = format!(
                    "there is no owner `{}`; add an [[owner]] of that name",
                    kind.owner
                );
                invalid_values.push(invalid_value("kind", &kind.name, "owner", detail));
            }
        }
        invalid_values
    }
}

fn invalid_value(
    table: &'static str,
    name: &str,
    field: &'static str,
    detail: String,
) -> InvalidValue {
    InvalidValue {
        table,
        name: name.to_owned(),
        field,
        detail,
    }
}

fn check_duplicates<'a, I>(table: &'static str, names: I, invalid_values: &mut Vec<InvalidValue>)
where
    I: Iterator<Item = &'a String>,
{
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            let detail = "the name is used twice; keep only one of the tables".to_owned();
            invalid_values.push(invalid_value(table, name, "name", detail));
        }
    }
}

fn check_owner(owner: &Owner, invalid_values: &mut Vec<InvalidValue>) {
    let mut check = |field, value, min, max| {
        check_range(
            "owner",
            &owner.name,
            field,
            value,
            (min, max),
            invalid_values,
        );
    };
    check("weight", u64::from(owner.weight), 1, MAX_WEIGHT.into());
    check_limits(owner.max_running, owner.max_rate, &mut check);
    check_name("owner", &owner.name, invalid_values);
}

fn check_kind(kind: &Kind, limits: Limits, invalid_values: &mut Vec<InvalidValue>) {
    let mut check = |field, value, min, max| {
        check_range("kind", &kind.name, field, value, (min, max), invalid_values);
    };
    check_limits(kind.max_running, kind.max_rate, &mut check);
    if let Some(tasks) = kind.max_tasks {
        check("max_tasks", tasks.into(), 1, MAX_TASKS_PER_JOB.into());
    }
    if let Some(bytes) = kind.max_input_bytes {
        check("max_input_bytes", bytes.into(), 1, MAX_INPUT_BYTES.into());
    }
    let max_ms = limits.window.as_millis() as u64 / 2;
    check("max_timeout_ms", kind.max_timeout_ms, 1, max_ms);
    check("expected_run_ms", kind.expected_run_ms, 1, max_ms);
    check_name("kind", &kind.name, invalid_values);
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

fn check_range(
    table: &'static str,
    name: &str,
    field: &'static str,
    value: u64,
    (min, max): (u64, u64),
    invalid_values: &mut Vec<InvalidValue>,
) {
    if !(min..=max).contains(&value) {
        let detail = format!("{value} is out of range; write a whole number from {min} to {max}");
        invalid_values.push(invalid_value(table, name, field, detail));
    }
}

fn check_name(table: &'static str, name: &str, invalid_values: &mut Vec<InvalidValue>) {
    if !is_valid_name(name) {
        let detail = format!(
            "`{name}` is not a name; write 1 to {MAX_NAME_LENGTH} letters, digits, dots, hyphens or underscores"
        );
        invalid_values.push(invalid_value(table, name, "name", detail));
    }
}

/// Returns whether a text is a valid name of an owner, a kind, a data centre or a backend server.
pub fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME_LENGTH).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
}
