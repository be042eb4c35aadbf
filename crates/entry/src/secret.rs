//! Secret texts that are never written to logs, status or metrics.

use std::fmt;
use std::path::Path;

use anyhow::{Context, Result, bail};
use subtle::ConstantTimeEq;

/// Shortest accepted secret.
const MIN_CHARS: usize = 16;

/// A secret text. Its `Debug` output hides the text, and it does not implement `Display`.
#[derive(Clone)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl Secret {
    /// Creates a secret from a text without its surrounding white space.
    ///
    /// # Errors
    /// Fails if the text is shorter than 16 characters or has other than visible ASCII characters.
    pub fn new(text: &str) -> Result<Self> {
        let text = text.trim();
        if text.len() < MIN_CHARS || !text.bytes().all(|b| b.is_ascii_graphic()) {
            bail!("a token has at least {MIN_CHARS} visible ASCII characters; make a longer one");
        }
        Ok(Self(text.to_owned()))
    }

    /// Reads a secret from a file, or from an environment variable if no file is named; returns
    /// `None` if neither is set.
    ///
    /// # Errors
    /// Fails if the file cannot be read or the secret is too short or not visible ASCII.
    pub fn read(file: Option<&str>, variable: &str) -> Result<Option<Self>> {
        if let Some(file) = file {
            let text = std::fs::read_to_string(Path::new(file))
                .with_context(|| format!("cannot read the token file {file}"))?;
            return Self::new(&text).map(Some);
        }
        match std::env::var(variable) {
            Ok(text) => Self::new(&text)
                .with_context(|| format!("the variable {variable} holds no token"))
                .map(Some),
            Err(_unset) => Ok(None),
        }
    }

    /// Returns whether a text equals the secret. The time taken does not depend on how many
    /// characters are right, so that the secret cannot be guessed piece by piece.
    pub fn matches(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }

    /// Returns the value of the `Authorization` header with the secret as bearer token (RFC 6750).
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }
}
