//! Runs the stand-in for the platform's table service as a program.

use std::net::SocketAddr;
use std::thread;

use anyhow::Result;
use clap::{Arg, ArgAction, Command};
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{INVALID_SETTING_EXIT_CODE, read_setting, setting_flag};
use ibisspool_standin::local;
use ibisspool_standin::platform::Platform;

fn main() -> Result<()> {
    let matches = Command::new("platform")
        .about("Stand-in for the platform's table service; PUT /faults injects faults")
        .arg(
            setting_flag("listen", "IP:PORT", "Address on which the service listens")
                .default_value("127.0.0.1:7000"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .env("IBISSPOOL_SEED")
                .action(ArgAction::SetTrue)
                .help("Write the first control row and a catalogue with the kind `echo`"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "info");
    let listen: SocketAddr = read_setting(&matches, "listen", "an address such as 127.0.0.1:7000")
        .unwrap_or_else(|error| {
            eprintln!("error: {error}");
            std::process::exit(INVALID_SETTING_EXIT_CODE)
        });
    let platform = Platform::start(listen)?;
    if matches.get_flag("seed") {
        local::write_initial_rows(&platform, &local::catalogue());
    }
    println!("The table service listens on {}.", platform.url());
    loop {
        thread::park();
    }
}
