//! Settings of an agent for jobs that are not recorded durably.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{Error, read_setting, setting_flag};
use ibisspool_kernel::spool;

/// Checked settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings that entries have too.
    pub common: spool::Settings,
    /// Address at which the agent listens for the backend server's announcements.
    pub announcement_listen: SocketAddr,
    /// Address at which the backend server listens for its agent.
    pub backend_address: SocketAddr,
}

impl Settings {
    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        spool::Settings::add_flags(command)
            .arg(
                setting_flag(
                    "listen",
                    "IP:PORT",
                    "Address for the backend server's announcements",
                )
                .required(true),
            )
            .arg(setting_flag("server", "IP:PORT", "Address of the backend server").required(true))
    }

    /// Reads the settings from parsed arguments and checks them.
    ///
    /// # Errors
    /// Fails on the first value that cannot be parsed or is out of range.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        Ok(Self {
            common: spool::Settings::read(matches)?,
            announcement_listen: read_setting(matches, "listen", ADDRESS)?,
            backend_address: read_setting(matches, "server", ADDRESS)?,
        })
    }
}
