//! Checks a catalogue for entries that can never match, values that contradict each other and
//! differences from another version.
//!
//! Entries log what is found in a catalogue that comes into force; operators run the same checks
//! on a file before they publish it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use super::{Limits, Queue, Snapshot};

/// Smallest useful limit on request bodies, in bytes. A task specification has up to 4,000 bytes
/// and its request some more.
const MIN_BODY_BYTES: usize = 4_096;

/// How serious a [`Finding`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The catalogue should not be published.
    Error,
    /// The catalogue works, but some of it has no effect or not the one that it seems to have.
    Warning,
}

/// What is wrong with a value of a catalogue, and the remedy. Times are in milliseconds, sizes in
/// bytes.
#[derive(Debug, Clone, PartialEq, Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Problem {
    /// Two queues have the same name, which metrics and estimates are kept by.
    #[error("another queue has the same name; rename one of them")]
    DuplicateName,
    /// The queue has no name.
    #[error("the queue has no name; give it one that no other queue has")]
    MissingName,
    /// The queue names a service that the catalogue does not define.
    #[error("there is no service `{0}`; define it or correct the name")]
    UnknownService(Arc<str>),
    /// The factor of the latency objective is not a number of at least 0.
    #[error("the objective factor {0} is not a number of at least 0; use 1 or more")]
    InvalidFactor(f64),
    /// A later queue with the same host and path prefix gets all requests.
    #[error(
        "queue `{0}` has the same host and path prefix and gets all requests; change one of them"
    )]
    Shadowed(Arc<str>),
    /// No request has such a host.
    #[error("no request names the host {0:?}; write it without port, path and spaces")]
    ImpossibleHost(String),
    /// No request has such a path.
    #[error("no path begins with {0:?}; begin it with / and leave out query and fragment")]
    ImpossiblePrefix(String),
    /// The path prefix alone is longer than a request head may be.
    #[error("the path prefix has {length} bytes, but a request head may have {limit}; shorten it")]
    PrefixTooLong {
        /// Length of the prefix.
        length: usize,
        /// Limit on the request head.
        limit: usize,
    },
    /// Every caller gives up before a job of the queue can be late.
    #[error(
        "the latency objective is at least {objective_ms} ms, but callers wait {timeout_ms} ms; \
         lower the objective or raise the timeout"
    )]
    ObjectiveAfterTimeout {
        /// Constant part of the objective.
        objective_ms: u128,
        /// Time limit of a job.
        timeout_ms: u128,
    },
    /// The factor of the latency objective counts as 1.
    #[error("an objective factor of {0} counts as 1; write 1 or more")]
    FactorBelowOne(f64),
    /// The number of attempts counts as 1.
    #[error("0 attempts count as 1; write 1 or more")]
    NoAttempts,
    /// Entries refuse every job of the queue.
    #[error("entries refuse jobs whose servers an external service selects; remove the advice")]
    UnsupportedAdvice,
    /// Bodies with a long task specification are rejected.
    #[error("a body may have {0} bytes, but a task specification alone may have 4000; raise it")]
    BodyLimitTooSmall(usize),
    /// The idle timeout has no effect.
    #[error(
        "the idle timeout of {idle_ms} ms has no effect below the header timeout of {header_ms} \
         ms; raise it or lower the other"
    )]
    IdleBelowHeaderTimeout {
        /// Idle timeout.
        idle_ms: u128,
        /// Header timeout.
        header_ms: u128,
    },
}

impl Problem {
    /// Returns how serious the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Self::DuplicateName
            | Self::MissingName
            | Self::UnknownService(_)
            | Self::InvalidFactor(_)
            | Self::Shadowed(_)
            | Self::ImpossibleHost(_)
            | Self::ImpossiblePrefix(_)
            | Self::PrefixTooLong { .. }
            | Self::ObjectiveAfterTimeout { .. }
            | Self::BodyLimitTooSmall(_) => Severity::Error,
            Self::FactorBelowOne(_)
            | Self::NoAttempts
            | Self::UnsupportedAdvice
            | Self::IdleBelowHeaderTimeout { .. } => Severity::Warning,
        }
    }
}

