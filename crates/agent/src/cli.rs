//! The command line of `ibisspool-agent`.

use std::ffi::OsString;

use clap::{Arg, ArgAction, ArgMatches, Command};
use ibisspool_kernel::{log as logs, settings as kernel_settings};

use crate::serve;
use crate::settings::Settings;

/// Exit code for a process that could not start or go on.
const FAILED: i32 = 1;

/// Returns the command line.
pub fn command() -> Command {
    let command = Command::new("ibisspool-agent")
        .about("The only starter of tasks on its backend server")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        );
    Settings::add_flags(command)
}

/// Runs the command line and returns the exit code.
pub fn run<I>(args: I) -> i32
where
    I: IntoIterator<Item = OsString>,
{
    match command().try_get_matches_from(args) {
        Ok(matches) => run_agent(&matches),
        Err(error) => {
            let _printed = error.print();
            error.exit_code()
        }
    }
}

fn run_agent(matches: &ArgMatches) -> i32 {
    let settings = match Settings::read(matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return kernel_settings::INVALID;
        }
    };
    if matches.get_flag("check") {
        println!("The settings are valid.");
        return 0;
    }
    logs::start(settings.log_format, &settings.log_level);
    match serve::run(&settings) {
        Ok(()) => 0,
        Err(error) => {
            log::error!("serve: {error:#}.");
            FAILED
        }
    }
}
