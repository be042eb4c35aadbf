//! Two operators race through catalogue changes while the table service fails now and then.

use anyhow::Result;
use clap::{Arg, Command, value_parser};
use ibisspool_kernel::log as logs;
use ibisspool_standin::changes;

fn main() -> Result<()> {
    let matches = Command::new("changes")
        .about("Racing catalogue changes under faults of the table service, on loopback")
        .arg(
            Arg::new("count")
                .long("count")
                .default_value("200")
                .value_parser(value_parser!(usize))
                .help("Changes that are to be accepted"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "error");
    let count = matches.get_one::<usize>("count").copied();
    changes::run(count.unwrap_or_default())?.check()
}
