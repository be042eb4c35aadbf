//! Runs the stand-in for a backend server as a program, until SIGTERM or SIGINT.

use std::str::FromStr;
use std::sync::mpsc;

use anyhow::Result;
use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{
    Error, INVALID_SETTING_EXIT_CODE, read_setting, read_setting_in_range, setting_flag,
};
use ibisspool_kernel::{log as logs, signal};
use ibisspool_standin::backend::{Backend, Settings};

/// Largest number of slots.
const MAX_SLOTS: u64 = 4_096;

fn main() -> Result<()> {
    let matches = command().get_matches();
    logs::start(logs::Format::Text, "info");
    let settings = settings(&matches).unwrap_or_else(|error| {
        eprintln!("error: {error}");
        std::process::exit(INVALID_SETTING_EXIT_CODE)
    });
    let backend = Backend::start(&settings)?;
    println!("The backend server listens on {}.", backend.url());
    let (stop, stopped) = mpsc::channel();
    signal::on_stop_signal(move || {
        let _receiver_gone = stop.send(());
    })?;
    let _signal = stopped.recv();
    backend.leave(&settings);
    println!("The backend server has left its agent; no task runs.");
    Ok(())
}

fn command() -> Command {
    Command::new("backend")
        .about("Stand-in for a backend server; PUT /faults injects faults, GET /starts lists task starts")
        .arg(setting_flag("listen", "IP:PORT", "Address on which the agent reaches the server").default_value("127.0.0.1:9000"))
        .arg(setting_flag("agent", "URL", "Base URL of its agent").default_value("http://127.0.0.1:8082"))
        .arg(setting_flag("slots", "COUNT", "Tasks that run at the same time").default_value("8"))
        .arg(setting_flag("kinds", "NAME,...", "Task kinds that the server announces").default_value("echo"))
        .arg(
            setting_flag(
                "run-ms",
                "MS",
                "Run time at speed 1 of a task whose input has no run_ms",
            )
            .default_value("50"),
        )
        .arg(setting_flag("speed", "FACTOR", "Factor by which run times are divided").default_value("1"))
}

fn settings(matches: &ArgMatches) -> Result<Settings, Error> {
    let kinds = read_setting::<String>(matches, "kinds", "names such as echo,quote")?;
    Ok(Settings {
        listen: read_setting(matches, "listen", "an address such as 127.0.0.1:9000")?,
        agent_url: read_setting::<String>(matches, "agent", "a URL")?
            .trim_end_matches('/')
            .to_owned(),
        slots: read_setting_in_range(matches, "slots", 1, MAX_SLOTS)? as u32,
        kinds: kinds
            .split(',')
            .map(|kind| kind.trim().to_owned())
            .collect(),
        default_run_ms: read_positive_number(matches, "run-ms")?,
        speed: read_positive_number(matches, "speed")?,
    })
}

fn read_positive_number(matches: &ArgMatches, name: &str) -> Result<f64, Error> {
    const ALLOWED: &str = "a number above 0, at most 1000000";
    let text = read_setting::<String>(matches, name, ALLOWED)?;
    f64::from_str(&text)
        .ok()
        .filter(|number| *number > 0.0 && *number <= 1e6)
        .ok_or_else(|| Error::new(name, text, ALLOWED))
}
