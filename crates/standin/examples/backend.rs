//! The backend stand-in as a program of its own.

use std::str::FromStr;
use std::sync::mpsc;

use anyhow::Result;
use clap::{ArgMatches, Command};
use ibisspool_kernel::settings::{
    Error, INVALID_SETTING_EXIT_CODE, read_setting, read_setting_in_range, setting_flag,
};
use ibisspool_kernel::{log as logs, signal};
use ibisspool_standin::backend::{Backend, Settings};

/// Most slots.
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
        let _ended = stop.send(());
    })?;
    let _stopped = stopped.recv();
    backend.leave(&settings);
    println!("The backend server has left with nothing running.");
    Ok(())
}

fn command() -> Command {
    Command::new("backend")
        .about("Stand-in for a backend server; PUT /faults makes it fail, GET /starts tells")
        .arg(
            setting_flag("listen", "IP:PORT", "Address for its agent")
                .default_value("127.0.0.1:9000"),
        )
        .arg(
            setting_flag("agent", "URL", "Base URL of its agent")
                .default_value("http://127.0.0.1:8082"),
        )
        .arg(
            setting_flag("slots", "COUNT", "Tasks that it runs at the same time")
                .default_value("8"),
        )
        .arg(setting_flag("kinds", "NAME,...", "Kinds that it serves").default_value("echo"))
        .arg(
            setting_flag(
                "run-ms",
                "MS",
                "Run time at speed 1 of a task that names none",
            )
            .default_value("50"),
        )
        .arg(setting_flag("speed", "FACTOR", "Run times are divided by it").default_value("1"))
}

fn settings(matches: &ArgMatches) -> Result<Settings, Error> {
    let kinds = read_setting::<String>(matches, "kinds", "names such as echo,quote")?;
    Ok(Settings {
        listen: read_setting(matches, "listen", "an address such as 127.0.0.1:9000")?,
        agent: read_setting::<String>(matches, "agent", "a URL")?
            .trim_end_matches('/')
            .to_owned(),
        slots: read_setting_in_range(matches, "slots", 1, MAX_SLOTS)? as u32,
        kinds: kinds
            .split(',')
            .map(|kind| kind.trim().to_owned())
            .collect(),
        run_ms: read_positive(matches, "run-ms")?,
        speed: read_positive(matches, "speed")?,
    })
}

fn read_positive(matches: &ArgMatches, name: &str) -> Result<f64, Error> {
    const ALLOWED: &str = "a number above 0, at most 1000000";
    let text = read_setting::<String>(matches, name, ALLOWED)?;
    f64::from_str(&text)
        .ok()
        .filter(|number| *number > 0.0 && *number <= 1e6)
        .ok_or_else(|| Error::new(name, text, ALLOWED))
}
