//! Startup and connection code of the two single-threaded processes that the subcommand `spool`
//! runs: an entry and an agent for jobs that are not recorded durably.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use clap::{ArgMatches, Command};
use ibisspool_core::spool::log_line::{Level, LogLine};
use ibisspool_core::spool::reconnect::reconnect_delay;
use ibisspool_core::spool::safety::Safety;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::channel::Receiver;
use crate::connection_limiter::ConnectionLimiter;
use crate::connection_limits;
use crate::log::LogBatches;
use crate::metrics::Metrics;
use crate::settings::{Error, read_name, read_setting, read_setting_in_range, setting_flag};
use crate::web::{self, Limits, Reply};

/// Interval at which buffered log lines are handed to the writer thread.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for opening a connection to another process. It allows several round trips between
/// regions; it is short because an address without a VM never answers, and a later attempt must
/// reach the VM soon after it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest time without a message before a connection is closed. An idle agent sends six load
/// reports in that time, and its entry answers every third of them.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Factor on [`RECEIVE_TIMEOUT`] for peers that send rarely: an entry that is waiting for another
/// entry's next gossip message, and an idle agent and its entry, which exchange one message a
/// second.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Limits for requests from the same deployment: metrics, readiness checks and announcements of
/// backend servers.
pub const INTERNAL_HTTP_LIMITS: Limits = Limits {
    head_bytes: 8 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(30),
};

/// Settings that the subcommand `spool` of entries and of agents has in common.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of some entries, from which the others are learnt. The ports are ignored in favour
    /// of `peer_port`.
    pub seeds: Vec<SocketAddr>,
    /// Port at which entries listen for agents and other entries.
    pub peer_port: u16,
    /// Address at which the metrics are served.
    pub metrics_address: SocketAddr,
    /// Lowest level of the log lines, or a filter such as `info,hyper=debug`.
    pub log_level: String,
    /// Time limits that keep two attempts of the same job from running at once.
    pub safety: Safety,
    /// Time between the signal for a planned stop and the moment when the platform kills the
    /// process.
    pub stop_grace: Duration,
    /// Limits of memory and descriptors for the connections that the process accepts.
    pub connection_limits: connection_limits::Settings,
}

impl Settings {
    /// Adds a flag for each setting to a command.
    pub fn add_flags(command: Command) -> Command {
        connection_limits::Settings::add_flags(command)
            .arg(
                setting_flag("name", "NAME", "Name of this VM, unique in the deployment")
                    .required(true),
            )
            .arg(setting_flag("data-centre", "NAME", "Data centre of this VM").required(true))
            .arg(setting_flag("store", "IP:PORT", "Address of the platform's store").required(true))
            .arg(
                setting_flag(
                    "seeds",
                    "IP:PORT,...",
                    "Hosts of some entries; the addresses of the others are learnt from them",
                )
                .default_value(""),
            )
            .arg(
                setting_flag(
                    "peer-port",
                    "PORT",
                    "Port of entries for agents and other entries",
                )
                .required(true),
            )
            .arg(
                setting_flag(
                    "metrics-listen",
                    "IP:PORT",
                    "Address at which the metrics are served",
                )
                .default_value("127.0.0.1:9464"),
            )
            .arg(
                setting_flag(
                    "log-level",
                    "LEVEL",
                    "Lowest level that is logged, or a filter",
                )
                .default_value("info"),
            )
            .arg(
                setting_flag(
                    "resubmit-ms",
                    "MS",
                    "Delay after which callers resubmit a job whose connection broke",
                )
                .default_value("1300"),
            )
            .arg(
                setting_flag(
                    "longest-lease-ms",
                    "MS",
                    "Longest lease that backend servers grant",
                )
                .default_value("1000"),
            )
            .arg(
                setting_flag(
                    "grace-s",
                    "S",
                    "Time for a planned stop, after which the platform kills the process",
                )
                .default_value("6"),
            )
    }

