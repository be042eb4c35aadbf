//! HTTP client of the entries' operator interface.

use std::time::{Duration, Instant};

use attohttpc::Method;
use serde_json::Value;
use thiserror::Error;

use crate::secret::Secret;

/// Time added to the operator's timeout for an answer to arrive: the entry itself uses up that
/// timeout before it reports that a change is not confirmed.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Delay before all entries are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// No entry answered before the timeout; names the last error.
#[derive(Debug, Error)]
#[error("no entry answered within {after_ms} ms: {last_error}; name another one with --entry")]
pub struct NoAnswer {
    after_ms: u64,
    last_error: String,
}

/// An HTTP response of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null if the body is not JSON.
    pub body: Value,
}

/// Client of several entries. They are tried one after another until one answers.
#[derive(Debug, Clone)]
pub struct Client {
    entries: Vec<String>,
    token: Option<Secret>,
    timeout: Duration,
}

impl Client {
    /// Creates a client for entries, given by their base URLs with commas between.
    pub fn new(entries: &str, token: Option<Secret>, timeout: Duration) -> Self {
        let urls = entries.split(',').map(|url| url.trim_end_matches('/'));
        Self {
            entries: urls.map(str::to_owned).collect(),
            token,
            timeout,
        }
    }

    /// Sends a request to one entry after another until one answers. A change may arrive several
    /// times; the entries recognize it by its id and make it once.
    ///
    /// # Errors
    /// Fails if no entry answers before the timeout. A change may have been made all the same.
    pub fn call(&self, method: &Method, path: &str, body: &str) -> Result<Answer, NoAnswer> {
        let started_at = Instant::now();
        let mut last_error = "no entry was named".to_owned();
        loop {
            for entry in &self.entries {
                match self.attempt(method.clone(), entry, path, body) {
                    Ok(answer) => return Ok(answer),
                    Err(error) => last_error = format!("{entry}: {error}"),
                }
            }
            let elapsed = started_at.elapsed();
            if elapsed >= self.timeout {
                let after_ms = elapsed.as_millis() as u64;
                return Err(NoAnswer {
                    after_ms,
                    last_error,
                });
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    fn attempt(
        &self,
        method: Method,
        entry: &str,
        path: &str,
        body: &str,
    ) -> attohttpc::Result<Answer> {
        let mut request = attohttpc::RequestBuilder::try_new(method, format!("{entry}{path}"))?
            .timeout(self.timeout + ANSWER_MARGIN);
        if let Some(token) = &self.token {
            request = request.header("Authorization", token.bearer());
        }
        let response = request.text(body).send()?;
        let status = response.status().as_u16();
        let body = serde_json::from_slice(&response.bytes()?).unwrap_or(Value::Null);
        Ok(Answer { status, body })
    }
}
