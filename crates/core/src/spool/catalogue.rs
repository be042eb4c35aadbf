//! Configuration that operators change at run time: queues, request limits, and data centres out of
//! service.

pub mod check;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A queue, which groups jobs by the host and path that callers submit them to and sets the service
/// that runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, unique in the catalogue.
    pub name: Arc<str>,
    /// Host of the requests that belong to the queue, compared without regard to case.
    pub host: String,
    /// Path prefix of the requests that belong to the queue; among several matches the longest
    /// counts.
    pub path_prefix: String,
    /// Service whose backend servers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Failed runs of one task after which its job fails.
    pub max_failed_runs: u32,
    /// Time limit of a job whose caller sets none.
    pub timeout: Duration,
    /// Factor of the latency objective of a job, which is this factor times the run time of
    /// its longest chain of steps, plus a constant part. Values below 1 count as 1.
    pub objective_factor: f64,
    /// Constant part of the latency objective.
    pub objective_offset: Duration,
    /// Whether an external service decides which backend servers may run a task. Entries do not
    /// support that and refuse the jobs of such a queue.
    pub needs_placement_advice: bool,
}

/// Limits on the HTTP requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which the request head has to arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns usual values of HTTP servers, which apply until the first catalogue is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The whole catalogue at one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version in the store. A snapshot with a higher version replaces one with a lower.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// Limits on requests, for all queues.
    pub limits: Limits,
    /// Data centres in which no task may start.
    pub out_of_service: Vec<String>,
}

impl Snapshot {
    /// Returns the queue that a request belongs to: among those of its host, the one with the
    /// longest prefix of its path.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns whether both are the same apart from their versions.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.queues == other.queues
            && self.limits == other.limits
            && self.out_of_service == other.out_of_service
    }
}