    /// Reads the settings from parsed arguments and checks their ranges.
    ///
    /// # Errors
    /// Fails on the first value that cannot be parsed or is out of range.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        const SEEDS: &str = "addresses separated by commas, or nothing";
        let list = read_setting::<String>(matches, "seeds", SEEDS)?;
        let seeds = list
            .split(',')
            .map(str::trim)
            .filter(|seed| !seed.is_empty())
            .map(str::parse)
            .collect::<Result<Vec<SocketAddr>, _>>()
            .map_err(|_error| Error::new("seeds", &list, SEEDS))?;
        let millis = |name: &str, min: u64| {
            read_setting_in_range(matches, name, min, 60_000).map(Duration::from_millis)
        };
        let grace_seconds = read_setting::<f64>(matches, "grace-s", "seconds above 0")?;
        if !(0.1..=3_600.0).contains(&grace_seconds) {
            return Err(Error::new(
                "grace-s",
                grace_seconds,
                "seconds from 0.1 to 3600",
            ));
        }
        Ok(Self {
            name: read_name(matches, "name")?,
            data_centre: read_name(matches, "data-centre")?,
            store_address: read_setting(matches, "store", ADDRESS)?,
            seeds,
            peer_port: read_setting_in_range(matches, "peer-port", 1, 65_535)? as u16,
            metrics_address: read_setting(matches, "metrics-listen", ADDRESS)?,
            log_level: read_setting(matches, "log-level", "any text")?,
            safety: Safety::new(
                millis("resubmit-ms", 300)?,
                millis("longest-lease-ms", 100)?,
            ),
            stop_grace: Duration::from_secs_f64(grace_seconds),
            connection_limits: connection_limits::Settings::read(matches)?,
        })
    }

    /// Returns the addresses at which the seed entries listen for agents and other entries.
    pub fn seed_peer_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
    }
}

/// Runs a future on a single-threaded event loop on the calling thread, until the future ends. The
/// future can start others with [`spawn_local`].
///
/// # Errors
/// Fails if the event loop cannot start or the future fails.
pub fn block_on<F, R>(process: F) -> Result<R>
where
    F: Future<Output = Result<R>>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the event loop")?;
    LocalSet::new().block_on(&runtime, process)
}

/// Starts logging to standard output, then runs a process until its future ends. The future
/// receives the log buffer, which it must flush regularly.
///
/// # Errors
/// Fails if the event loop cannot start or the future fails; the error is logged too.
pub fn run<P, F>(settings: &Settings, process: P) -> Result<()>
where
    P: FnOnce(LogBatches) -> F,
    F: Future<Output = Result<()>>,
{
    let logs = LogBatches::start(&settings.log_level);
    let served = block_on(process(logs.clone()));
    if let Err(error) = &served {
        log::error!("serve: {error:#}.");
    }
    logs.flush_before_exit();
    served
}

/// Logs whether the time limits of `settings.safety` hold, and starts the tasks that flush the logs
/// and serve the metrics.
pub fn spawn_background_tasks(
    settings: &Settings,
    logs: LogBatches,
    metrics: Metrics,
    metrics_gate: ConnectionLimiter,
) {
    log_safety_check(&settings.safety);
    spawn_local(flush_logs(logs));
    spawn_local(serve_metrics(
        metrics_gate,
        settings.metrics_address,
        metrics,
    ));
}

/// Runs `keep_connected` once for each address: first for `seeds`, then for those that
/// `known_addresses` returns, which is called each time `members_grew` is notified.
/// `keep_connected` has to reconnect by itself.
pub async fn connect_to_all<K, D, F>(
    seeds: Vec<SocketAddr>,
    members_grew: &Notify,
    known_addresses: K,
    keep_connected: D,
) where
    K: Fn() -> Vec<SocketAddr>,
    D: Fn(SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    let mut started: HashSet<SocketAddr> = HashSet::new();
    let mut wanted = seeds;
    loop {
        for address in wanted {
            if started.insert(address) {
                spawn_local(keep_connected(address));
            }
        }
        let next_growth = members_grew.notified();
        wanted = known_addresses();
        if wanted.iter().all(|address| started.contains(address)) {
            next_growth.await;
            wanted = known_addresses();
        }
    }
}

