//! Catalogue files in TOML, with `[[owner]]` and `[[kind]]` tables.

use std::collections::HashMap;

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::{Catalogue, InvalidValue, Kind, Limits, Owner};

/// An error in a catalogue file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}, {detail}")]
pub struct Fault {
    /// Line number in the file, from 1.
    pub line: usize,
    /// Field, description of the error, and remedy.
    pub detail: String,
}

/// Content of a catalogue file with the line numbers of its tables and fields.
#[derive(Debug, Clone, PartialEq)]
pub struct File {
    /// Owners and kinds in the file.
    pub catalogue: Catalogue,
    /// Line numbers by table, name of the owner or kind, and field; the empty field is the table.
    lines: HashMap<(&'static str, String, String), usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileTables {
    #[serde(default)]
    owner: Vec<Spanned<Owner>>,
    #[serde(default)]
    kind: Vec<Spanned<Kind>>,
}

impl File {
    /// Parses the text of a file.
    ///
    /// # Errors
    /// Fails on the first line that is not TOML or has an unknown, missing or mistyped field.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let tables: FileTables =
            toml::from_str(text).map_err(|error| fault_of_syntax_error(text, &error))?;
        let mut lines = HashMap::new();
        for owner in &tables.owner {
            record_lines(
                text,
                owner.span().start,
                "owner",
                &owner.get_ref().name,
                &mut lines,
            );
        }
        for kind in &tables.kind {
            record_lines(
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

    /// Returns all invalid values except references to missing owners, which may be in the
    /// catalogue in force.
    pub fn errors_without_owners(&self, limits: Limits) -> Vec<Fault> {
        let invalid_values = self.catalogue.invalid_values(limits);
        invalid_values
            .iter()
            .filter(|invalid_value| invalid_value.field != "owner")
            .map(|invalid_value| self.locate(invalid_value))
            .collect()
    }

    /// Returns all invalid values in `merged`, which is the catalogue in force with this file
    /// merged into it.
    pub fn errors_in_merged(&self, merged: &Catalogue, limits: Limits) -> Vec<Fault> {
        let invalid_values = merged.invalid_values(limits);
        invalid_values
            .iter()
            .map(|invalid_value| self.locate(invalid_value))
            .collect()
    }

    /// Adds the line number to an invalid value; the line of the table if the field is absent.
    fn locate(&self, invalid_value: &InvalidValue) -> Fault {
        let line = |field: &str| {
            let key = (
                invalid_value.table,
                invalid_value.name.clone(),
                field.to_owned(),
            );
            self.lines.get(&key).copied()
        };
        Fault {
            line: line(invalid_value.field).or_else(|| line("")).unwrap_or(1),
            detail: invalid_value.to_string(),
        }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}

/// Records the line numbers of a table, under an empty field name, and of each of its fields.
fn record_lines(
    text: &str,
    start: usize,
    table: &'static str,
    name: &str,
    lines: &mut HashMap<(&'static str, String, String), usize>,
) {
    let first_line = line_at(text, start);
    let key = |field: &str| (table, name.to_owned(), field.to_owned());
    lines.insert(key(""), first_line);
    for (number, line) in (first_line..).zip(text.lines().skip(first_line - 1)) {
        if number > first_line && line.trim_start().starts_with('[') {
            break;
        }
        if let Some((field, _value)) = line.split_once('=') {
            lines.entry(key(field.trim())).or_insert(number);
        }
    }
}

fn fault_of_syntax_error(text: &str, error: &toml::de::Error) -> Fault {
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    let content = text.lines().nth(line - 1).unwrap_or_default().trim();
    let field = content.split_once('=').map(|(field, _value)| field.trim());
    let place = field.map_or_else(|| content.to_owned(), |field| format!("field {field}"));
    let message = error.message().trim().replace('\n', ", ");
    let remedy = if message.starts_with("unknown field") {
        "correct its name or remove it"
    } else if message.starts_with("missing field") {
        "add the field to this table"
    } else if message.starts_with("unknown variant") {
        "write one of these"
    } else {
        "correct the value; `ibisspool catalogue get` prints the catalogue in the right form"
    };
    Fault {
        line,
        detail: format!("{place}: {message}; {remedy}"),
    }
}
