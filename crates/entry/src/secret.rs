//! Secrets that never reach logs, status or metrics.

use std::fmt;
use std::path::Path;

use anyhow::{Context, Result, bail};
use subtle::ConstantTimeEq;

/// Fewest characters of a secret.
const MIN_CHARS: usize = 16;

/// A secret text. Its debug form hides it, and it has no other text form.
#[derive(Clone)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl Secret {
    /// Makes a secret.
    ///
    /// # Errors
    /// Fails if it is shorter than 16 characters or has other than visible ASCII characters.
    pub fn new(text: &str) -> Result<Self> {
        let text = text.trim();
        if text.len() < MIN_CHARS || !text.bytes().all(|b| b.is_ascii_graphic()) {
            bail!("a token has at least {MIN_CHARS} visible ASCII characters; make a longer one");
        }
        Ok(Self(text.to_owned()))
    }

    /// Reads a secret from a file, or from an environment variable if no file is named.
    ///
    /// # Errors
    /// Fails if the file cannot be read or the secret is not allowed.
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

    /// Returns whether a text is the secret, in a time that does not tell how much of it is right.
    pub fn matches(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }

    /// Returns the header value that presents the secret (RFC 6750).
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }
}
