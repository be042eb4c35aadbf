//! Measures how processor time, traffic, memory and stored state of an entry grow with the numbers
//! of agents, entries and tasks, and prints the line fitted by least squares for each quantity.

use std::time::Duration;

use anyhow::Result;
use clap::Command;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_standin::children;
use ibisspool_standin::slopes::{self, Fit, Measurement};

fn main() -> Result<()> {
    if let Some(code) = children::run_as_binary() {
        std::process::exit(code);
    }
    let matches = Command::new("slopes")
        .about("Measure how processor time, traffic, memory and stored state grow")
        .arg(setting_flag("seconds", "SECONDS", "Length of each observation").default_value("10"))
        .get_matches();
    let interval = Duration::from_secs(read_setting_in_range(&matches, "seconds", 1, 600)?);
    logs::start(logs::Format::Text, "error");
    println!("| for each | quantity | base | slope | error | sizes |");
    println!("|---|---|---|---|---|---|");
    print_fits(&slopes::measure_agents(&[50, 150, 300], interval)?);
    print_fits(&slopes::measure_entries(&[1, 3, 6], interval)?);
    print_fits(&slopes::measure_tasks(&[40_000, 80_000, 120_000])?);
    print_fits(&slopes::measure_stored_sizes(&[4, 12, 48])?);
    Ok(())
}

fn print_fits(measurement: &Measurement) {
    for (name, samples) in &measurement.samples_by_quantity {
        let fit = Fit::new(samples);
        let sizes: Vec<String> = samples
            .iter()
            .map(|sample| format!("{}: {:.4}", sample.size, sample.value))
            .collect();
        println!(
            "| {} | {name} | {:.4} | {:.6} | {:.4} | {} |",
            measurement.size_unit,
            fit.intercept,
            fit.slope,
            fit.rms_error,
            sizes.join(", ")
        );
    }
}
