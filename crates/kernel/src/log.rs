//! Logs to standard error, as text or JSON.

use logforth::append;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use strum::{Display, EnumString, VariantNames};

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One line of text a record.
    Text,
    /// One JSON object a record.
    Json,
}

/// Starts the logs; a second call changes nothing.
pub fn start(format: Format, level: &str) {
    let filter = EnvFilterBuilder::from_spec(level).build();
    let stderr = match format {
        Format::Text => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        Format::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .try_apply();
    if started.is_err() {
        log::debug!("log: already started.");
    }
}
