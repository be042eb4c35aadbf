//! Formats the entries' answers as text for the operator.

use std::fmt::Write as _;

use ibisspool_core::catalogue::{Catalogue, Kind};
use ibisspool_core::entry::operator::{ChangeOutcome, ChangeResult, Status};
use serde_json::Value;

/// Returns the changed lines and the outcome of a change.
pub fn format_outcome(outcome: &ChangeOutcome) -> String {
    let mut text = String::new();
    for line in &outcome.changes {
        let _infallible = writeln!(text, "{line}");
    }
    let id = &outcome.change;
    let end = match &outcome.end {
        ChangeResult::InForce { epoch, after_ms } if outcome.changes.is_empty() => {
            format!(
                "in force: nothing to change, or change {id} was made before; epoch {epoch}, {after_ms} ms"
            )
        }
        ChangeResult::InForce { epoch, after_ms } => {
            format!("in force: change {id} at epoch {epoch} after {after_ms} ms")
        }
        ChangeResult::NotAccepted { reason, detail } => format!("not accepted: {reason}: {detail}"),
        ChangeResult::Written { epoch, unconfirmed } => {
            let unconfirmed = if unconfirmed.is_empty() {
                "the wait for the last leases".to_owned()
            } else {
                unconfirmed.join(", ")
            };
            format!("written, not yet confirmed by {unconfirmed}: change {id} at epoch {epoch}")
        }
        ChangeResult::Unsettled { detail } => format!("no answer: change {id}: {detail}"),
        ChangeResult::DryRun if outcome.changes.is_empty() => {
            "dry run: nothing would change".to_owned()
        }
        ChangeResult::DryRun => "dry run: nothing was changed".to_owned(),
    };
    text + &end
}

/// Returns one line for each owner and kind of a catalogue.
pub fn format_catalogue(version: u64, catalogue: &Catalogue) -> String {
    let mut text = format!("catalogue {version}\n");
    for owner in &catalogue.owners {
        let _infallible = writeln!(
            text,
            "owner {}  weight {}  running {}  rate {}",
            owner.name,
            owner.weight,
            format_limit(owner.max_running),
            format_limit(owner.max_rate)
        );
    }
    for Kind {
        name, owner, class, ..
    } in &catalogue.kinds
    {
        let _infallible = writeln!(text, "kind {name}  owner {owner}  {class}");
    }
    text.trim_end().to_owned()
}

/// Returns a kind in the format of a catalogue file.
pub fn format_kind(kind: &Kind) -> String {
    let file = Catalogue {
        owners: Vec::new(),
        kinds: vec![kind.clone()],
    };
    let text = toml::to_string(&file).unwrap_or_default();
    text.trim_start_matches("owner = []").trim().to_owned()
}

fn format_limit(limit: Option<u32>) -> String {
    limit.map_or_else(|| "unlimited".to_owned(), |limit| limit.to_string())
}

/// Returns an entry's view of the region, one line for each member, data centre and backend server.
pub fn format_status(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "entry {}: epoch {} ({}), made by {}",
            status.entry,
            status.epoch,
            if status.in_force {
                "in force"
            } else {
                "not in force yet"
            },
            status.change
        ),
        format!(
            "lease {}; catalogue {} (adopted here: {}); {} open jobs, {} queued tasks",
            status.lease.age_ms.map_or_else(
                || "not held".to_owned(),
                |age| format!("held, {age} ms old")
            ),
            status.catalogue,
            status.catalogue_adopted,
            status.open_jobs,
            status.queued_tasks
        ),
    ];
    lines.extend(status.members.iter().map(|member| {
        format!(
            "member {}  {}  {}  epoch {}  heard {} ms ago",
            member.name, member.data_centre, member.address, member.epoch, member.silent_ms
        )
    }));
    lines.extend(status.data_centres.iter().map(|dc| {
        format!(
            "data centre {}  {}  {} backend servers  {} of {} slots in use",
            dc.name, dc.state, dc.backends, dc.running, dc.slots
        )
    }));
    lines.extend(status.backends.iter().map(|backend| {
        let condition = match (backend.connected, backend.leaving) {
            (false, _) => "not connected",
            (true, true) => "leaving",
            (true, false) => "connected",
        };
        format!(
            "backend {}  {}  {}  {condition}  {} of {} slots in use, {} queued  epoch {}",
            backend.name,
            backend.data_centre,
            backend.state,
            backend.running,
            backend.slots,
            backend.queued,
            backend.epoch
        )
    }));
    if status.overdue.is_empty() {
        lines.push("overdue: nothing".to_owned());
    }
    lines.extend(status.overdue.iter().map(|what| format!("overdue: {what}")));
    lines.join("\n")
}

/// Returns one line for each recorded step of a job.
pub fn format_trace(answer: &Value) -> String {
    let steps = answer.get("steps").and_then(Value::as_array);
    let lines = steps.into_iter().flatten().map(|step| {
        let mut fields = step.as_object().cloned().unwrap_or_default();
        let time = fields.remove("at").unwrap_or_default();
        let name = fields.remove("step").unwrap_or_default();
        let fields: Vec<String> = fields
            .iter()
            .map(|(k, v)| format!("{k}={}", unquoted(v)))
            .collect();
        format!("{time} {} {}", unquoted(&name), fields.join(" "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
