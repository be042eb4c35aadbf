//! Lets two operators change the catalogue concurrently while the table service fails, and checks
//! that no accepted change is lost or reverted.

use anyhow::Result;
use clap::{Arg, Command, value_parser};
use ibisspool_kernel::log as logs;
use ibisspool_standin::changes;

fn main() -> Result<()> {
    let matches = Command::new("changes")
        .about("Check concurrent catalogue changes under faults of the table service, on loopback")
        .arg(
            Arg::new("count")
                .long("count")
                .default_value("200")
                .value_parser(value_parser!(usize))
                .help("Number of changes that must be accepted"),
        )
        .get_matches();
    logs::start(logs::Format::Text, "error");
    let count = matches.get_one::<usize>("count").copied();
    changes::run(count.unwrap_or_default())?.report_and_check()
}
