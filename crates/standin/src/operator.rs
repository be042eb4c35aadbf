//! Client for the HTTP interface of the entries that operators use.

use std::time::Duration;

use anyhow::{Context, Result};
use attohttpc::Method;
use ibisspool_core::catalogue::Catalogue;
use ibisspool_core::entry::operator::{ChangeOutcome, ServiceState};
use serde::Deserialize;

/// Time by which the HTTP timeout exceeds the time that the entry may wait for a change, so that
/// the outcome of a change that timed out still arrives.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Timeout of a request that only reads.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The catalogue that an entry currently uses.
#[derive(Debug, Clone, Deserialize)]
pub struct AdoptedCatalogue {
    /// Version of the catalogue.
    pub version: u64,
    /// Owners and kinds of the catalogue.
    pub catalogue: Catalogue,
}

/// Takes a data centre out of service or returns it to service, through the entry with the base URL
/// `entry`. `change` identifies the change, so that a retry is recognised; `timeout` is how long
/// the entry waits for the change to be in force.
///
/// # Errors
/// Fails if the entry does not answer in time or its answer is not an outcome.
pub fn set_data_centre(
    entry: &str,
    name: &str,
    state: ServiceState,
    change: &str,
    timeout: Duration,
) -> Result<ChangeOutcome> {
    let path = format!("{entry}/v1/data-centres/{name}");
    put_change(&path, &state.to_string(), change, timeout)
}

/// Merges a TOML file of owners and kinds into the catalogue; see [`set_data_centre`] for the other
/// parameters.
///
/// # Errors
/// Fails if the entry does not answer in time or its answer is not an outcome.
pub fn put_catalogue(
    entry: &str,
    file: &str,
    change: &str,
    timeout: Duration,
) -> Result<ChangeOutcome> {
    put_change(&format!("{entry}/v1/catalogue"), file, change, timeout)
}

/// Returns the catalogue that the entry with the base URL `entry` uses.
///
/// # Errors
/// Fails if the entry does not answer in time or its answer is not a catalogue.
pub fn catalogue(entry: &str) -> Result<AdoptedCatalogue> {
    let response = attohttpc::get(format!("{entry}/v1/catalogue"))
        .timeout(READ_TIMEOUT)
        .send()?;
    serde_json::from_slice(&response.bytes()?).context("the answer of the entry is not a catalogue")
}

fn put_change(path: &str, body: &str, change: &str, timeout: Duration) -> Result<ChangeOutcome> {
    let url = format!("{path}?change={change}&timeout_ms={}", timeout.as_millis());
    let response = attohttpc::RequestBuilder::try_new(Method::PUT, url)?
        .timeout(timeout + ANSWER_MARGIN)
        .text(body)
        .send()
        .context("the entry did not answer the change")?;
    serde_json::from_slice(&response.bytes()?)
        .context("the answer of the entry is not the outcome of a change")
}
