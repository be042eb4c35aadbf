//! What the spool's processes share: settings, the thread that runs them, log lines, signals.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use clap::{ArgMatches, Command};
use ibisspool_core::spool::note::{Level, Note};
use ibisspool_core::spool::redial::redial_pause;
use ibisspool_core::spool::safety::Safety;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::channel::Receiver;
use crate::log::LogBatches;
use crate::metrics::Metrics;
use crate::settings::{Error, flag, read, read_name, read_within};
use crate::web::{self, Limits, Reply};

/// Time between two batches of log lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for a connection: several round trips between regions, since an address without a
/// VM answers nothing and the next try has to find the VM soon after it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// A connection without a message for this long is given up: six reports of an idle agent, each third
/// of which its entry answers.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// As many times that for entries, whose exchanges may be as far apart, and between a resting agent
/// and an entry, which hear of each other once a second.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Bounds on requests to the process's own addresses.
pub const OWN_LIMITS: Limits = Limits {
    head_bytes: 8 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(30),
};

/// Settings that entries and agents have in common.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of some entries; only the host counts.
    pub seeds: Vec<SocketAddr>,
    /// Port at which entries listen for agents and other entries.
    pub peer_port: u16,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Least level of the log lines, or a filter.
    pub log_level: String,
    /// Bounds that keep two attempts of a job apart.
    pub safety: Safety,
    /// Time for a planned stop.
    pub stop_grace: Duration,
}

impl Settings {
    /// Adds the flags to a command.
    pub fn add_flags(command: Command) -> Command {
        command
            .arg(flag("name", "NAME", "Name of this VM, unique in the deployment").required(true))
            .arg(flag("data-centre", "NAME", "Data centre of this VM").required(true))
            .arg(flag("store", "IP:PORT", "Address of the platform's store").required(true))
            .arg(
                flag(
                    "seeds",
                    "IP:PORT,...",
                    "Hosts of some entries; the others are learnt",
                )
                .default_value(""),
            )
            .arg(
                flag(
                    "peer-port",
                    "PORT",
                    "Port of entries for agents and other entries",
                )
                .required(true),
            )
            .arg(
                flag("metrics-listen", "IP:PORT", "Address of the metrics")
                    .default_value("127.0.0.1:9464"),
            )
            .arg(flag("log-level", "LEVEL", "Least level, or a filter").default_value("info"))
            .arg(
                flag(
                    "resubmit-ms",
                    "MS",
                    "Delay after which callers submit a job again whose connection broke",
                )
                .default_value("1300"),
            )
            .arg(
                flag(
                    "longest-lease-ms",
                    "MS",
                    "Longest lease that backend servers grant",
                )
                .default_value("1000"),
            )
            .arg(
                flag(
                    "grace-s",
                    "S",
                    "Time for a planned stop, after which the platform kills",
                )
                .default_value("6"),
            )
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Fails if a setting is not allowed.
    pub fn read(matches: &ArgMatches) -> Result<Self, Error> {
        const ADDRESS: &str = "an address such as 10.0.0.1:8080";
        const SEEDS: &str = "addresses separated by commas, or nothing";
        let list = read::<String>(matches, "seeds", SEEDS)?;
        let seeds = list
            .split(',')
            .map(str::trim)
            .filter(|seed| !seed.is_empty())
            .map(str::parse)
            .collect::<Result<Vec<SocketAddr>, _>>()
            .map_err(|_error| Error::new("seeds", &list, SEEDS))?;
        let millis = |name: &str, least: u64| {
            read_within(matches, name, least, 60_000).map(Duration::from_millis)
        };
        let grace = read::<f64>(matches, "grace-s", "seconds above 0")?;
        if !(0.1..=3_600.0).contains(&grace) {
            return Err(Error::new("grace-s", grace, "seconds from 0.1 to 3600"));
        }
        Ok(Self {
            name: read_name(matches, "name")?,
            data_centre: read_name(matches, "data-centre")?,
            store_address: read(matches, "store", ADDRESS)?,
            seeds,
            peer_port: read_within(matches, "peer-port", 1, 65_535)? as u16,
            metrics_address: read(matches, "metrics-listen", ADDRESS)?,
            log_level: read(matches, "log-level", "any text")?,
            safety: Safety::new(
                millis("resubmit-ms", 300)?,
                millis("longest-lease-ms", 100)?,
            ),
            stop_grace: Duration::from_secs_f64(grace),
        })
    }

    /// Returns where the seeds listen for agents and other entries.
    pub fn seed_peer_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
    }
}

