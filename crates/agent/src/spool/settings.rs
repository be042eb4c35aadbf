//! Settings of an agent of the spool.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{Error, flag, read};
use ibisspool_kernel::spool;

/// Checked settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What entries have too.
    pub common: spool::Settings,
    /// Address for the announcements of the backend server.
    pub announcement_listen: SocketAddr,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
}

impl Settings {
    /// Adds the flags to a command.
    pub fn add_flags(command: Command) -> Command {
        spool::Settings::add_flags(command)
            .arg(
                flag(
                    "listen",
                    "IP:PORT",
                    "Address for the backend server's announcements",
                )
                .required(true),
            )
            .arg(flag("server", "IP:PORT", "Address of the backend server").required(true))
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Fails if a setting is not allowed.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        Ok(Self {
            common: spool::Settings::read(matches)?,
            announcement_listen: read(matches, "listen", ADDRESS)?,
            backend_address: read(matches, "server", ADDRESS)?,
        })
    }
}
