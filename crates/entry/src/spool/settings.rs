//! Settings of an entry for jobs that are not recorded durably.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{Error, read_setting, read_setting_in_range, setting_flag};
use ibisspool_kernel::spool;

/// Checked settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings that agents have too.
    pub common: spool::Settings,
    /// Address at which the entry listens for callers.
    pub listen: SocketAddr,
    /// Address at which the entry answers the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// Address at which the entry listens for agents and other entries.
    pub peer_listen: SocketAddr,
    /// Address at which agents and other entries reach `peer_listen`.
    pub advertised_address: SocketAddr,
    /// Factor by which a task runs longer in another rack than its data.
    pub remote_run_factor: f64,
    /// Whether the entry learns which queues slow each other down, and keeps them apart.
    pub separates_interfering: bool,
    /// Whether waiting jobs give way to more urgent ones that would otherwise be refused.
    pub sheds_waiting: bool,
    /// Time from the start of the process until which requests wait for the catalogue, agents and
    /// servers.
    pub startup_wait: Duration,
}

impl Settings {
    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        spool::Settings::add_flags(command)
            .arg(setting_flag("listen", "IP:PORT", "Address for callers").required(true))
            .arg(
                setting_flag(
                    "ready-listen",
                    "IP:PORT",
                    "Address for the platform's readiness checks",
                )
                .required(true),
            )
            .arg(
                setting_flag(
                    "peer-listen",
                    "IP:PORT",
                    "Address for agents and other entries",
                )
                .required(true),
            )
            .arg(setting_flag(
                "advertise",
                "IP:PORT",
                "Address at which agents and other entries reach --peer-listen, if it differs",
            ))
            .arg(
                setting_flag(
                    "far-factor",
                    "NUMBER",
                    "Factor by which a task runs longer in another rack than its data",
                )
                .default_value("1.5"),
            )
            .arg(
                setting_flag(
                    "separate-interfering",
                    "on|off",
                    "Whether to learn which queues slow each other down on one server, and to keep \
                     them apart where there is room",
                )
                .default_value("off"),
            )
            .arg(
                setting_flag(
                    "shed-waiting",
                    "on|off",
                    "Whether waiting jobs give way to ones of higher priority",
                )
                .default_value("off"),
            )
            .arg(
                setting_flag(
                    "startup-wait-ms",
                    "MS",
                    "Time from the start until which requests wait for the catalogue and servers",
                )
                .default_value("500"),
            )
    }

    /// Reads the settings from parsed arguments and checks their ranges.
    ///
    /// # Errors
    /// Fails on the first value that cannot be parsed or is out of range.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        const SWITCH: &str = "on or off";
        const FACTOR: &str = "a number from 1 to 100";
        let peer_listen = read_setting(matches, "peer-listen", ADDRESS)?;
        let advertised_address = if matches.contains_id("advertise") {
            read_setting(matches, "advertise", ADDRESS)?
        } else {
            peer_listen
        };
        let remote_run_factor = read_setting::<f64>(matches, "far-factor", FACTOR)?;
        if !(1.0..=100.0).contains(&remote_run_factor) {
            return Err(Error::new("far-factor", remote_run_factor, FACTOR));
        }
        let read_switch = |name: &str| match read_setting::<String>(matches, name, SWITCH)?.as_str()
        {
            "on" => Ok(true),
            "off" => Ok(false),
            other => Err(Error::new(name, other, SWITCH)),
        };
        Ok(Self {
            common: spool::Settings::read(matches)?,
            listen: read_setting(matches, "listen", ADDRESS)?,
            ready_listen: read_setting(matches, "ready-listen", ADDRESS)?,
            peer_listen,
            advertised_address,
            remote_run_factor,
            separates_interfering: read_switch("separate-interfering")?,
            sheds_waiting: read_switch("shed-waiting")?,
            startup_wait: Duration::from_millis(read_setting_in_range(
                matches,
                "startup-wait-ms",
                0,
                60_000,
            )?),
        })
    }
}