/// Opens a TCP connection to another process.
///
/// # Errors
/// Fails if the connection is refused or not open within 120 ms.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(stream.context("no connection within 120 ms; check that the other VM runs")??)
}

/// Waits 1.2 s for the next message of a peer, and as long again if `is_idle_peer` says after that
/// time that the peer sends rarely.
///
/// # Errors
/// Fails if the connection ends, no message arrives in time or the message cannot be decoded.
pub async fn receive<M, F>(receiver: &mut Receiver, is_idle_peer: F) -> Result<M>
where
    M: DeserializeOwned,
    F: Fn() -> bool,
{
    let should_keep_waiting = |timeouts| timeouts < IDLE_TIMEOUT_FACTOR && is_idle_peer();
    let message = receiver
        .receive_with_timeout(RECEIVE_TIMEOUT, should_keep_waiting)
        .await?;
    message.context("the peer closed the connection")
}

/// Runs `run_session` again and again for one address. `run_session` returns whether it had a
/// connection; the delay before the next attempt grows with the time since the last one was lost.
pub async fn reconnect_forever<A, F>(run_session: A)
where
    A: Fn() -> F,
    F: Future<Output = bool>,
{
    let mut lost_at = Instant::now();
    loop {
        if run_session().await {
            lost_at = Instant::now();
        }
        tokio::time::sleep(reconnect_delay(lost_at.elapsed())).await;
    }
}

/// Writes a log line of the entry's or agent's state machine, which does no I/O itself.
pub fn write_log_line(prefix: &str, line: &LogLine) {
    let level = match line.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
    };
    log::log!(level, "{prefix}: {} {}", line.text, line.fields);
}

/// Logs whether the time limits keep two attempts of a job from running at once.
fn log_safety_check(safety: &Safety) {
    match safety.check() {
        Ok(()) => log::info!(
            "serve: Safety bounds hold. silence_ms={} stop_patience_ms={} lease_ms={} resubmit_ms={}",
            safety.entry_silence_limit.as_millis(),
            safety.unconfirmed_stop_limit.as_millis(),
            safety.lease.as_millis(),
            safety.resubmit_delay.as_millis()
        ),
        Err(error) => log::error!("serve: {error}."),
    }
}

/// Hands buffered log lines to the writer thread at a fixed interval.
async fn flush_logs(logs: LogBatches) {
    loop {
        tokio::time::sleep(LOG_FLUSH_INTERVAL).await;
        logs.flush();
    }
}

/// Serves the metrics. If their address cannot be listened on, the process runs without them.
async fn serve_metrics(limiter: ConnectionLimiter, address: SocketAddr, metrics: Metrics) {
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let answer = move |_call| {
                let body = metrics.encode_text();
                async move { Reply::new(http::StatusCode::OK).with_body(body) }
            };
            web::serve_within(limiter, listener, || INTERNAL_HTTP_LIMITS, answer).await;
        }
        Err(error) => log::warn!(
            "metrics: Cannot listen, so no metrics are served. address={address} error={error}"
        ),
    }
}

/// Handlers of the signals that stop a process: SIGTERM and SIGINT, and SIGHUP, which changes
/// nothing.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Fails if the system refuses a handler.
    pub fn new() -> Result<Self> {
        let install_handler = |kind| signal(kind).context("cannot install a signal handler");
        Ok(Self {
            terminate: install_handler(SignalKind::terminate())?,
            interrupt: install_handler(SignalKind::interrupt())?,
            hangup: install_handler(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; logs SIGHUP and goes on waiting.
    pub async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::info!("serve: Ignored SIGHUP. Restart the process to change its flags.");
                }
            }
        }
    }
}
