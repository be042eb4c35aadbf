//! Operator commands: they call the operator interface of an entry and print its answer.

use std::time::Duration;

use attohttpc::Method;
use clap::{Arg, ArgAction, ArgMatches, Command};
use ibisspool_core::catalogue::{Catalogue, File, Limits, is_valid_name};
use ibisspool_core::entry::operator::{ChangeOutcome, ChangeResult, ServiceState};
use ibisspool_core::settings::Timing;
use ibisspool_kernel::settings::{read_setting_in_range, setting_flag};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::client::{Answer, Client};
use super::{exit, show};
use crate::settings::{operator_token_flag, read_operator_token};

/// Largest allowed value of `--timeout-ms`.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Explanation of the exit codes, shown below the help of each command.
const EXIT_CODES: &str = "Exit codes: 0 in force or shown, 2 bad usage or file, 3 not accepted, \
4 written but not confirmed by all, 5 no answer";

/// Error of a command that got no usable answer of an entry, with the exit code.
#[derive(Debug)]
struct Failure {
    code: i32,
    message: String,
}

impl Failure {
    fn invalid(message: impl Into<String>) -> Self {
        Self {
            code: exit::INVALID,
            message: message.into(),
        }
    }
}

/// Adds the operator commands to the command line.
pub fn add_commands(command: Command) -> Command {
    command
        .subcommand(catalogue_command())
        .subcommand(service_command(
            "data-centre",
            "Take a data centre out of service or bring it back",
        ))
        .subcommand(service_command(
            "backend",
            "Take a backend server out of service or bring it back",
        ))
        .subcommand(view_command("status", "Show an entry's view of the region"))
        .subcommand(
            view_command("explain", "Show what happened to a job").arg(required_arg("job", "JOB")),
        )
}

fn catalogue_command() -> Command {
    let put = change_command(
        "put",
        "Merge the owners and kinds of a file into the catalogue, as one change",
    )
    .arg(required_arg("file", "FILE"))
    .arg(
        Arg::new("dry-run")
            .long("dry-run")
            .action(ArgAction::SetTrue)
            .help("Only show what would change"),
    );
    Command::new("catalogue")
        .about("Show and change the catalogue")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(view_command("list", "List owners and kinds"))
        .subcommand(
            view_command("get", "Show a kind in the format of a catalogue file")
                .arg(required_arg("kind", "KIND")),
        )
        .subcommand(put)
        .subcommand(change_command("delete", "Delete a kind").arg(required_arg("kind", "KIND")))
}

fn service_command(verb: &'static str, about: &'static str) -> Command {
    let force = || {
        Arg::new("force")
            .long("force")
            .action(ArgAction::SetTrue)
            .help("Make the change even if jobs would be refused or the name is not known yet")
    };
    let command = |verb, about| {
        change_command(verb, about)
            .arg(required_arg("name", "NAME"))
            .arg(force())
    };
    Command::new(verb)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(command("out", "Stop new tasks from starting there"))
        .subcommand(command("in", "Allow tasks to start there again"))
}

fn required_arg(id: &'static str, value: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true)
}

