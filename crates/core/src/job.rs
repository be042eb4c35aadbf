//! Jobs, their tasks and their answers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use uuid::{Uuid, Variant, Version};

use crate::refusal::Refusal;
use crate::time::Wall;

/// Identifier of a job: a UUID version 7 (RFC 9562), which contains its creation time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Uuid);

/// Why a string or byte sequence is not a valid job id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IdError {
    /// The input is not a UUID.
    #[error("the job id is not a UUID; send a UUID version 7 such as `uuidgen --time-v7` prints")]
    Syntax,
    /// The UUID is of another version or variant.
    #[error(
        "the job id is not a UUID of version 7; its creation time is needed, so make one by RFC 9562"
    )]
    Version,
}

impl Id {
    /// Creates an id from a creation time and random bytes, of which 74 bits are used.
    pub fn new(created: Wall, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created.0, &random).into_uuid())
    }

    /// Parses an id from its 16 bytes.
    ///
    /// # Errors
    /// Fails if the bytes are not a UUID of version 7.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, IdError> {
        let uuid = Uuid::from_slice(bytes).map_err(|_error| IdError::Syntax)?;
        Self::from_uuid(uuid)
    }

    fn from_uuid(uuid: Uuid) -> Result<Self, IdError> {
        if uuid.get_version() != Some(Version::SortRand) || uuid.get_variant() != Variant::RFC4122 {
            return Err(IdError::Version);
        }
        Ok(Self(uuid))
    }

    /// Returns the 16 bytes of the id.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Returns the creation time that the id contains.
    pub fn created(&self) -> Wall {
        let bytes = self.0.as_bytes();
        Wall(
            bytes[..6]
                .iter()
                .fold(0, |ms, byte| ms << 8 | u64::from(*byte)),
        )
    }
}

impl FromStr for Id {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let uuid = Uuid::try_parse(text).map_err(|_error| IdError::Syntax)?;
        Self::from_uuid(uuid)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.hyphenated().fmt(f)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Identifier of a task: its job and its position within the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task {
    /// The job.
    pub job: Id,
    /// Position within the job, from 0.
    pub index: u32,
}

/// A job or request as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Id of the job.
    pub id: Id,
    /// Kind of all tasks, a name in the catalogue.
    pub kind: String,
    /// One input per task: JSON for jobs, any bytes for requests.
    pub inputs: Vec<Bytes>,
    /// How long the caller waits for the answer.
    pub timeout: Duration,
    /// Whether a task may run again when its outcome is unknown. Always false for jobs.
    pub idempotent: bool,
}

/// Final result of a job, the same for every caller that asks for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The outputs of all tasks, in task order.
    Complete(Vec<Bytes>),
    /// The job has no outputs.
    Refused(Refusal),
}
