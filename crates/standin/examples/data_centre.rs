//! Takes a data centre out of service and returns it under steady load, and prints how much work
//! was done meanwhile.

use std::path::Path;

use anyhow::Result;
use clap::{Arg, ArgAction, Command};
use ibisspool_kernel::log as logs;
use ibisspool_standin::data_centre;

fn main() -> Result<()> {
    let matches = Command::new("data_centre")
        .about("Measure a data centre that leaves and returns under 60% load, on loopback")
        .arg(
            Arg::new("store-down")
                .long("store-down")
                .action(ArgAction::SetTrue)
                .help("Take the table service down while the data centre is out of service"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Write a plot of the work over time to this SVG file"),
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
