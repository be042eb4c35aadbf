//! Checks the catalogue of the spool in a file before an operator publishes it.

use std::net::SocketAddr;
use std::path::Path;

use clap::{Arg, ArgAction, ArgMatches, Command};
use ibisspool_core::spool::catalogue::check::{
    Difference, Finding, Severity, find_differences, find_problems,
};
use ibisspool_kernel::settings::setting_flag;
use ibisspool_kernel::spool::block_on;
use ibisspool_platform::store::{Document, OperatorTable, Store, decode_document};
use serde_json::{Value, json};

use super::exit;

/// Name of the command.
pub const NAME: &str = "check-catalogue";

/// Explanation of the exit codes, shown below the help.
const EXIT_CODES: &str = "Exit codes: 0 no errors (warnings may be shown), 2 bad usage, unreadable \
file or errors in the catalogue, 5 the store did not answer or holds no catalogue";

/// Returns the definition of the command.
pub fn command() -> Command {
    let path = |name: &'static str, value: &'static str| {
        Arg::new(name)
            .value_name(value)
            .value_parser(clap::value_parser!(std::path::PathBuf))
    };
    Command::new(NAME)
        .about("Check a catalogue of the spool before it is published")
        .after_help(EXIT_CODES)
        .arg(
            path("file", "FILE")
                .required(true)
                .help("The catalogue as JSON"),
        )
        .arg(
            path("in-force", "FILE")
                .long("in-force")
                .conflicts_with("store")
                .help("Show what differs from the catalogue in this file"),
        )
        .arg(
            setting_flag(
                "store",
                "IP:PORT",
                "Show what differs from the catalogue in the platform's store at this address",
            )
            .value_parser(clap::value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON"),
        )
}

/// Error of the command, with the exit code.
struct Failure {
    code: i32,
    message: String,
}

/// What the check of a catalogue found.
struct Outcome {
    findings: Vec<Finding>,
    /// Why the version can't be published, if it can't.
    version_error: Option<String>,
    /// `None` if there is no catalogue to compare with.
    differences: Option<Vec<Difference>>,
}

impl Outcome {
    fn new(document: &Document, in_force: Option<&Document>) -> Self {
        Self {
            findings: find_problems(&document.catalogue, Some(&document.services)),
            version_error: version_error(document, in_force),
            differences: in_force
                .map(|known| find_differences(&known.catalogue, &document.catalogue)),
        }
    }

    fn has_errors(&self) -> bool {
        self.version_error.is_some()
            || self
                .findings
                .iter()
                .any(|finding| finding.problem.severity() == Severity::Error)
    }
}

/// Runs the command and returns the exit code.
pub fn run(matches: &ArgMatches) -> i32 {
    let outcome = match check(matches) {
        Ok(outcome) => outcome,
        Err(failure) => {
            eprintln!("error: {}", failure.message);
            return failure.code;
        }
    };
    if matches.get_flag("json") {
        println!("{}", to_json(&outcome));
    } else {
        print_text(&outcome);
    }
    if outcome.has_errors() {
        exit::INVALID
    } else {
        exit::SUCCESS
    }
}

fn check(matches: &ArgMatches) -> Result<Outcome, Failure> {
    let path = |name: &str| matches.get_one::<std::path::PathBuf>(name);
    let document = match path("file") {
        Some(file) => read_file(file)?,
        None => return Err(invalid("FILE is missing".to_owned())),
    };
    let in_force = match (path("in-force"), matches.get_one::<SocketAddr>("store")) {
        (Some(file), _) => Some(read_file(file)?),
        (None, Some(&store)) => Some(read_store(store)?),
        (None, None) => None,
    };
    Ok(Outcome::new(&document, in_force.as_ref()))
}

fn invalid(message: String) -> Failure {
    Failure {
        code: exit::INVALID,
        message,
    }
}

fn read_file(path: &Path) -> Result<Document, Failure> {
    let bytes = std::fs::read(path)
        .map_err(|error| invalid(format!("cannot read {}: {error}", path.display())))?;
    decode_document(&bytes).map_err(|error| {
        invalid(format!(
            "{} is not a catalogue: {error}; correct the file",
            path.display()
        ))
    })
}

fn read_store(address: SocketAddr) -> Result<Document, Failure> {
    let read = block_on(async {
        let mut table = OperatorTable::default();
        Store::new(address).read_operator_table(&mut table).await?;
        Ok(table.document())
    });
    let no_answer = |message| Failure {
        code: exit::NO_ANSWER,
        message,
    };
    match read {
        Ok(Some(document)) => Ok(document),
        Ok(None) => Err(no_answer(format!(
            "the store at {address} holds no readable catalogue; check without --store"
        ))),
        Err(error) => Err(no_answer(format!(
            "cannot read the catalogue in force: {error:#}; check the address {address}"
        ))),
    }
}

fn version_error(document: &Document, in_force: Option<&Document>) -> Option<String> {
    let Some(version) = document.version else {
        return Some("there is no version; add one above the version in force".to_owned());
    };
    let known = in_force?.version?;
    (version <= known)
        .then(|| format!("version {version} is not above {known}, which is in force; raise it"))
}

fn place(queue: Option<&str>) -> String {
    queue.map_or_else(|| "limits".to_owned(), |name| format!("queue `{name}`"))
}

fn print_text(outcome: &Outcome) {
    if let Some(error) = &outcome.version_error {
        println!("error: {error}");
    }
    for finding in &outcome.findings {
        println!(
            "{}: {}: {}",
            finding.problem.severity(),
            place(finding.queue.as_deref()),
            finding.problem
        );
    }
    for difference in outcome.differences.iter().flatten() {
        println!(
            "changed: {}: {}: {} -> {}",
            place(difference.queue.as_deref()),
            difference.field,
            difference.before.as_deref().unwrap_or("none"),
            difference.after.as_deref().unwrap_or("none")
        );
    }
    if outcome.differences.as_ref().is_some_and(Vec::is_empty) {
        println!("Nothing differs from the catalogue in force.");
    }
    if !outcome.has_errors() {
        println!("The catalogue has no errors.");
    }
}

fn to_json(outcome: &Outcome) -> Value {
    let findings = outcome.findings.iter().map(|finding| {
        json!({
            "severity": finding.problem.severity().to_string(),
            "problem": <&str>::from(&finding.problem),
            "queue": finding.queue.as_deref(),
            "detail": finding.problem.to_string(),
        })
    });
    let version = outcome.version_error.iter().map(|detail| {
        json!({"severity": "error", "problem": "version", "queue": null, "detail": detail})
    });
    let differences = outcome.differences.as_ref().map(|differences| {
        let row = |difference: &Difference| {
            json!({
                "queue": difference.queue.as_deref(),
                "field": difference.field,
                "before": difference.before,
                "after": difference.after,
            })
        };
        differences.iter().map(row).collect::<Vec<_>>()
    });
    json!({
        "valid": !outcome.has_errors(),
        "findings": version.chain(findings).collect::<Vec<_>>(),
        "differences": differences,
    })
}
