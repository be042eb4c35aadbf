//! Runs a process from its settings to its exit code.

use anyhow::Result;
use clap::{Arg, ArgAction};

use crate::log::{self as logs, Format};
use crate::settings::{Error, INVALID_SETTING_EXIT_CODE};

/// Exit code of a process that failed to start or stopped because of an error.
const FAILED_EXIT_CODE: i32 = 1;

/// Returns the flag `--check`, with which a process only checks its settings.
pub fn check_flag() -> Arg {
    Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit")
}

/// Argument `logs` of [`run`] for a process that starts logging itself.
pub fn skip_log_setup<S>(_settings: &S) -> Option<(Format, &str)> {
    None
}

/// Runs a process with its settings and returns its exit code: 0, 1 after a failure, 2 if a setting
/// is not allowed. If `check` is set, the settings are only checked. `logs` returns the format and
/// level with which logging is started before `run`.
pub fn run<S, L, R>(settings: Result<S, Error>, check: bool, logs: L, run: R) -> i32
where
    L: FnOnce(&S) -> Option<(Format, &str)>,
    R: FnOnce(&S) -> Result<()>,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return INVALID_SETTING_EXIT_CODE;
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
