//! The limits that a process derives from its VM, and the errors of settings that do not fit.

use clap::Command;
use ibisspool_kernel::connection_limits;
use ibisspool_kernel::spool::Settings;

fn read(flags: &[&str]) -> Result<connection_limits::Settings, String> {
    let required = [
        "test",
        "--name=a",
        "--data-centre=b",
        "--store=127.0.0.1:1",
        "--peer-port=2",
    ];
    let matches = Settings::add_flags(Command::new("test"))
        .try_get_matches_from(required.iter().chain(flags))
        .map_err(|error| error.to_string())?;
    Settings::read(&matches)
        .map(|settings| settings.connection_limits)
        .map_err(|error| error.to_string())
}

#[test]
fn limits_of_the_smallest_entry_fit_its_memory_and_descriptors() {
    let limits = read(&["--memory-mb=160", "--max-fds=4100"]).expect("the VM is allowed");

    assert_eq!(limits.requests.body_bytes, 20 << 20);
    assert_eq!(limits.requests.connections, 819);
    let all = [
        limits.requests,
        limits.readiness,
        limits.metrics,
        limits.unknown_peers,
    ];
    let connections: usize = all.iter().map(|limits| limits.connections).sum();
    assert!(connections < 3_900 * 8 / 10);
    // A body of the largest size between processes fits each listener.
    assert!(all.iter().all(|limits| limits.body_bytes >= 4 << 20));
}

#[test]
fn limits_of_an_agent_allow_the_largest_report() {
    let limits = read(&["--memory-mb=128", "--max-fds=4096"]).expect("the VM is allowed");

    assert_eq!(limits.requests.body_bytes, 16 << 20);
}

#[test]
fn settings_that_do_not_fit_name_the_flag_and_the_remedy() {
    let cases = [
        (
            vec!["--memory-mb=160", "--body-budget-kb=100"],
            "--body-budget-kb",
            "raise it",
        ),
        (
            vec!["--memory-mb=160", "--body-budget-kb=400000"],
            "--body-budget-kb",
            "lower",
        ),
        (
            vec!["--memory-mb=160", "--max-connections=2000"],
            "--max-connections",
            "lower",
        ),
        (
            vec!["--max-fds=300", "--max-connections=200"],
            "--max-connections",
            "raise --max-fds",
        ),
        (vec!["--memory-mb=4"], "--memory-mb", "correct --memory-mb"),
    ];
    for (flags, name, remedy) in cases {
        let error = read(&flags).expect_err("the settings do not fit");

        assert!(error.contains(name) && error.contains(remedy), "{error}");
    }
}
