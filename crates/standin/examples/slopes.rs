//! Measures how state, messages, processor time and memory of an entry grow, and prints a line
//! by least squares for each quantity.

use std::time::Duration;

use anyhow::Result;
use clap::Command;
use ibisspool_kernel::log as logs;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use ibisspool_standin::children;
use ibisspool_standin::slopes::{self, Fit, Scene};

fn main() -> Result<()> {
    if let Some(code) = children::run_as_binary() {
        std::process::exit(code);
    }
    let matches = Command::new("slopes")
        .about("How state, messages, processor time and memory grow")
        .arg(setting_flag("seconds", "SECONDS", "Length of each observation").default_value("10"))
        .get_matches();
    let span = Duration::from_secs(read_setting_in_range(&matches, "seconds", 1, 600)?);
    logs::start(logs::Format::Text, "error");
    println!("| for each | quantity | base | slope | error | sizes |");
    println!("|---|---|---|---|---|---|");
    print(&slopes::agents(&[50, 150, 300], span)?);
    print(&slopes::entries(&[1, 3, 6], span)?);
    print(&slopes::tasks(&[40_000, 80_000, 120_000])?);
    print(&slopes::changes(&[4, 12, 48])?);
    Ok(())
}

fn print(scene: &Scene) {
    for (name, samples) in &scene.quantities {
        let fit = Fit::new(samples);
        let sizes: Vec<String> = samples
            .iter()
            .map(|s| format!("{}: {:.4}", s.size, s.value))
            .collect();
        println!(
            "| {} | {name} | {:.4} | {:.6} | {:.4} | {} |",
            scene.unit,
            fit.base,
            fit.slope,
            fit.error,
            sizes.join(", ")
        );
    }
}
