//! Compares placement policies in a simulation in virtual time, each with the same open-loop
//! arrivals.

use std::path::PathBuf;
use std::time::Instant;

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use ibisspool_core::placement::Policy;
use ibisspool_standin::load::{self, Arrivals, Deployment, Figures, Workload};
use strum::IntoEnumIterator;

fn command() -> Command {
    let arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("load")
        .about("Simulate entries and agents under generated jobs and print response times")
        .arg(arg("deployment", "consorcio", "consorcio or edafos"))
        .arg(arg(
            "policy",
            "all",
            "all, or one of random, round_robin, two_choices, least_loaded, expected_end",
        ))
        .arg(arg("arrivals", "poisson", "poisson, burst or ramp"))
        .arg(
            arg("load", "0.7", "Offered work as a share of the capacity")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            arg("seconds", "60", "Length of the period of arrivals")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            arg(
                "seed",
                "1",
                "Seed of the arrivals and of the entries' random choices",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write the figures as JSON"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write a plot of response time over time as SVG"),
        )
}

fn main() -> Result<()> {
    let matches = command().get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let deployment: Deployment = text("deployment")
        .parse()
        .context("--deployment must be consorcio or edafos")?;
    let arrivals: Arrivals = text("arrivals")
        .parse()
        .context("--arrivals must be poisson, burst or ramp")?;
    let (load_share, seconds) = (number("load"), number("seconds"));
    let policies: Vec<Policy> = match text("policy").as_str() {
        "all" => Policy::iter().collect(),
        name => vec![
            name.parse()
                .context("--policy is not a known policy; see --help")?,
        ],
    };
    let workload = Workload::new(deployment, arrivals, load_share, seconds, seed);
    let title = format!(
        "{deployment}, {arrivals} arrivals at {load_share} of capacity, {seconds} s, seed {seed}"
    );
    println!("{title}");
    println!(
        "Virtual time: entries and agents run in one process without sockets, and each message takes 0.5 ms."
    );
    println!(
        "sd: slowdown, a job's response time divided by its ideal, with every task starting at once on the fastest server."
    );
    let started_at = Instant::now();
    let figures: Vec<Figures> = policies
        .into_iter()
        .map(|policy| load::run(&workload, policy, seed))
        .collect::<Result<_>>()?;
    print!("{}", load::table(&figures));
    println!("computed in {:.1} s", started_at.elapsed().as_secs_f64());
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&figures)?)
            .context("cannot write the JSON file")?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        load::draw_response_times(path, &title, &figures)?;
    }
    Ok(())
}
