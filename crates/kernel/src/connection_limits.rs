//! Limits of the listeners of a process, derived from the memory and the descriptor limit of its VM.

use std::fs;

use clap::{ArgMatches, Command};
use ibisspool_core::connection_budget::Limits;
use nix::sys::resource::{Resource, getrlimit};

use crate::connection_limiter::{ConnectionLimiter, ConnectionMetrics};
use crate::metrics::Metrics;
use crate::settings::{Error, read_optional_in_range, setting_flag};
use crate::spool::INTERNAL_HTTP_LIMITS;

/// Memory that a connection can take at most besides its body: 8 KiB each for the read and the write
/// buffer, a head of 16 KiB, 64 KiB of the kernel's buffers, and the task.
const CONNECTION_BYTES: u64 = 100 << 10;

/// Descriptors that are kept for files; a quarter of all if that is less.
const FILE_DESCRIPTORS: u64 = 200;

/// Share of the memory for the bodies of the main listener, as a divisor. With the connections, the
/// bodies of the other listeners and the usual 20 MB of state, the whole stays within 160 MB.
const BODY_SHARE_DIVISOR: u64 = 8;

/// The same share for an entry that records jobs durably and keeps them for minutes after their end.
const DURABLE_BODY_SHARE_DIVISOR: u64 = 16;

/// Percentage of the memory for the connections of the main listener.
const CONNECTION_MEMORY_PERCENT: u64 = 50;

/// Percentages of the descriptors, without those for files, by listener. The rest is for known
/// agents and entries, the store and the backend server.
const REQUEST_DESCRIPTOR_PERCENT: u64 = 60;
const READINESS_DESCRIPTOR_PERCENT: u64 = 5;
const METRICS_DESCRIPTOR_PERCENT: u64 = 5;
const UNKNOWN_PEER_DESCRIPTOR_PERCENT: u64 = 10;

/// Most connections of the listeners for readiness checks and metrics. They count against memory too,
/// and need few connections.
const MAX_SIDE_CONNECTIONS: u64 = 32;

/// Most peers that have not said who they are. After a total outage some 240 agents and 54 other
/// entries connect within a few hundred milliseconds.
const MAX_UNKNOWN_PEERS: u64 = 256;

/// Slowest mean rate of a body in bytes per second, after the first 30 s.
const DEFAULT_MIN_BODY_RATE: u64 = 64;

/// Largest memory that a VM can be said to have, in MB: 1 TB.
const MAX_MEMORY_MB: u64 = 1 << 20;

/// Memory that a process assumes at most if it is not told that of its VM, in MB. The smallest VM has
/// as much.
const DEFAULT_MEMORY_MB: u64 = 120;

/// Most descriptors that a process can be said to open. A higher limit of the system counts as this.
const MAX_DESCRIPTORS: u64 = 1 << 30;

/// Descriptors that a process assumes if the system doesn't tell its limit: the usual default.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// Settings of the limits of memory and descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Limits of the main listener: that of callers, or of the backend server's reports.
    pub requests: Limits,
    /// Limits of the readiness checks.
    pub readiness: Limits,
    /// Limits of the metrics.
    pub metrics: Limits,
    /// Limits of the connections of peers that have not said who they are.
    pub unknown_peers: Limits,
}

