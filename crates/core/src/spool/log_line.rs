//! Log lines that entries and agents record as actions. The process that carries out the actions
//! writes them.

use std::fmt::Write as _;

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Traces what happened to a job or a connection.
    Info,
    /// Reports a fault that an operator should look at.
    Warn,
}

/// One structured log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: Level,
    /// What happened, as a fixed sentence that operators can search for.
    pub text: &'static str,
    /// Fields as `name=value`, separated by spaces.
    pub fields: String,
}

impl LogLine {
    /// Creates a line of level [`Level::Info`] without fields.
    pub fn new(text: &'static str) -> Self {
        Self {
            level: Level::Info,
            text,
            fields: String::new(),
        }
    }

    /// Creates a line of level [`Level::Warn`] without fields.
    pub fn warn(text: &'static str) -> Self {
        Self {
            level: Level::Warn,
            ..Self::new(text)
        }
    }

    /// Adds a field. The value is written as it is, so it should not contain spaces.
    #[must_use]
    pub fn with<V>(mut self, name: &str, value: V) -> Self
    where
        V: std::fmt::Display,
    {
        if !self.fields.is_empty() {
            self.fields.push(' ');
        }
        let written = write!(self.fields, "{name}={value}");
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
        self
    }
}

/// Returns how log lines name a connection or another item of an arena: by text that no other item
/// of this process has.
pub(super) fn key_label<K>(key: K) -> String
where
    K: slotmap::Key,
{
    format!("{:?}", key.data())
}
