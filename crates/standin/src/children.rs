//! Runs the two binaries, `ibisspool` and `ibisspool-agent`, as child processes. A tool starts its
//! own executable again with a special first argument, so that no separately built binary is
//! needed. Linux only, since resource usage is read from `/proc`.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use ibisspool_kernel::clock::shift_wall_clock;
use signal_hook::consts::{SIGUSR1, SIGUSR2};
use signal_hook::iterator::Signals;

/// First argument that makes a tool act as one of the binaries; the name of the binary follows.
const RUN_AS_BINARY_ARG: &str = "as-binary";

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Positions of user and system time among the fields of `/proc/PID/stat` after the program's name,
/// which may itself contain spaces.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Milliseconds by which a signal steps a process's wall clock. A step is longer than a lease and
/// than the interval of resubmissions.
const CLOCK_STEP_MS: i64 = 4_000;

/// Runs a binary if [`Process::start`] started this process, and returns the exit code; returns
/// `None` in a process that was started normally. Call this first in `main`.
pub fn run_as_binary() -> Option<i32> {
    let mut args = std::env::args_os().skip(1);
    if args.next()? != RUN_AS_BINARY_ARG {
        return None;
    }
    let args: Vec<OsString> = args.collect();
    if let Err(error) = step_clock_on_signals() {
        eprintln!("children: cannot handle the signals that step the clock: {error}");
    }
    run_named_binary(args)
}

/// Runs the binary that the first argument names, with the other arguments, and returns the exit
/// code; returns `None` without a name.
pub fn run_named_binary(args: Vec<OsString>) -> Option<i32> {
    match args.first()?.to_str()? {
        "ibisspool" => Some(ibisspool::cli::run(args)),
        _ => Some(ibisspool_agent::cli::run(args)),
    }
}

/// Steps the process's wall clock forward on SIGUSR1 and back on SIGUSR2.
fn step_clock_on_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGUSR1, SIGUSR2])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let step = if signal == SIGUSR1 {
                CLOCK_STEP_MS
            } else {
                -CLOCK_STEP_MS
            };
            shift_wall_clock(step);
        }
    });
    Ok(())
}

/// A binary that runs as a child process; dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Resources that a process has used since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Current resident memory in bytes.
    pub memory_bytes: f64,
    /// Current number of threads.
    pub threads: f64,
    /// Voluntary context switches of the current threads: how often they blocked.
    pub voluntary_switches: f64,
}

impl Process {
    /// Starts the binary that the first argument names, with the other arguments. The process logs
    /// errors alone and discards them, unless the variable `IBISSPOOL_LOGS` names a directory: then
    /// it logs from level `info` to a file there with the name given by `--name`.
    ///
    /// # Errors
    /// Fails if this executable cannot be started again or the log file cannot be opened.
    pub fn start(args: &[&str]) -> Result<Self> {
        let program = std::env::current_exe().context("cannot find the path of this executable")?;
        let (level, output) = log_level_and_output(args)?;
        let child = Command::new(program)
            .arg(RUN_AS_BINARY_ARG)
            .args(args)
            .env("IBISSPOOL_LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .context("cannot start this executable again")?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resources that the process has used so far.
    ///
    /// # Errors
    /// Fails if the files of the process in `/proc` cannot be read, for instance after its end.
    pub fn usage(&self) -> Result<Usage> {
        usage(&self.child)
    }
}

/// Returns the resources that a child process has used so far.
///
/// # Errors
/// Fails if the files of the process in `/proc` cannot be read, for instance after its end.
pub fn usage(process: &Child) -> Result<Usage> {
    let directory = format!("/proc/{}", process.id());
    let stat = std::fs::read_to_string(format!("{directory}/stat"))
        .context("cannot read /proc/PID/stat of a child process")?;
    let status = std::fs::read_to_string(format!("{directory}/status"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields.get(field).and_then(|f| f.parse::<f64>().ok());
    let cpu = ticks(USER_TIME_FIELD).unwrap_or(0.0) + ticks(SYSTEM_TIME_FIELD).unwrap_or(0.0);
    let mut voluntary_switches = 0.0;
    for task in std::fs::read_dir(format!("{directory}/task"))? {
        let status = std::fs::read_to_string(task?.path().join("status"))?;
        voluntary_switches += status_number(&status, "voluntary_ctxt_switches:");
    }
    Ok(Usage {
        cpu_s: cpu / TICKS_PER_SECOND,
        memory_bytes: status_number(&status, "VmRSS:") * 1_024.0,
        threads: status_number(&status, "Threads:"),
        voluntary_switches,
    })
}

/// Returns the number that follows `name` in the text of `/proc/PID/status`, or 0 if it is missing.
fn status_number(status: &str, name: &str) -> f64 {
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

/// Returns the log level of a process and where its output goes; see [`Process::start`].
fn log_level_and_output(args: &[&str]) -> Result<(&'static str, Stdio)> {
    let Some(directory) = std::env::var_os("IBISSPOOL_LOGS") else {
        return Ok(("error", Stdio::null()));
    };
    let name = args
        .iter()
        .skip_while(|arg| **arg != "--name")
        .nth(1)
        .context("IBISSPOOL_LOGS needs processes with a --name")?;
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(Path::new(&directory).join(name))
        .context("cannot open the log file of a process in the directory IBISSPOOL_LOGS")?;
    Ok(("info", Stdio::from(file)))
}

/// Returns a loopback address with a currently free port. Another process may take the port before
/// the caller does.
///
/// # Errors
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

/// Returns the number of bytes, with all headers, that the loopback device has received since boot.
///
/// # Errors
/// Fails if `/proc/net/dev` cannot be read or has no loopback device.
pub fn loopback_bytes() -> Result<f64> {
    let devices = std::fs::read_to_string("/proc/net/dev").context("cannot read /proc/net/dev")?;
    let line = devices
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.context("/proc/net/dev has no loopback device `lo`")
}
