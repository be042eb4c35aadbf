//! Catalogue files: TOML with `[[owner]]` and `[[kind]]` tables.

use std::collections::HashMap;

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::{Catalogue, Kind, Limits, Owner, Problem};

/// A mistake in a catalogue file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}, {detail}")]
pub struct Fault {
    /// Line of the file, from 1.
    pub line: usize,
    /// The field, what is wrong with it, and the remedy.
    pub detail: String,
}

/// Entries read from a file, with the lines on which they stand.
#[derive(Debug, Clone, PartialEq)]
pub struct File {
    /// The entries.
    pub catalogue: Catalogue,
    lines: HashMap<(&'static str, String, String), usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Tables {
    #[serde(default)]
    owner: Vec<Spanned<Owner>>,
    #[serde(default)]
    kind: Vec<Spanned<Kind>>,
}

impl File {
    /// Reads a file.
    ///
    /// # Errors
    /// Fails on the first line that is no TOML or has an unknown, missing or mistyped field.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let tables: Tables = toml::from_str(text).map_err(|error| syntax_fault(text, &error))?;
        let mut lines = HashMap::new();
        for owner in &tables.owner {
            note_lines(
                text,
                owner.span().start,
                "owner",
                &owner.get_ref().name,
                &mut lines,
            );
        }
        for kind in &tables.kind {
            note_lines(
                text,
                kind.span().start,
                "kind",
                &kind.get_ref().name,
                &mut lines,
            );
        }
        let catalogue = Catalogue {
            owners: tables.owner.into_iter().map(Spanned::into_inner).collect(),
            kinds: tables.kind.into_iter().map(Spanned::into_inner).collect(),
        };
        Ok(Self { catalogue, lines })
    }

    /// Returns the mistakes that show without the catalogue in force: all but missing owners.
    pub fn faults(&self, limits: Limits) -> Vec<Fault> {
        let problems = self.catalogue.problems(limits);
        problems
            .iter()
            .filter(|problem| problem.field != "owner")
            .map(|problem| self.locate(problem))
            .collect()
    }

    /// Returns the mistakes in `merged`, the catalogue in force with this file merged into it.
    pub fn faults_in(&self, merged: &Catalogue, limits: Limits) -> Vec<Fault> {
        let problems = merged.problems(limits);
        problems
            .iter()
            .map(|problem| self.locate(problem))
            .collect()
    }

    fn locate(&self, problem: &Problem) -> Fault {
        let line = |field: &str| {
            let key = (problem.table, problem.entry.clone(), field.to_owned());
            self.lines.get(&key).copied()
        };
        Fault {
            line: line(problem.field).or_else(|| line("")).unwrap_or(1),
            detail: problem.to_string(),
        }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}

/// Notes the line of an entry and of each of its fields.
fn note_lines(
    text: &str,
    start: usize,
    table: &'static str,
    name: &str,
    lines: &mut HashMap<(&'static str, String, String), usize>,
) {
    let first = line_at(text, start);
    let key = |field: &str| (table, name.to_owned(), field.to_owned());
    lines.insert(key(""), first);
    for (number, line) in (first..).zip(text.lines().skip(first - 1)) {
        if number > first && line.trim_start().starts_with('[') {
            break;
        }
        if let Some((field, _value)) = line.split_once('=') {
            lines.entry(key(field.trim())).or_insert(number);
        }
    }
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    let content = text.lines().nth(line - 1).unwrap_or_default().trim();
    let field = content.split_once('=').map(|(field, _value)| field.trim());
    let place = field.map_or_else(|| content.to_owned(), |field| format!("field {field}"));
    let message = error.message().trim().replace('\n', ", ");
    let remedy = if message.starts_with("unknown field") {
        "correct its name or remove it"
    } else if message.starts_with("missing field") {
        "add the field to this entry"
    } else if message.starts_with("unknown variant") {
        "write one of those"
    } else {
        "correct the value; `ibisspool catalogue get` shows an entry in the right form"
    };
    Fault {
        line,
        detail: format!("{place}: {message}; {remedy}"),
    }
}