fn view_command(verb: &'static str, about: &'static str) -> Command {
    Command::new(verb)
        .about(about)
        .after_help(EXIT_CODES)
        .arg(
            setting_flag(
                "entry",
                "URL",
                "Base URL of an entry, or several separated by commas",
            )
            .default_value("http://127.0.0.1:8080"),
        )
        .arg(operator_token_flag())
        .arg(
            setting_flag("timeout-ms", "MS", "How long to wait for the answer")
                .default_value("13000"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the answer as JSON"),
        )
}

fn change_command(verb: &'static str, about: &'static str) -> Command {
    view_command(verb, about).arg(
        Arg::new("change")
            .long("change")
            .value_name("ID")
            .help("Id of the change, to repeat one whose answer was lost [default: a new one]"),
    )
}

/// Runs an operator command and returns the exit code.
pub fn run(matches: &ArgMatches) -> i32 {
    match dispatch(matches) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("error: {}", failure.message);
            failure.code
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<i32, Failure> {
    match matches.subcommand() {
        Some(("catalogue", matches)) => match matches.subcommand() {
            Some(("list", matches)) => list_catalogue(matches),
            Some(("get", matches)) => show_kind(matches),
            Some(("put", matches)) => put_catalogue(matches),
            Some(("delete", matches)) => delete_kind(matches),
            _ => Ok(exit::INVALID),
        },
        Some(("data-centre", matches)) => set_service_state(matches, "data-centres"),
        Some(("backend", matches)) => set_service_state(matches, "backends"),
        Some(("status", matches)) => show_status(matches),
        Some(("explain", matches)) => explain_job(matches),
        _ => Ok(exit::INVALID),
    }
}

fn arg_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn name_arg<'a>(matches: &'a ArgMatches, id: &str) -> Result<&'a str, Failure> {
    let name = arg_text(matches, id);
    if is_valid_name(name) {
        return Ok(name);
    }
    Err(Failure::invalid(format!(
        "`{name}` is not a name; use letters, digits, dots, hyphens and underscores"
    )))
}

fn call_entry(
    matches: &ArgMatches,
    method: &Method,
    path: &str,
    body: &str,
) -> Result<Answer, Failure> {
    let invalid = |error: ibisspool_kernel::settings::Error| Failure::invalid(error.to_string());
    let timeout_ms =
        read_setting_in_range(matches, "timeout-ms", 1, MAX_TIMEOUT_MS).map_err(invalid)?;
    let token = read_operator_token(matches).map_err(invalid)?;
    let timeout = Duration::from_millis(timeout_ms);
    let client = Client::new(arg_text(matches, "entry"), token, timeout);
    client.call(method, path, body).map_err(|error| Failure {
        code: exit::NO_ANSWER,
        message: error.to_string(),
    })
}

/// Fetches a view from an entry and prints it, as JSON or with `format_view`; returns the exit
/// code.
fn show_view<T, F>(matches: &ArgMatches, path: &str, format_view: F) -> Result<i32, Failure>
where
    T: DeserializeOwned,
    F: FnOnce(&T) -> String,
{
    let answer = call_entry(matches, &Method::GET, path, "")?;
    if answer.status != 200 {
        return Ok(print_refusal(&answer.body));
    }
    if matches.get_flag("json") {
        println!("{}", answer.body);
        return Ok(exit::SUCCESS);
    }
    println!("{}", format_view(&decode(answer.body)?));
    Ok(exit::SUCCESS)
}

fn decode<T>(body: Value) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    serde_json::from_value(body).map_err(|error| Failure {
        code: exit::NO_ANSWER,
        message: format!(
            "the entry's answer cannot be decoded: {error}; use the same version as the entry"
        ),
    })
}

/// Prints a problem response (RFC 9457) of an entry; returns the exit code.
fn print_refusal(body: &Value) -> i32 {
    let field = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or("unknown");
    eprintln!("not accepted: {}: {}", field("reason"), field("detail"));
    exit::NOT_ACCEPTED
}

#[derive(Debug, Deserialize)]
struct CatalogueView {
    version: u64,
    catalogue: Catalogue,
}

fn list_catalogue(matches: &ArgMatches) -> Result<i32, Failure> {
    show_view(matches, "/v1/catalogue", |view: &CatalogueView| {
        show::format_catalogue(view.version, &view.catalogue)
    })
}

