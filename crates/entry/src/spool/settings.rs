//! Settings of an entry of the spool.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{Error, flag, read};
use ibisspool_kernel::spool;

/// Checked settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What agents have too.
    pub common: spool::Settings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the platform asks for readiness.
    pub ready_listen: SocketAddr,
    /// Address for agents and other entries.
    pub peer_listen: SocketAddr,
    /// Where agents and other entries reach it.
    pub advertised_address: SocketAddr,
    /// Factor on the run time of a task away from its data.
    pub remote_run_factor: f64,
}

impl Settings {
    /// Adds the flags to a command.
    pub fn add_flags(command: Command) -> Command {
        spool::Settings::add_flags(command)
            .arg(flag("listen", "IP:PORT", "Address for callers").required(true))
            .arg(flag("ready-listen", "IP:PORT", "Address for checks of readiness").required(true))
            .arg(
                flag(
                    "peer-listen",
                    "IP:PORT",
                    "Address for agents and other entries",
                )
                .required(true),
            )
            .arg(flag(
                "advertise",
                "IP:PORT",
                "Where agents and other entries reach that address, if it is another one",
            ))
            .arg(
                flag(
                    "far-factor",
                    "NUMBER",
                    "Factor on the run time of a task in another rack than its data",
                )
                .default_value("1.5"),
            )
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Fails if a setting is not allowed.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        const FACTOR: &str = "a number from 1 to 100";
        let peer_listen = read(matches, "peer-listen", ADDRESS)?;
        let advertise = if matches.contains_id("advertise") {
            read(matches, "advertise", ADDRESS)?
        } else {
            peer_listen
        };
        let far = read::<f64>(matches, "far-factor", FACTOR)?;
        if !(1.0..=100.0).contains(&far) {
            return Err(Error::new("far-factor", far, FACTOR));
        }
        Ok(Self {
            common: spool::Settings::read(matches)?,
            listen: read(matches, "listen", ADDRESS)?,
            ready_listen: read(matches, "ready-listen", ADDRESS)?,
            peer_listen,
            advertised_address: advertise,
            remote_run_factor: far,
        })
    }
}