impl Settings {
    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        command
            .arg(
                setting_flag(
                    "memory-mb",
                    "MB",
                    "Memory of the VM; 0 for that of /proc/meminfo, but at most 120",
                )
                .default_value("0"),
            )
            .arg(
                setting_flag(
                    "max-fds",
                    "COUNT",
                    "Descriptors that the process may open; 0 for its limit",
                )
                .default_value("0"),
            )
            .arg(
                setting_flag(
                    "body-budget-kb",
                    "KB",
                    "Bodies in flight at the main listener; 0 for a share of the memory",
                )
                .default_value("0"),
            )
            .arg(
                setting_flag(
                    "max-connections",
                    "COUNT",
                    "Connections at the main listener; 0 for what memory and descriptors allow",
                )
                .default_value("0"),
            )
            .arg(
                setting_flag(
                    "min-body-rate",
                    "BYTES",
                    "Slowest mean rate of a body in bytes per second after 30 s; 0 for any",
                )
                .default_value(DEFAULT_MIN_BODY_RATE.to_string()),
            )
    }

    /// Reads the settings from parsed arguments and checks them against the memory and the
    /// descriptors.
    ///
    /// # Errors
    /// Fails on the first value that cannot be parsed, is out of range or does not fit.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        Basis::read(matches)?.derive(INTERNAL_HTTP_LIMITS.body_bytes as u64)
    }

    /// Does the same as [`Settings::read`] for a process of the durable interface, whose main listener
    /// takes bodies of up to `largest_body` bytes.
    ///
    /// # Errors
    /// Fails on the first value that cannot be parsed, is out of range or does not fit.
    pub fn read_durable(matches: &ArgMatches, largest_body: usize) -> Result<Self, Error> {
        let basis = Basis {
            body_share_divisor: DURABLE_BODY_SHARE_DIVISOR,
            ..Basis::read(matches)?
        };
        basis.derive(largest_body as u64)
    }

    /// Creates the settings of a process of the durable interface that is told nothing of its VM, and
    /// whose main listener takes bodies of up to `largest_body` bytes.
    pub fn durable(largest_body: usize) -> Self {
        let basis = Basis {
            memory_mb: default_memory_mb(),
            max_fds: descriptor_limit(),
            body_kb: None,
            connections: None,
            min_body_rate: DEFAULT_MIN_BODY_RATE,
            body_share_divisor: DURABLE_BODY_SHARE_DIVISOR,
        };
        basis.limits(largest_body as u64)
    }
}

/// What the limits are derived from.
#[derive(Debug, Clone, Copy)]
struct Basis {
    memory_mb: u64,
    max_fds: u64,
    body_kb: Option<u64>,
    connections: Option<u64>,
    min_body_rate: u64,
    body_share_divisor: u64,
}

impl Basis {
    fn read(matches: &ArgMatches) -> Result<Self, Error> {
        let number = |name: &str, max: u64| read_optional_in_range(matches, name, max);
        Ok(Self {
            memory_mb: number("memory-mb", MAX_MEMORY_MB)?.unwrap_or_else(default_memory_mb),
            max_fds: number("max-fds", MAX_DESCRIPTORS)?.unwrap_or_else(descriptor_limit),
            body_kb: number("body-budget-kb", MAX_MEMORY_MB << 10)?,
            connections: number("max-connections", 1 << 20)?,
            min_body_rate: number("min-body-rate", 1 << 30)?.unwrap_or(0),
            body_share_divisor: BODY_SHARE_DIVISOR,
        })
    }

    /// Returns the limits of the listeners, of which the main one takes bodies of up to
    /// `largest_body` bytes.
    ///
    /// # Errors
    /// Fails if the values do not fit each other.
    fn derive(self, largest_body: u64) -> Result<Settings, Error> {
        let settings = self.limits(largest_body);
        let Limits {
            body_bytes,
            connections,
            ..
        } = settings.requests;
        if (body_bytes as u64) < largest_body {
            let allowed = format!(
                "at least {} for one body of the largest size; raise it or leave it out",
                largest_body >> 10
            );
            return Err(Error::new("body-budget-kb", body_bytes >> 10, allowed));
        }
        let by_descriptors = self.descriptor_share(REQUEST_DESCRIPTOR_PERCENT);
        if connections as u64 > by_descriptors {
            let allowed = format!(
                "at most {by_descriptors}, which is {REQUEST_DESCRIPTOR_PERCENT}% of the \
                 descriptors without those for files; lower it or raise --max-fds"
            );
            return Err(Error::new("max-connections", connections, allowed));
        }
        let needed = body_bytes as u64 + connections as u64 * CONNECTION_BYTES;
        if needed > self.memory_mb << 20 {
            return Err(self.memory_error(needed));
        }
        Ok(settings)
    }

