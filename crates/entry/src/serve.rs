//! Starts the threads of an entry, waits for a signal to stop and drains the entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};
use crossbeam::channel::Sender;
use ibisspool_core::control::Member;
use ibisspool_core::entry::{Entry, Event};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::connection_limits::ConnectionLimiters;
use ibisspool_kernel::part::{Kernel, PartName};
use ibisspool_kernel::{http, signal};
use tokio::runtime::{Builder, Runtime};

use crate::callers::{self, Context};
use crate::decider::Decider;
use crate::metrics::Metrics;
use crate::operator::{MAX_FILE_BYTES, OperatorInterface};
use crate::peers::Peers;
use crate::responder::Waiters;
use crate::settings::Settings;
use crate::store;

/// Threads of the runtime for gRPC: streams of agents and calls among entries.
const PEER_THREADS: usize = 2;

/// Time between the end of the drain and the end of the process, so that the last answers are sent.
const ANSWER_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// A running entry.
#[derive(Debug)]
pub struct Running {
    /// Address at which the entry listens for callers and operators.
    pub address: SocketAddr,
    /// Address at which the entry listens for agents and other entries.
    pub peer_address: SocketAddr,
    events: Sender<Event>,
    decider: JoinHandle<()>,
    runtime: Runtime,
}

impl Running {
    /// Returns a closure that starts a planned stop: no new jobs, accepted ones are answered.
    pub fn stop_trigger(&self) -> impl FnOnce() + Send + 'static {
        let events = self.events.clone();
        move || {
            let _ended = events.send(Event::Shutdown);
        }
    }

    /// Waits until a planned stop is complete and all callers are answered.
    pub fn wait(self) {
        let _panicked = self.decider.join();
        std::thread::sleep(ANSWER_FLUSH_DELAY);
        self.runtime.shutdown_background();
    }
}

/// Runs an entry until a signal stops it and it is drained.
///
/// # Errors
/// Fails if the entry cannot start or a signal handler is refused.
pub fn run(settings: &Settings) -> Result<()> {
    let name = &settings.name;
    let running = start(settings)?;
    log::info!(
        "serve: Entry {name} listens on {} for callers and {} for its peers.",
        running.address,
        running.peer_address
    );
    signal::on_stop_signal(running.stop_trigger())?;
    running.wait();
    log::info!("serve: Entry {name} has stopped.");
    Ok(())
}

/// Starts the threads of an entry. The table service need not be reachable yet.
///
/// # Errors
/// Fails if an address cannot be listened on.
pub fn start(settings: &Settings) -> Result<Running> {
    let kernel = Kernel::new();
    let clock = Clock::new();
    let metrics = Metrics::new();
    let ready = Arc::new(AtomicBool::new(false));
    let incarnation = rand::random::<u64>();
    let runtime = Builder::new_multi_thread()
        .worker_threads(PEER_THREADS)
        .thread_name("peers")
        .enable_all()
        .build()
        .context("cannot start the runtime for agents and other entries")?;

    let mailbox = kernel.register::<Event>(PartName::Decider);
    let events = kernel.find::<Event>(PartName::Decider)?;
    let waiters = Waiters::start(&kernel, &metrics)?;
    let handle = runtime.handle().clone();
    let peers = Peers::new(
        handle,
        events.clone(),
        waiters.clone(),
        metrics.clone(),
        clock,
        incarnation,
    );
    let limiters = ConnectionLimiters::new(&settings.connection_limits, metrics.registry());
    let peer_address = peers.serve(settings.peer_listen, limiters.peers)?;
    let operators = OperatorInterface::start(&kernel, settings.operator_token.clone(), &metrics)?;
    store::start(&kernel, &settings.table_service_url, clock, &metrics)?;

    let own_member = Member {
        name: settings.name.clone(),
        incarnation,
        address: peer_address.to_string(),
        data_centre: settings.data_centre.clone(),
    };
    let decider = Decider {
        entry: Entry::new(own_member, settings.timing, settings.bounds, incarnation),
        clock,
        peers,
        waiters: waiters.clone(),
        operators: operators.clone(),
        store: kernel.find(PartName::Store)?,
        metrics: metrics.clone(),
        ready: Arc::clone(&ready),
    };
    let decider = kernel.spawn(PartName::Decider, move || decider.run(&mailbox));

    let context = Context {
        events: events.clone(),
        waiters,
        operators,
        metrics,
        ready,
        max_body_bytes: settings.max_body_bytes,
        max_waiters: settings.bounds.max_waiters,
    };
    let address = http::serve(
        &kernel,
        settings.listen,
        limiters.requests,
        settings.max_body_bytes.max(MAX_FILE_BYTES),
        move |request| callers::handle(&context, request),
    )?;
    Ok(Running {
        address,
        peer_address,
        events,
        decider,
        runtime,
    })
}
