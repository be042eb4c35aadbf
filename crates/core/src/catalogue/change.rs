//! Changes of a catalogue: merging, deletion and comparison.

use serde::Serialize;

use super::{Catalogue, Kind, Owner};

impl Catalogue {
    /// Returns this catalogue with the owners and kinds of `other` added, or replaced where the
    /// name exists.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut merged = self.clone();
        for owner in &other.owners {
            merged.owners.retain(|o| o.name != owner.name);
            merged.owners.push(owner.clone());
        }
        for kind in &other.kinds {
            merged.kinds.retain(|k| k.name != kind.name);
            merged.kinds.push(kind.clone());
        }
        merged.owners.sort_by(|a, b| a.name.cmp(&b.name));
        merged.kinds.sort_by(|a, b| a.name.cmp(&b.name));
        merged
    }

    /// Returns this catalogue without the kind, `None` if the kind does not exist.
    #[must_use]
    pub fn without_kind(&self, name: &str) -> Option<Self> {
        self.kind(name)?;
        let mut rest = self.clone();
        rest.kinds.retain(|kind| kind.name != name);
        Some(rest)
    }

    /// Returns one line of text for each owner or kind that `next` adds, changes or deletes.
    pub fn differences(&self, next: &Self) -> Vec<String> {
        let mut lines = Vec::new();
        describe_changes("owner", &self.owners, &next.owners, owner_name, &mut lines);
        describe_changes("kind", &self.kinds, &next.kinds, kind_name, &mut lines);
        lines
    }
}

fn owner_name(owner: &Owner) -> &str {
    &owner.name
}

fn kind_name(kind: &Kind) -> &str {
    &kind.name
}

/// Appends one line for each element that differs between `before` and `after`; `table` is `owner`
/// or `kind`.
fn describe_changes<T, N>(table: &str, before: &[T], after: &[T], name: N, lines: &mut Vec<String>)
where
    T: PartialEq + Serialize,
    N: Fn(&T) -> &str,
{
    for item in after {
        match before.iter().find(|old| name(old) == name(item)) {
            None => lines.push(format!("add {table} {}", name(item))),
            Some(old) if old != item => {
                let fields = changed_fields(old, item).join(", ");
                lines.push(format!("change {table} {}: {fields}", name(item)));
            }
            Some(_same) => {}
        }
    }
    for old in before {
        if !after.iter().any(|item| name(item) == name(old)) {
            lines.push(format!("delete {table} {}", name(old)));
        }
    }
}

/// Returns a text `field old -> new` for each field that differs.
fn changed_fields<T>(old: &T, new: &T) -> Vec<String>
where
    T: Serialize,
{
    let fields = |item: &T| match serde_json::to_value(item) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let (old, new) = (fields(old), fields(new));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let to_text = |value: Option<&serde_json::Value>| {
        value.map_or_else(|| "absent".to_owned(), ToString::to_string)
    };
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| {
            format!(
                "{name} {} -> {}",
                to_text(old.get(name)),
                to_text(new.get(name))
            )
        })
        .collect()
}