/// A problem in a catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Name of the queue, `None` for the limits on requests.
    pub queue: Option<Arc<str>>,
    /// What is wrong.
    pub problem: Problem,
}

/// A difference between two catalogues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Name of the queue, `None` for the limits on requests.
    pub queue: Option<Arc<str>>,
    /// Name of the field, `queue` if the whole queue was added or removed.
    pub field: &'static str,
    /// Value before, `None` for a queue that was added.
    pub before: Option<String>,
    /// Value after, `None` for a queue that was removed.
    pub after: Option<String>,
}

/// Returns the problems of a catalogue, errors first. `services` are the names of the services that
/// the catalogue defines, `None` if they are not known.
pub fn find_problems(catalogue: &Snapshot, services: Option<&[Arc<str>]>) -> Vec<Finding> {
    let mut findings: Vec<Finding> = limit_problems(&catalogue.limits)
        .map(|problem| Finding {
            queue: None,
            problem,
        })
        .collect();
    let mut last_by_match: BTreeMap<(String, &str), usize> = BTreeMap::new();
    let mut count_by_name: BTreeMap<&str, usize> = BTreeMap::new();
    for (position, queue) in catalogue.queues.iter().enumerate() {
        last_by_match.insert(match_key(queue), position);
        *count_by_name.entry(&queue.name).or_default() += 1;
    }
    for (position, queue) in catalogue.queues.iter().enumerate() {
        let mut problems = queue_problems(queue, &catalogue.limits);
        if count_by_name[&*queue.name] > 1 {
            problems.push(Problem::DuplicateName);
        }
        // `Snapshot::find_queue` prefers the last one of several with the same prefix.
        let winner = last_by_match[&match_key(queue)];
        if winner != position {
            let name = Arc::clone(&catalogue.queues[winner].name);
            problems.push(Problem::Shadowed(name));
        }
        if services.is_some_and(|names| !names.contains(&queue.service)) {
            problems.push(Problem::UnknownService(Arc::clone(&queue.service)));
        }
        findings.extend(problems.into_iter().map(|problem| Finding {
            queue: Some(Arc::clone(&queue.name)),
            problem,
        }));
    }
    findings.sort_by_key(|finding| finding.problem.severity());
    findings
}

/// Returns the key by which requests find a queue.
fn match_key(queue: &Queue) -> (String, &str) {
    (queue.host.to_ascii_lowercase(), &queue.path_prefix)
}

fn queue_problems(queue: &Queue, limits: &Limits) -> Vec<Problem> {
    let mut problems = Vec::new();
    if queue.name.is_empty() {
        problems.push(Problem::MissingName);
    }
    let factor = queue.objective_factor;
    if !factor.is_finite() || factor < 0.0 {
        problems.push(Problem::InvalidFactor(factor));
    } else if factor < 1.0 {
        problems.push(Problem::FactorBelowOne(factor));
    }
    let is_host_text = |text: &str| !text.is_empty() && !text.contains([':', '/', ' ']);
    if !is_host_text(&queue.host) {
        problems.push(Problem::ImpossibleHost(queue.host.clone()));
    }
    if !queue.path_prefix.starts_with('/') || queue.path_prefix.contains(['?', '#', ' ']) {
        problems.push(Problem::ImpossiblePrefix(queue.path_prefix.clone()));
    }
    if queue.path_prefix.len() > limits.max_header_bytes {
        problems.push(Problem::PrefixTooLong {
            length: queue.path_prefix.len(),
            limit: limits.max_header_bytes,
        });
    }
    if queue.objective_offset >= queue.timeout && !queue.objective_offset.is_zero() {
        problems.push(Problem::ObjectiveAfterTimeout {
            objective_ms: queue.objective_offset.as_millis(),
            timeout_ms: queue.timeout.as_millis(),
        });
    }
    if queue.max_failed_runs == 0 {
        problems.push(Problem::NoAttempts);
    }
    if queue.needs_placement_advice {
        problems.push(Problem::UnsupportedAdvice);
    }
    problems
}