fn show_kind(matches: &ArgMatches) -> Result<i32, Failure> {
    let name = name_arg(matches, "kind")?;
    let answer = call_entry(matches, &Method::GET, "/v1/catalogue", "")?;
    if answer.status != 200 {
        return Ok(print_refusal(&answer.body));
    }
    let view: CatalogueView = decode(answer.body)?;
    let Some(kind) = view.catalogue.kind(name) else {
        eprintln!(
            "not accepted: catalogue {} has no kind `{name}`",
            view.version
        );
        return Ok(exit::NOT_ACCEPTED);
    };
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(kind));
    } else {
        println!("{}", show::format_kind(kind));
    }
    Ok(exit::SUCCESS)
}

fn put_catalogue(matches: &ArgMatches) -> Result<i32, Failure> {
    let path = arg_text(matches, "file");
    let content = std::fs::read_to_string(path)
        .map_err(|error| Failure::invalid(format!("cannot read {path}: {error}")))?;
    check_file(path, &content)?;
    let dry_run = matches.get_flag("dry-run");
    submit_change(
        matches,
        &Method::PUT,
        "/v1/catalogue",
        &content,
        &format!("&dry_run={dry_run}"),
    )
}

/// Checks a catalogue file before any entry is called.
fn check_file(path: &str, content: &str) -> Result<(), Failure> {
    let file =
        File::parse(content).map_err(|fault| Failure::invalid(format!("{path}, {fault}")))?;
    let window = Timing::default().retention_window;
    let faults = file.errors_without_owners(Limits { window });
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{path}, {fault}"))
        .collect();
    Err(Failure::invalid(lines.join("\n")))
}

fn delete_kind(matches: &ArgMatches) -> Result<i32, Failure> {
    let path = format!("/v1/catalogue/{}", name_arg(matches, "kind")?);
    submit_change(matches, &Method::DELETE, &path, "", "")
}

fn set_service_state(matches: &ArgMatches, collection: &str) -> Result<i32, Failure> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(exit::INVALID);
    };
    let state = if verb == "out" {
        ServiceState::Out
    } else {
        ServiceState::In
    };
    let path = format!("/v1/{collection}/{}", name_arg(matches, "name")?);
    let force = format!("&force={}", matches.get_flag("force"));
    submit_change(matches, &Method::PUT, &path, &state.to_string(), &force)
}

/// Sends a change to an entry, prints the outcome and returns the exit code.
fn submit_change(
    matches: &ArgMatches,
    method: &Method,
    path: &str,
    body: &str,
    parameters: &str,
) -> Result<i32, Failure> {
    let id = match matches.get_one::<String>("change") {
        Some(_named) => name_arg(matches, "change")?.to_owned(),
        None => uuid::Uuid::now_v7().to_string(),
    };
    let timeout_ms = arg_text(matches, "timeout-ms");
    let path = format!("{path}?change={id}&timeout_ms={timeout_ms}{parameters}");
    let answer = call_entry(matches, method, &path, body).map_err(|failure| Failure {
        message: format!(
            "{}; repeat with --change {id} to learn what became of it",
            failure.message
        ),
        ..failure
    })?;
    if answer.body.get("outcome").is_none() {
        return Ok(print_refusal(&answer.body));
    }
    let outcome: ChangeOutcome = decode(answer.body.clone())?;
    if matches.get_flag("json") {
        println!("{}", answer.body);
    } else {
        println!("{}", show::format_outcome(&outcome));
    }
    Ok(match outcome.end {
        ChangeResult::InForce { .. } | ChangeResult::DryRun => exit::SUCCESS,
        ChangeResult::NotAccepted { .. } => exit::NOT_ACCEPTED,
        ChangeResult::Written { .. } => exit::NOT_CONFIRMED,
        ChangeResult::Unsettled { .. } => exit::NO_ANSWER,
    })
}

fn show_status(matches: &ArgMatches) -> Result<i32, Failure> {
    show_view(matches, "/v1/status", show::format_status)
}

fn explain_job(matches: &ArgMatches) -> Result<i32, Failure> {
    let path = format!("/v1/jobs/{}/trace", name_arg(matches, "job")?);
    show_view(matches, &path, show::format_trace)
}
