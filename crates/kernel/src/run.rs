//! The course of a process from its checked settings to its exit code.

use anyhow::Result;
use clap::{Arg, ArgAction};

use crate::log::{self as logs, Format};
use crate::settings::{Error, INVALID};

/// Exit code for a process that could not start or go on.
const FAILED_EXIT_CODE: i32 = 1;

/// Returns the flag that only checks the settings.
pub fn check_flag() -> Arg {
    Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit")
}

/// For a process that starts its logs itself.
pub fn skip_log_setup<S>(_settings: &S) -> Option<(Format, &str)> {
    None
}

/// Runs a process with its settings, or only checks them; returns the exit code.
pub fn run<S, L, R>(settings: Result<S, Error>, check: bool, logs: L, run: R) -> i32
where
    L: FnOnce(&S) -> Option<(Format, &str)>,
    R: FnOnce(&S) -> Result<()>,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return INVALID;
        }
    };
    if check {
        println!("The settings are valid.");
        return 0;
    }
    if let Some((format, level)) = logs(&settings) {
        logs::start(format, level);
    }
    match run(&settings) {
        Ok(()) => 0,
        Err(error) => {
            log::error!("serve: {error:#}.");
            FAILED_EXIT_CODE
        }
    }
}
