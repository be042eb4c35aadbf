//! Settings of an entry and their defaults.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command};
use ibisspool_core::settings::{Bounds, Timing};
use ibisspool_kernel::connection_limits;
use ibisspool_kernel::log::Format;
use ibisspool_kernel::settings::{
    Error, read_name, read_setting, read_setting_in_range, setting_flag,
};

use crate::secret::Secret;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Largest body of one HTTP request: a job of some hundred tasks with inputs of tens of kilobytes.
const DEFAULT_MAX_BODY_BYTES: usize = 32 << 20;

/// Checked settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the entry, unique in the region.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Address at which the entry listens for callers and operators and serves its metrics.
    pub listen: SocketAddr,
    /// Address at which the entry listens for agents and other entries.
    pub peer_listen: SocketAddr,
    /// Base URL of the platform's table service.
    pub table_service_url: String,
    /// Format of the log lines.
    pub log_format: Format,
    /// Lowest level of the log lines, or a filter such as `info,ibisspool=debug`.
    pub log_level: String,
    /// Largest accepted body of one HTTP request, in bytes.
    pub max_body_bytes: usize,
    /// Token that operators must present; without it, every operator is authorized.
    pub operator_token: Option<Secret>,
    /// Durations that entries and agents must agree on.
    pub timing: Timing,
    /// Limits of the tables in memory.
    pub bounds: Bounds,
    /// Limits of memory and descriptors for the connections that the entry accepts.
    pub connection_limits: connection_limits::Settings,
}

impl Settings {
    /// Creates settings with the defaults for all that is not named here. The entry listens on free
    /// local ports. `platform` is the base URL of the table service.
    pub fn new(name: &str, data_centre: &str, platform: &str) -> Self {
        let any_local_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: any_local_port,
            peer_listen: any_local_port,
            table_service_url: platform.to_owned(),
            log_format: Format::Text,
            log_level: "info".to_owned(),
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            operator_token: None,
            timing: Timing::default(),
            bounds: Bounds::default(),
            connection_limits: connection_limits::Settings::durable(DEFAULT_MAX_BODY_BYTES),
        }
    }

    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        let defaults = Self::new("", "", "");
        let number = |value: usize| value.to_string();
        connection_limits::Settings::add_flags(command)
            .arg(
                setting_flag("name", "NAME", "Name of this entry, unique in the region")
                    .required(true),
            )
            .arg(setting_flag("data-centre", "NAME", "Data centre of this entry").required(true))
            .arg(
                setting_flag(
                    "listen",
                    "IP:PORT",
                    "Address for callers, operators and metrics",
                )
                .default_value("127.0.0.1:8080"),
            )
            .arg(
                setting_flag(
                    "peer-listen",
                    "IP:PORT",
                    "Address for agents and other entries",
                )
                .default_value("127.0.0.1:8081"),
            )
            .arg(
                setting_flag(
                    "platform",
                    "URL",
                    "Base URL of the platform's table service",
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
                setting_flag("body-bytes", "BYTES", "Largest body of one HTTP request")
                    .default_value(number(defaults.max_body_bytes)),
            )
            .arg(operator_token_flag())
            .arg(
                setting_flag(
                    "window-ms",
                    "MS",
                    "How long ids are remembered; every timeout is at most half of it",
                )
                .default_value(defaults.timing.retention_window.as_millis().to_string()),
            )
            .arg(
                setting_flag("max-jobs", "COUNT", "Jobs remembered, running and ended")
                    .default_value(number(defaults.bounds.max_jobs)),
            )
            .arg(
                setting_flag(
                    "max-waiters",
                    "COUNT",
                    "Callers that may wait for an answer",
                )
                .default_value(number(defaults.bounds.max_waiters)),
            )
            .arg(
                setting_flag(
                    "max-queued-tasks",
                    "COUNT",
                    "Tasks that may wait for a backend server",
                )
                .default_value(number(defaults.bounds.max_queued_tasks)),
            )
            .arg(
                setting_flag(
                    "max-tasks-per-job",
                    "COUNT",
                    "Most tasks in one job, unless the kind sets another limit",
                )
                .default_value(number(defaults.bounds.max_tasks_per_job)),
            )
            .arg(
                setting_flag(
                    "max-input-bytes",
                    "BYTES",
                    "Largest input of one task, unless the kind sets another limit",
                )
                .default_value(number(defaults.bounds.max_input_bytes)),
            )
    }

    /// Reads the settings from parsed arguments and checks their ranges.
    ///
    /// # Errors
    /// Fails on the first setting that is not allowed.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        let text = |name: &str| read_setting::<String>(matches, name, "any text");
        let count =
            |name: &str| read_setting_in_range(matches, name, 1, 1 << 40).map(|n| n as usize);
        let mut settings = Self::new(
            &read_name(matches, "name")?,
            &read_name(matches, "data-centre")?,
            &text("platform")?,
        );
        if !settings.table_service_url.starts_with("http://") {
            return Err(Error::new(
                "platform",
                &settings.table_service_url,
                "a URL such as http://10.0.0.1:7000",
            ));
        }
        settings.listen = read_setting(matches, "listen", "an address such as 10.0.0.1:8080")?;
        settings.peer_listen =
            read_setting(matches, "peer-listen", "an address such as 10.0.0.1:8081")?;
        settings.log_format = read_setting(matches, "log-format", "text or json")?;
        settings.log_level = text("log-level")?;
        settings.max_body_bytes = count("body-bytes")?;
        settings.operator_token = read_operator_token(matches)?;
        let window = read_setting_in_range(matches, "window-ms", 10_000, MILLIS_PER_DAY)?;
        settings.timing.retention_window = std::time::Duration::from_millis(window);
        settings.bounds.max_jobs = count("max-jobs")?;
        settings.bounds.max_waiters = count("max-waiters")?;
        settings.bounds.max_queued_tasks = count("max-queued-tasks")?;
        settings.bounds.max_tasks_per_job = count("max-tasks-per-job")?;
        settings.bounds.max_input_bytes = count("max-input-bytes")?;
        settings.connection_limits =
            connection_limits::Settings::read_durable(matches, settings.max_body_bytes)?;
        Ok(settings)
    }
}

/// Environment variable that holds the operators' token if no file is named.
const OPERATOR_TOKEN_VARIABLE: &str = "IBISSPOOL_OPERATOR_TOKEN";

/// Returns the flag that names the file with the operators' token.
pub fn operator_token_flag() -> Arg {
    setting_flag(
        "operator-token-file",
        "FILE",
        "File with the operators' token; IBISSPOOL_OPERATOR_TOKEN may hold it instead",
    )
}

/// Reads the operators' token from the file of the flag, or from the environment variable; returns
/// `None` if neither is set.
///
/// # Errors
/// Fails if the file cannot be read or the token is not allowed.
pub fn read_operator_token(matches: &ArgMatches) -> Result<Option<Secret>, Error> {
    const FLAG: &str = "operator-token-file";
    let file = matches.get_one::<String>(FLAG).map(String::as_str);
    Secret::read(file, OPERATOR_TOKEN_VARIABLE).map_err(|error| {
        let allowed = format!("a readable file with a token ({error:#})");
        Error::new(FLAG, file.unwrap_or("absent"), allowed)
    })
}
