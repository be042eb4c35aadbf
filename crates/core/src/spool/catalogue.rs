//! What operators allow: queues, limits, and data centres out of service.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A queue: which jobs it takes and which service runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in the catalogue.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that belong to the queue; the longest match counts.
    pub prefix: String,
    /// Service whose backend servers run the tasks.
    pub service: Arc<str>,
    /// Rank among queues; 0 comes first.
    pub priority: u8,
    /// Most failed runs of one task.
    pub attempts: u32,
    /// How long a caller waits for an answer if it does not say.
    pub timeout: Duration,
    /// Latency objective: this many times the work of the longest chain ...
    pub stretch: f64,
    /// ... and this much more.
    pub target: Duration,
    /// Whether an outside service says which backend servers may run a task.
    pub advised: bool,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time until the head has arrived.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits until the first catalogue is known; usual values of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The whole catalogue at one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version in the store; a newer one replaces an older one.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Limits on requests.
    pub limits: Limits,
    /// Data centres in which no task may start.
    pub out_of_service: Vec<String>,
}

impl Snapshot {
    /// Returns the queue of a request: the longest prefix of its path under its host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| path.starts_with(&queue.prefix))
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns whether both allow the same, whatever their versions.
    pub fn same_content(&self, other: &Self) -> bool {
        self.queues == other.queues
            && self.limits == other.limits
            && self.out_of_service == other.out_of_service
    }
}
