//! Command line of the program `ibisspool`.

mod check;
mod client;
pub mod exit;
mod operate;
mod show;

use std::ffi::OsString;

use clap::{ArgMatches, Command};
use ibisspool_kernel::run;

use crate::serve;
use crate::settings::Settings;
use crate::spool;

/// Returns the definition of the command line with all subcommands.
pub fn command() -> Command {
    let serve = Command::new("serve")
        .about("Take callers' work and coordinate jobs")
        .arg(run::check_flag());
    let spool = Command::new("spool")
        .about("Take jobs that are not recorded durably and dispatch their tasks, on one thread")
        .arg(run::check_flag());
    let command = Command::new("ibisspool")
        .about("Dispatcher for sub-second tasks")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Settings::add_flags(serve))
        .subcommand(spool::Settings::add_flags(spool))
        .subcommand(check::command());
    operate::add_commands(command)
}

/// Parses the arguments, runs the entry or operator command they ask for and returns the exit code.
pub fn run<I>(args: I) -> i32
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let _printed = error.print();
            return error.exit_code();
        }
    };
    match matches.subcommand() {
        Some(("serve", matches)) => run_serve(matches),
        Some(("spool", matches)) => run::run(
            spool::Settings::read(matches),
            matches.get_flag("check"),
            run::skip_log_setup,
            spool::run,
        ),
        Some((check::NAME, matches)) => check::run(matches),
        _ => operate::run(&matches),
    }
}

fn run_serve(matches: &ArgMatches) -> i32 {
    run::run(
        Settings::read(matches),
        matches.get_flag("check"),
        |settings| Some((settings.log_format, &settings.log_level)),
        serve::run,
    )
}
