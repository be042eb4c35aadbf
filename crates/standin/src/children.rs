//! The two binaries as processes of their own, started by a development tool that runs itself
//! again. Linux only, as it reads `/proc`.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use ibisspool_kernel::clock::shift_wall_clock;
use signal_hook::consts::{SIGUSR1, SIGUSR2};
use signal_hook::iterator::Signals;

/// First argument with which a tool runs itself again as one of the binaries.
const AS_BINARY: &str = "as-binary";

/// Clock ticks of a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the name of the program: user and system time.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// Milliseconds by which a signal moves a process's time of day; more than a lease and a resubmission.
const STEP_MS: i64 = 4_000;

/// Runs a binary if this process was started as one; returns its exit code.
pub fn run_as_binary() -> Option<i32> {
    let mut args = std::env::args_os().skip(1);
    if args.next()? != AS_BINARY {
        return None;
    }
    let args: Vec<OsString> = args.collect();
    if let Err(error) = step_clock_on_signals() {
        eprintln!("children: the clock cannot be stepped: {error}");
    }
    match args.first()?.to_str()? {
        "ibisspool" => Some(ibisspool::cli::run(args)),
        _ => Some(ibisspool_agent::cli::run(args)),
    }
}

/// Moves the process's time of day ahead on SIGUSR1 and back on SIGUSR2.
fn step_clock_on_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGUSR1, SIGUSR2])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let step = if signal == SIGUSR1 { STEP_MS } else { -STEP_MS };
            shift_wall_clock(step);
        }
    });
    Ok(())
}

/// A running binary; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Threads.
    pub threads: f64,
    /// How often its threads went to sleep.
    pub sleeps: f64,
}

impl Process {
    /// Starts a binary with its arguments, without logs.
    ///
    /// # Errors
    /// Fails if this program cannot be run again.
    pub fn start(args: &[&str]) -> Result<Self> {
        let program = std::env::current_exe().context("this program has no path")?;
        let (level, output) = logs_of(args)?;
        let child = Command::new(program)
            .arg(AS_BINARY)
            .args(args)
            .env("IBISSPOOL_LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .context("cannot run this program again")?;
        Ok(Self { child })
    }

    /// Returns the number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what the process has used so far.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn usage(&self) -> Result<Usage> {
        usage(&self.child)
    }
}

/// Returns what a process has used so far.
///
/// # Errors
/// Fails if the process has ended.
pub fn usage(process: &Child) -> Result<Usage> {
    let folder = format!("/proc/{}", process.id());
    let stat = std::fs::read_to_string(format!("{folder}/stat")).context("no such process")?;
    let status = std::fs::read_to_string(format!("{folder}/status"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields.get(field).and_then(|f| f.parse::<f64>().ok());
    let cpu = ticks(USER_TICKS).unwrap_or(0.0) + ticks(SYSTEM_TICKS).unwrap_or(0.0);
    let mut sleeps = 0.0;
    for task in std::fs::read_dir(format!("{folder}/task"))? {
        let status = std::fs::read_to_string(task?.path().join("status"))?;
        sleeps += number(&status, "voluntary_ctxt_switches:");
    }
    Ok(Usage {
        cpu_s: cpu / TICKS_PER_SECOND,
        memory: number(&status, "VmRSS:") * 1_024.0,
        threads: number(&status, "Threads:"),
        sleeps,
    })
}

/// Returns the number after a name in a status of `/proc`, 0 if it is not there.
fn number(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Returns the level and the place of a process's log lines. With the variable `IBISSPOOL_LOGS` they
/// go to a file in that folder, named after the process; else only errors are written.
fn logs_of(args: &[&str]) -> Result<(&'static str, Stdio)> {
    let Some(folder) = std::env::var_os("IBISSPOOL_LOGS") else {
        return Ok(("error", Stdio::null()));
    };
    let name = args
        .iter()
        .skip_while(|arg| **arg != "--name")
        .nth(1)
        .context("a process without a name has no log")?;
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(Path::new(&folder).join(name))
        .context("cannot open a log file")?;
    Ok(("info", Stdio::from(file)))
}

/// Returns a loopback address that is free now.
///
/// # Errors
/// Fails if the system has no free port.
pub fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

/// Returns the bytes that the loopback device has carried so far, with all headers.
///
/// # Errors
/// Fails if the system does not tell.
pub fn loopback_bytes() -> Result<f64> {
    let devices = std::fs::read_to_string("/proc/net/dev").context("no list of devices")?;
    let line = devices
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.context("no loopback device")
}
