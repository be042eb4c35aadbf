//! Measures placement policies under the same open-loop arrivals, in virtual time.

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
        .about("Drives the decision code with generated jobs and prints response times")
        .arg(arg("deployment", "consorcio", "consorcio or edafos"))
        .arg(arg(
            "policy",
            "all",
            "all, or one of random, round_robin, two_choices, least_loaded, expected_end",
        ))
        .arg(arg("arrivals", "poisson", "poisson, burst or ramp"))
        .arg(
            arg("load", "0.7", "Offered work as a share of capacity")
                .value_parser(value_parser!(f64)),
        )
        .arg(arg("seconds", "60", "Length of the arrivals").value_parser(value_parser!(f64)))
        .arg(arg("seed", "1", "Seed of the arrivals").value_parser(value_parser!(u64)))
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
                .help("Write response time over time as SVG"),
        )
}

fn main() -> Result<()> {
    let matches = command().get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let deployment: Deployment = text("deployment")
        .parse()
        .context("--deployment is consorcio or edafos")?;
    let arrivals: Arrivals = text("arrivals")
        .parse()
        .context("--arrivals is poisson, burst or ramp")?;
    let (share, seconds) = (number("load"), number("seconds"));
    let policies: Vec<Policy> = match text("policy").as_str() {
        "all" => Policy::iter().collect(),
        name => vec![
            name.parse()
                .context("--policy names no policy; see --help")?,
        ],
    };
    let workload = Workload::new(deployment, arrivals, share, seconds, seed);
    let title = format!(
        "{deployment}, {arrivals} arrivals at {share} of capacity, {seconds} s, seed {seed}"
    );
    println!("{title}");
    println!(
        "Virtual time, decision code of entries and agents in one process, 0.5 ms a message, no sockets."
    );
    println!(
        "Ideal: every task starts at once on the fastest server. sd: response time over the ideal of the same job."
    );
    let begun = Instant::now();
    let all: Vec<Figures> = policies
        .into_iter()
        .map(|policy| load::run(&workload, policy, seed))
        .collect::<Result<_>>()?;
    print!("{}", load::table(&all));
    println!("computed in {:.1} s", begun.elapsed().as_secs_f64());
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&all)?)
            .context("the JSON cannot be written")?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        load::draw(path, &title, &all)?;
    }
    Ok(())
}
