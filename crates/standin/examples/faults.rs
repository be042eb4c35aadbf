//! Kills and suspends entry and agent processes and fails the table service under load, then checks
//! the answers that callers received. Exits with 1 if a guarantee to callers is violated.

use anyhow::Result;
use clap::Command;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{read_setting, read_setting_in_range, setting_flag};
use ibisspool_standin::{children, faults};

fn main() -> Result<()> {
    if let Some(code) = children::run_as_binary() {
        std::process::exit(code);
    }
    let matches = Command::new("faults")
        .about("Inject faults into processes on loopback and check the answers to callers")
        .arg(setting_flag("rounds", "COUNT", "Number of rounds of faults").default_value("20"))
        .arg(
            setting_flag(
                "seed",
                "NUMBER",
                "Seed of the faults and of the callers' choices",
            )
            .default_value("1"),
        )
        .arg(
            setting_flag(
                "takeovers",
                "COUNT",
                "Measure this many takeovers instead, with the table service up and down",
            )
            .default_value("0"),
        )
        .get_matches();
    let rounds = read_setting_in_range(&matches, "rounds", 1, 10_000)? as u32;
    let seed = read_setting::<u64>(&matches, "seed", "a whole number")?;
    logs::start(logs::Format::Text, "error");
    let takeovers = read_setting_in_range(&matches, "takeovers", 0, 1_000)? as usize;
    if takeovers > 0 {
        println!(
            "table service up: {:?}",
            faults::measure_takeovers(takeovers, false)?
        );
        println!(
            "table service down: {:?}",
            faults::measure_takeovers(takeovers.min(2), true)?
        );
        return Ok(());
    }
    let totals = faults::run(rounds, seed)?;
    println!(
        "{rounds} rounds, {} faults, {} submissions, {} with a complete answer, {} without an answer, {} violations",
        totals.faults,
        totals.submissions,
        totals.complete,
        totals.unanswered,
        totals.violations.len()
    );
    for (violation, job) in &totals.violations {
        println!("violation: {violation} by job {job}");
    }
    std::process::exit(i32::from(!totals.violations.is_empty()));
}
