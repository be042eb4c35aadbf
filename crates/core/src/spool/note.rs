//! Log lines of decisions, made here and written at the edge.

use std::fmt::Write as _;

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// For following one request.
    Info,
    /// Something an operator should look at.
    Warn,
}

/// One structured line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// How much it matters.
    pub level: Level,
    /// What happened, a short sentence.
    pub text: &'static str,
    /// Fields as `name=value`, separated by spaces.
    pub fields: String,
}

impl Note {
    /// Makes a line for following a request.
    pub fn new(text: &'static str) -> Self {
        Self {
            level: Level::Info,
            text,
            fields: String::new(),
        }
    }

    /// Makes a line for an operator.
    pub fn warn(text: &'static str) -> Self {
        Self {
            level: Level::Warn,
            ..Self::new(text)
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with<V>(mut self, name: &str, value: V) -> Self
    where
        V: std::fmt::Display,
    {
        if !self.fields.is_empty() {
            self.fields.push(' ');
        }
        let written = write!(self.fields, "{name}={value}");
        debug_assert!(written.is_ok(), "a string takes every text");
        self
    }
}
