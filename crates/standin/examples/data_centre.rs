//! Takes a data centre out of service and back under steady load, and prints what was done.

use std::path::Path;

use anyhow::Result;
use clap::{Arg, ArgAction, Command};
use ibisspool_kernel::log as logs;
use ibisspool_standin::data_centre;

fn main() -> Result<()> {
    let matches = Command::new("data_centre")
        .about("A data centre leaves and returns under 60% load, on loopback")
        .arg(
            Arg::new("store-down")
                .long("store-down")
                .action(ArgAction::SetTrue)
                .help("The table service is down while the data centre is out"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Write the plot to this SVG file"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "error");
    let outcome = data_centre::run(matches.get_flag("store-down"))?;
    outcome.print();
    if let Some(path) = matches.get_one::<String>("plot") {
        outcome.plot(Path::new(path))?;
        println!("plot: {path}");
    }
    Ok(())
}
