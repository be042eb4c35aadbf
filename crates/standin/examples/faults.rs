//! Kills and pauses real entries and agents and fails the table service under load, then checks
//! the history. Exits with 1 if a promise is broken.

use anyhow::Result;
use clap::Command;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{flag, read, read_within};
use ibisspool_standin::{children, faults};

fn main() -> Result<()> {
    if let Some(code) = children::run_as_binary() {
        std::process::exit(code);
    }
    let matches = Command::new("faults")
        .about("Faults against real processes on loopback, with a check of the history")
        .arg(flag("rounds", "COUNT", "Rounds of faults").default_value("20"))
        .arg(flag("seed", "NUMBER", "Seed of faults and callers").default_value("1"))
        .arg(
            flag(
                "takeovers",
                "COUNT",
                "Measure takeovers instead, with the store up and down",
            )
            .default_value("0"),
        )
        .get_matches();
    let rounds = read_within(&matches, "rounds", 1, 10_000)? as u32;
    let seed = read::<u64>(&matches, "seed", "a whole number")?;
    logs::start(logs::Format::Text, "error");
    let takeovers = read_within(&matches, "takeovers", 0, 1_000)? as usize;
    if takeovers > 0 {
        println!("store up: {:?}", faults::takeovers(takeovers, false)?);
        println!(
            "store down: {:?}",
            faults::takeovers(takeovers.min(2), true)?
        );
        return Ok(());
    }
    let totals = faults::run(rounds, seed)?;
    println!(
        "{rounds} rounds, {} faults, {} submissions, {} answered whole, {} without an answer, {} violations",
        totals.faults,
        totals.submissions,
        totals.whole,
        totals.unanswered,
        totals.violations.len()
    );
    for (rule, job) in &totals.violations {
        println!("violation: {rule} by job {job}");
    }
    std::process::exit(i32::from(!totals.violations.is_empty()));
}
