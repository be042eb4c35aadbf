//! Settings of an agent and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use ibisspool_core::agent::Bounds;
use ibisspool_core::settings::Timing;
use ibisspool_kernel::connection_limits;
use ibisspool_kernel::log::Format;
use ibisspool_kernel::settings::{
    Error, read_name, read_setting, read_setting_in_range, setting_flag,
};

use crate::announce::MAX_BODY_BYTES;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Checked settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the agent and of its backend server, unique in the region.
    pub name: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Address at which the agent listens for the backend server and serves its metrics.
    pub listen: SocketAddr,
    /// Peer addresses (`IP:PORT`) of some entries, from which the others are learnt.
    pub entries: Vec<String>,
    /// Format of the log lines.
    pub log_format: Format,
    /// Lowest level of the log lines, or a filter such as `info,ibisspool_agent=debug`.
    pub log_level: String,
    /// Largest number of slots that a backend server may announce. Each slot takes a thread.
    pub max_slots: u32,
    /// Time without an announcement after which the backend server counts as leaving and gets no
    /// new tasks.
    pub announcement_timeout: Duration,
    /// Largest accepted body of the backend server's answer to one task.
    pub max_answer_bytes: usize,
    /// Limits of the ledger, in which the agent remembers which tasks it has started.
    pub bounds: Bounds,
    /// Durations that entries and agents must agree on.
    pub timing: Timing,
    /// Limits of memory and descriptors for the connections that the agent accepts.
    pub connection_limits: connection_limits::Settings,
}

impl Settings {
    /// Creates settings with the defaults for all that is not named here. The agent listens on a
    /// free local port.
    pub fn new(name: &str, data_centre: &str, entries: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries,
            log_format: Format::Text,
            log_level: "info".to_owned(),
            max_slots: 256,
            announcement_timeout: Duration::from_secs(3),
            max_answer_bytes: 1 << 20,
            bounds: Bounds::default(),
            timing: Timing::default(),
            connection_limits: connection_limits::Settings::durable(MAX_BODY_BYTES),
        }
    }

    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        let defaults = Self::new("", "", Vec::new());
        connection_limits::Settings::add_flags(command)
            .arg(
                setting_flag(
                    "name",
                    "NAME",
                    "Name of this agent and its backend server, unique in the region",
                )
                .required(true),
            )
            .arg(setting_flag("data-centre", "NAME", "Data centre of this agent").required(true))
            .arg(
                setting_flag(
                    "listen",
                    "IP:PORT",
                    "Address for the backend server and metrics",
                )
                .default_value("127.0.0.1:8082"),
            )
            .arg(
                setting_flag(
                    "entries",
                    "IP:PORT,...",
                    "Peer addresses of some entries; the others are learnt",
                )
                .required(true),
            )
            .arg(
                setting_flag(
                    "log-format",
                    "FORM",
                    "Format of the log lines: text or json",
                )
                .default_value("text"),
            )
            .arg(
                setting_flag(
                    "log-level",
                    "LEVEL",
                    "Lowest level that is logged, or a filter",
                )
                .default_value("info"),
            )
            .arg(
                setting_flag(
                    "max-slots",
                    "COUNT",
                    "Largest number of slots that a backend server may announce",
                )
                .default_value(defaults.max_slots.to_string()),
            )
            .arg(
                setting_flag(
                    "announcement-timeout-ms",
                    "MS",
                    "Time without an announcement after which the backend server counts as leaving",
                )
                .default_value(defaults.announcement_timeout.as_millis().to_string()),
            )
            .arg(
                setting_flag(
                    "max-answer-bytes",
                    "BYTES",
                    "Largest answer of the backend server to one task",
                )
                .default_value(defaults.max_answer_bytes.to_string()),
            )
            .arg(
                setting_flag(
                    "max-records",
                    "COUNT",
                    "Started tasks remembered; while there are as many, new ones are refused",
                )
                .default_value(defaults.bounds.max_records.to_string()),
            )
            .arg(
                setting_flag(
                    "max-output-bytes",
                    "BYTES",
                    "Total size of kept outputs; above it, outputs that an entry has are dropped",
                )
                .default_value(defaults.bounds.max_output_bytes.to_string()),
            )
            .arg(
                setting_flag(
                    "window-ms",
                    "MS",
                    "How long started tasks are remembered; must equal the entries' value",
                )
                .default_value(defaults.timing.retention_window.as_millis().to_string()),
            )
    }

    /// Reads the settings from parsed arguments and checks their ranges.
    ///
    /// # Errors
    /// Fails on the first setting that is not allowed.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ENTRIES: &str = "addresses such as 10.0.0.1:8081,10.0.0.2:8081";
        let list = read_setting::<String>(matches, "entries", ENTRIES)?;
        let entries: Vec<String> = list
            .split(',')
            .map(|entry| entry.trim().to_owned())
            .collect();
        if entries
            .iter()
            .any(|entry| entry.parse::<SocketAddr>().is_err())
        {
            return Err(Error::new("entries", list, ENTRIES));
        }
        let name = read_name(matches, "name")?;
        let data_centre = read_name(matches, "data-centre")?;
        let mut settings = Self::new(&name, &data_centre, entries);
        settings.listen = read_setting(matches, "listen", "an address such as 10.0.0.1:8082")?;
        settings.log_format = read_setting(matches, "log-format", "text or json")?;
        settings.log_level = read_setting(matches, "log-level", "any text")?;
        settings.max_slots = read_setting_in_range(matches, "max-slots", 1, 4_096)? as u32;
        let window = read_setting_in_range(matches, "window-ms", 10_000, MILLIS_PER_DAY)?;
        settings.timing.retention_window = Duration::from_millis(window);
        let timeout =
            read_setting_in_range(matches, "announcement-timeout-ms", 100, MILLIS_PER_DAY)?;
        settings.announcement_timeout = Duration::from_millis(timeout);
        let count =
            |name: &str| read_setting_in_range(matches, name, 1, 1 << 40).map(|n| n as usize);
        settings.max_answer_bytes = count("max-answer-bytes")?;
        settings.bounds.max_records = count("max-records")?;
        settings.bounds.max_output_bytes = count("max-output-bytes")?;
        settings.connection_limits =
            connection_limits::Settings::read_durable(matches, MAX_BODY_BYTES)?;
        Ok(settings)
    }
}