fn limit_problems(limits: &Limits) -> impl Iterator<Item = Problem> {
    let body = (limits.max_body_bytes < MIN_BODY_BYTES)
        .then_some(Problem::BodyLimitTooSmall(limits.max_body_bytes));
    let idle =
        (limits.idle_timeout < limits.header_timeout).then_some(Problem::IdleBelowHeaderTimeout {
            idle_ms: limits.idle_timeout.as_millis(),
            header_ms: limits.header_timeout.as_millis(),
        });
    body.into_iter().chain(idle)
}

/// Returns what differs between two catalogues, by queue name. The order of the queues and the
/// versions don't count.
pub fn find_differences(before: &Snapshot, after: &Snapshot) -> Vec<Difference> {
    let by_name = |catalogue: &Snapshot| -> BTreeMap<Arc<str>, Queue> {
        let named = |queue: &Queue| (Arc::clone(&queue.name), queue.clone());
        catalogue.queues.iter().map(named).collect()
    };
    let (old, new) = (by_name(before), by_name(after));
    let mut differences = changed_fields(
        None,
        &limit_fields(&before.limits),
        &limit_fields(&after.limits),
    );
    for (name, queue) in &old {
        match new.get(name) {
            Some(changed) => differences.extend(changed_fields(
                Some(name),
                &queue_fields(queue),
                &queue_fields(changed),
            )),
            None => differences.push(Difference {
                queue: Some(Arc::clone(name)),
                field: "queue",
                before: Some(describe_match(queue)),
                after: None,
            }),
        }
    }
    let added = new.iter().filter(|(name, _queue)| !old.contains_key(*name));
    differences.extend(added.map(|(name, queue)| Difference {
        queue: Some(Arc::clone(name)),
        field: "queue",
        before: None,
        after: Some(describe_match(queue)),
    }));
    differences
}

fn describe_match(queue: &Queue) -> String {
    format!("{}{} to {}", queue.host, queue.path_prefix, queue.service)
}

fn changed_fields(
    queue: Option<&Arc<str>>,
    before: &[(&'static str, String)],
    after: &[(&'static str, String)],
) -> Vec<Difference> {
    before
        .iter()
        .zip(after)
        .filter(|((_field, old), (_same_field, new))| old != new)
        .map(|((field, old), (_same_field, new))| Difference {
            queue: queue.cloned(),
            field,
            before: Some(old.clone()),
            after: Some(new.clone()),
        })
        .collect()
}

fn queue_fields(queue: &Queue) -> Vec<(&'static str, String)> {
    vec![
        ("host", queue.host.clone()),
        ("path_prefix", queue.path_prefix.clone()),
        ("service", queue.service.to_string()),
        ("priority", queue.priority.to_string()),
        ("max_failed_runs", queue.max_failed_runs.to_string()),
        ("timeout", millis(queue.timeout)),
        ("objective_factor", queue.objective_factor.to_string()),
        ("objective_offset", millis(queue.objective_offset)),
        (
            "needs_placement_advice",
            queue.needs_placement_advice.to_string(),
        ),
    ]
}

fn limit_fields(limits: &Limits) -> Vec<(&'static str, String)> {
    vec![
        (
            "max_header_bytes",
            format!("{} bytes", limits.max_header_bytes),
        ),
        ("max_body_bytes", format!("{} bytes", limits.max_body_bytes)),
        ("header_timeout", millis(limits.header_timeout)),
        ("idle_timeout", millis(limits.idle_timeout)),
    ]
}

fn millis(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}