    /// Returns the share of the descriptors, without those for files.
    fn descriptor_share(&self, percent: u64) -> u64 {
        let descriptors = self.max_fds - FILE_DESCRIPTORS.min(self.max_fds / 4);
        (descriptors * percent / 100).max(1)
    }

    /// Returns the limits of the listeners, without checking them.
    fn limits(self, largest_body: u64) -> Settings {
        let memory = self.memory_mb << 20;
        let body_bytes = self.body_kb.map_or_else(
            || (memory / self.body_share_divisor).max(largest_body),
            |body_kb| body_kb << 10,
        );
        let by_memory = (memory * CONNECTION_MEMORY_PERCENT / 100 / CONNECTION_BYTES).max(1);
        let by_descriptors = self.descriptor_share(REQUEST_DESCRIPTOR_PERCENT);
        let main_connections = self.connections.unwrap_or(by_memory.min(by_descriptors));
        let limits = |body_bytes: u64, connections: u64| Limits {
            body_bytes: body_bytes as usize,
            connections: connections as usize,
            min_body_rate: self.min_body_rate,
        };
        let internal_body = INTERNAL_HTTP_LIMITS.body_bytes as u64;
        let side = |percent, most| limits(internal_body, self.descriptor_share(percent).min(most));
        Settings {
            requests: limits(body_bytes, main_connections),
            readiness: side(READINESS_DESCRIPTOR_PERCENT, MAX_SIDE_CONNECTIONS),
            metrics: side(METRICS_DESCRIPTOR_PERCENT, MAX_SIDE_CONNECTIONS),
            unknown_peers: side(UNKNOWN_PEER_DESCRIPTOR_PERCENT, MAX_UNKNOWN_PEERS),
        }
    }

    /// Returns the error for limits that need more bytes than the VM has.
    fn memory_error(&self, needed: u64) -> Error {
        let memory_mb = self.memory_mb;
        let (name, value) = match (self.body_kb, self.connections) {
            (Some(body_kb), _) => ("body-budget-kb", body_kb),
            (None, Some(connections)) => ("max-connections", connections),
            (None, None) => ("memory-mb", memory_mb),
        };
        let allowed = format!(
            "what fits into the memory of {memory_mb} MB, and bodies and connections need {} MB; \
             lower --body-budget-kb or --max-connections, or correct --memory-mb",
            needed.div_ceil(1 << 20)
        );
        Error::new(name, value, allowed)
    }
}

/// The limiters of the listeners of a process.
#[derive(Debug)]
pub struct ConnectionLimiters {
    /// Limiter of callers, or of the backend server's reports.
    pub requests: ConnectionLimiter,
    /// Limiter of the readiness checks.
    pub readiness: ConnectionLimiter,
    /// Limiter of the metrics.
    pub metrics: ConnectionLimiter,
    /// Limiter of the connections of peers that have not said who they are.
    pub peers: ConnectionLimiter,
}

impl ConnectionLimiters {
    /// Creates the limiters and registers their metrics.
    pub fn new(settings: &Settings, metrics: &Metrics) -> Self {
        let metrics = ConnectionMetrics::new(metrics);
        let limiter = |name, limits| ConnectionLimiter::new(name, limits, metrics.clone());
        Self {
            requests: limiter("requests", settings.requests),
            readiness: limiter("readiness", settings.readiness),
            metrics: limiter("metrics", settings.metrics),
            peers: limiter("peers", settings.unknown_peers),
        }
    }
}

/// Returns the memory in MB that a process may count on if it is not told that of its VM.
fn default_memory_mb() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.map_or(DEFAULT_MEMORY_MB, |kb| (kb >> 10).min(DEFAULT_MEMORY_MB))
}

/// Returns how many descriptors the process may open.
fn descriptor_limit() -> u64 {
    getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |(limit, _hard_limit)| {
        limit.min(MAX_DESCRIPTORS)
    })
}
