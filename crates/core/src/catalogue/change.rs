//! Merging entries into a catalogue, and telling two catalogues apart.

use serde::Serialize;

use super::{Catalogue, Kind, Owner};

impl Catalogue {
    /// Returns this catalogue with the entries of `other` added or replaced; the rest stays.
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

    /// Returns this catalogue without the kind, `None` if it has no such kind.
    #[must_use]
    pub fn without_kind(&self, name: &str) -> Option<Self> {
        self.kind(name)?;
        let mut rest = self.clone();
        rest.kinds.retain(|kind| kind.name != name);
        Some(rest)
    }

    /// Returns one line for each entry that `next` adds, replaces or drops.
    pub fn differences(&self, next: &Self) -> Vec<String> {
        let mut lines = Vec::new();
        compare("owner", &self.owners, &next.owners, owner_name, &mut lines);
        compare("kind", &self.kinds, &next.kinds, kind_name, &mut lines);
        lines
    }
}

fn owner_name(owner: &Owner) -> &str {
    &owner.name
}

fn kind_name(kind: &Kind) -> &str {
    &kind.name
}

fn compare<T, N>(table: &str, before: &[T], after: &[T], name: N, lines: &mut Vec<String>)
where
    T: PartialEq + Serialize,
    N: Fn(&T) -> &str,
{
    for entry in after {
        match before.iter().find(|old| name(old) == name(entry)) {
            None => lines.push(format!("add {table} {}", name(entry))),
            Some(old) if old != entry => {
                let fields = changed_fields(old, entry).join(", ");
                lines.push(format!("change {table} {}: {fields}", name(entry)));
            }
            Some(_same) => {}
        }
    }
    for old in before {
        if !after.iter().any(|entry| name(entry) == name(old)) {
            lines.push(format!("delete {table} {}", name(old)));
        }
    }
}

/// Returns `field old -> new` for each field that differs.
fn changed_fields<T>(old: &T, new: &T) -> Vec<String>
where
    T: Serialize,
{
    let fields = |entry: &T| match serde_json::to_value(entry) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let (old, new) = (fields(old), fields(new));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let show = |value: Option<&serde_json::Value>| {
        value.map_or_else(|| "absent".to_owned(), ToString::to_string)
    };
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| format!("{name} {} -> {}", show(old.get(name)), show(new.get(name))))
        .collect()
}
