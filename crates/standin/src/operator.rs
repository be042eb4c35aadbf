//! An operator of ibisspool.

use std::time::Duration;

use anyhow::{Context, Result};
use attohttpc::Method;
use ibisspool_core::catalogue::Catalogue;
use ibisspool_core::entry::operator::{ChangeOutcome, ServiceState};
use serde::Deserialize;

/// Time beyond the wait for a change within which the answer must arrive.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time within which a view must arrive.
const VIEW_TIMEOUT: Duration = Duration::from_secs(2);

/// The catalogue as an entry has adopted it.
#[derive(Debug, Clone, Deserialize)]
pub struct Adopted {
    /// Its version.
    pub version: u64,
    /// Its entries.
    pub catalogue: Catalogue,
}

/// Takes a data centre out of service or brings it back, through an entry.
///
/// # Errors
/// Fails if the entry does not answer or refuses the request as such.
pub fn set_data_centre(
    entry: &str,
    name: &str,
    state: ServiceState,
    change: &str,
    timeout: Duration,
) -> Result<ChangeOutcome> {
    let path = format!("{entry}/v1/data-centres/{name}");
    propose(&path, &state.to_string(), change, timeout)
}

/// Merges the entries of a file into the catalogue, through an entry.
///
/// # Errors
/// Fails if the entry does not answer or refuses the request as such.
pub fn put_catalogue(
    entry: &str,
    file: &str,
    change: &str,
    timeout: Duration,
) -> Result<ChangeOutcome> {
    propose(&format!("{entry}/v1/catalogue"), file, change, timeout)
}

/// Returns the catalogue that an entry has adopted.
///
/// # Errors
/// Fails if the entry does not answer.
pub fn catalogue(entry: &str) -> Result<Adopted> {
    let response = attohttpc::get(format!("{entry}/v1/catalogue"))
        .timeout(VIEW_TIMEOUT)
        .send()?;
    serde_json::from_slice(&response.bytes()?).context("the answer is not a catalogue")
}

fn propose(path: &str, body: &str, change: &str, timeout: Duration) -> Result<ChangeOutcome> {
    let url = format!("{path}?change={change}&timeout_ms={}", timeout.as_millis());
    let response = attohttpc::RequestBuilder::try_new(Method::PUT, url)?
        .timeout(timeout + PATIENCE)
        .text(body)
        .send()
        .context("the entry does not answer")?;
    serde_json::from_slice(&response.bytes()?).context("the answer is not an outcome")
}
