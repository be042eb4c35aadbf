//! Command line of the program `ibisspool-agent`.

use std::ffi::OsString;

use clap::{ArgMatches, Command};
use ibisspool_kernel::run;

use crate::serve;
use crate::settings::Settings;
use crate::spool;

/// Returns the definition of the command line with its subcommand `spool`.
pub fn command() -> Command {
    let spool = Command::new("spool")
        .about("Run tasks of jobs that are not recorded durably, on one thread")
        .arg(run::check_flag());
    let command = Command::new("ibisspool-agent")
        .about("Agent of a backend server: the only process that starts tasks there")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(run::check_flag());
    Settings::add_flags(command)
        .subcommand_negates_reqs(true)
        .subcommand(spool::Settings::add_flags(spool))
}

/// Parses the arguments, runs the agent they ask for and returns the exit code.
pub fn run<I>(args: I) -> i32
where
    I: IntoIterator<Item = OsString>,
{
    match command().try_get_matches_from(args) {
        Ok(matches) => match matches.subcommand() {
            Some(("spool", matches)) => run::run(
                spool::Settings::read(matches),
                matches.get_flag("check"),
                run::skip_log_setup,
                spool::run,
            ),
            _ => run_agent(&matches),
        },
        Err(error) => {
            let _printed = error.print();
            error.exit_code()
        }
    }
}

fn run_agent(matches: &ArgMatches) -> i32 {
    run::run(
        Settings::read(matches),
        matches.get_flag("check"),
        |settings| Some((settings.log_format, &settings.log_level)),
        serve::run,
    )
}