/// Runs a process on this thread until its future ends.
///
/// # Errors
/// Fails if the runtime cannot start or the future fails.
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

/// Runs a process with its logs on standard output until its future ends.
///
/// # Errors
/// Fails if the process cannot start.
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

/// Starts what each process does beside its work: it says whether its safety bounds hold, writes its
/// logs and serves its metrics.
pub fn spawn_background_tasks(settings: &Settings, logs: LogBatches, metrics: Metrics) {
    log_safety_check(&settings.safety);
    spawn_local(flush_logs(logs));
    spawn_local(serve_metrics(settings.metrics_address, metrics));
}

/// Keeps a connection to each address: `known` returns those known now, `grew` is rung when there
/// are more, and `dial` runs once for each and connects again by itself.
pub async fn connect_to_all<K, D, F>(
    seeds: Vec<SocketAddr>,
    members_grew: &Notify,
    known: K,
    dial: D,
) where
    K: Fn() -> Vec<SocketAddr>,
    D: Fn(SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    let mut connecting: HashSet<SocketAddr> = HashSet::new();
    let mut wanted = seeds;
    loop {
        for address in wanted {
            if connecting.insert(address) {
                spawn_local(dial(address));
            }
        }
        let growth = members_grew.notified();
        wanted = known();
        if wanted.iter().all(|address| connecting.contains(address)) {
            growth.await;
            wanted = known();
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// Fails if nobody answers in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(stream.context("no connection in time")??)
}

/// Waits for a message of a peer, twice as long of one that says little.
///
/// # Errors
/// Fails if the connection ends or the peer is silent for too long.
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

/// Attends connections to one address, one after another; `attend` returns whether there was one.
pub async fn reconnect_forever<A, F>(attend: A)
where
    A: Fn() -> F,
    F: Future<Output = bool>,
{
    let mut lost_at = Instant::now();
    loop {
        if attend().await {
            lost_at = Instant::now();
        }
        tokio::time::sleep(redial_pause(lost_at.elapsed())).await;
    }
}

/// Writes a log line of a decision.
pub fn log_note(prefix: &str, note: &Note) {
    let level = match note.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
    };
    log::log!(level, "{prefix}: {} {}", note.text, note.fields);
}

/// Warns if the safety bounds cannot be met.
fn log_safety_check(safety: &Safety) {
    match safety.check() {
        Ok(()) => log::info!(
            "serve: Safety bounds hold. silence_ms={} stop_patience_ms={} lease_ms={} resubmit_ms={}",
            safety.silence.as_millis(),
            safety.stop_patience.as_millis(),
            safety.lease.as_millis(),
            safety.resubmit.as_millis()
        ),
        Err(error) => log::error!("serve: {error}."),
    }
}

/// Writes the gathered log lines now and then.
async fn flush_logs(logs: LogBatches) {
    loop {
        tokio::time::sleep(LOG_FLUSH_INTERVAL).await;
        logs.flush();
    }
}

/// Serves the metrics. A process without them still does its work.
async fn serve_metrics(address: SocketAddr, metrics: Metrics) {
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let answer = move |_call| {
                let body = metrics.encode_text();
                async move { Reply::new(http::StatusCode::OK).with_body(body) }
            };
            web::serve(listener, || OWN_LIMITS, answer).await;
        }
        Err(error) => log::warn!("metrics: Cannot listen. address={address} error={error}"),
    }
}

/// The signals that matter to a process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Starts to listen.
    ///
    /// # Errors
    /// Fails if the system refuses.
    pub fn new() -> Result<Self> {
        let listen = |kind| signal(kind).context("cannot listen for signals");
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for a planned stop.
    pub async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::info!("serve: Reload asked. All settings are flags, nothing changes.");
                }
            }
        }
    }
}
