//! Calls of an entry's operator interface.

use std::time::{Duration, Instant};

use attohttpc::Method;
use serde_json::Value;
use thiserror::Error;

use crate::secret::Secret;

/// Time beyond the operator's own within which the answer must arrive.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Time between attempts to reach an entry.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why there is no answer.
#[derive(Debug, Error)]
#[error("no entry answered within {after_ms} ms: {cause}; name another one with --entry")]
pub struct NoAnswer {
    after_ms: u64,
    cause: String,
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

/// Client of the entries, which are asked one after the other until one answers.
#[derive(Debug, Clone)]
pub struct Client {
    entries: Vec<String>,
    token: Option<Secret>,
    timeout: Duration,
}

impl Client {
    /// Makes a client for entries at base URLs, separated by commas.
    pub fn new(entries: &str, token: Option<Secret>, timeout: Duration) -> Self {
        let urls = entries.split(',').map(|url| url.trim_end_matches('/'));
        Self {
            entries: urls.map(str::to_owned).collect(),
            token,
            timeout,
        }
    }

    /// Sends a request until an entry answers it. A change may be sent again, since the entries
    /// know it by its id.
    ///
    /// # Errors
    /// Fails if no entry answers in time.
    pub fn call(&self, method: &Method, path: &str, body: &str) -> Result<Answer, NoAnswer> {
        let started_at = Instant::now();
        let mut cause = "no entry was named".to_owned();
        loop {
            for entry in &self.entries {
                match self.attempt(method.clone(), entry, path, body) {
                    Ok(answer) => return Ok(answer),
                    Err(error) => cause = format!("{entry}: {error}"),
                }
            }
            let after = started_at.elapsed();
            if after >= self.timeout {
                let after_ms = after.as_millis() as u64;
                return Err(NoAnswer { after_ms, cause });
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
