//! Starts the threads of an agent, waits for a signal to stop and drains the agent.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};
use crossbeam::channel::Sender;
use ibisspool_core::agent::{Agent, Event};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::connection_limits::ConnectionLimiters;
use ibisspool_kernel::part::{Kernel, PartName};
use ibisspool_kernel::{http, signal};
use tokio::runtime::{Builder, Runtime};

use crate::announce::{self, BackendAddress, Context};
use crate::decider::Decider;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::runner::{self, RunnerPool, StartRequest};
use crate::settings::Settings;

/// Time between the end of the drain and the end of the streams, so that the last reports are sent.
const REPORT_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// A running agent.
#[derive(Debug)]
pub struct Running {
    /// Address at which the agent listens for its backend server.
    pub address: SocketAddr,
    events: Sender<Event>,
    decider: JoinHandle<()>,
    runtime: Runtime,
}

impl Running {
    /// Returns a closure that starts a planned stop: no new tasks, running ones may end.
    pub fn stop_trigger(&self) -> impl FnOnce() + Send + 'static {
        let events = self.events.clone();
        move || {
            let _ended = events.send(Event::Shutdown);
        }
    }

    /// Waits until a planned stop is complete: all tasks have ended and the entries have
    /// acknowledged the outcomes.
    pub fn wait(self) {
        let _panicked = self.decider.join();
        std::thread::sleep(REPORT_FLUSH_DELAY);
        self.runtime.shutdown_background();
    }
}

/// Runs an agent until a signal stops it and it is drained.
///
/// # Errors
/// Fails if the agent cannot start or a signal handler is refused.
pub fn run(settings: &Settings) -> Result<()> {
    let name = &settings.name;
    let running = start(settings)?;
    log::info!(
        "serve: Agent {name} listens on {} for its backend server.",
        running.address
    );
    signal::on_stop_signal(running.stop_trigger())?;
    running.wait();
    log::info!("serve: Agent {name} has stopped.");
    Ok(())
}

/// Starts the threads of an agent.
///
/// # Errors
/// Fails if the address for the backend server cannot be listened on.
pub fn start(settings: &Settings) -> Result<Running> {
    let kernel = Kernel::new();
    let clock = Clock::new();
    let metrics = Metrics::new();
    let backend_address = BackendAddress::default();
    let incarnation = rand::random::<u64>();
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("links")
        .enable_all()
        .build()
        .context("cannot start the runtime for the streams to the entries")?;

    let mailbox = kernel.register::<Event>(PartName::Decider);
    let events = kernel.find::<Event>(PartName::Decider)?;
    let starts = kernel.register::<StartRequest>(PartName::Runner);
    let handle = runtime.handle().clone();
    let links = Links::new(handle, events.clone(), metrics.clone(), &settings.entries);
    links.set_entries(Vec::new());

    let runner = runner::Context {
        starts,
        events: events.clone(),
        backend_address: backend_address.clone(),
        clock,
        metrics: metrics.clone(),
        max_answer_bytes: settings.max_answer_bytes,
    };
    let decider = Decider {
        agent: Agent::new(
            &settings.name,
            &settings.data_centre,
            incarnation,
            settings.timing,
        )
        .with_bounds(settings.bounds)
        .with_announcement_timeout(settings.announcement_timeout),
        clock,
        links,
        runner: RunnerPool::new(&kernel, runner),
        starts: kernel.find(PartName::Runner)?,
        metrics: metrics.clone(),
    };
    let decider = kernel.spawn(PartName::Decider, move || decider.run(&mailbox));

    let limiters = ConnectionLimiters::new(&settings.connection_limits, metrics.registry());
    let context = Context {
        events: events.clone(),
        backend_address,
        metrics,
        max_slots: settings.max_slots,
    };
    let address = http::serve(
        &kernel,
        settings.listen,
        limiters.requests,
        announce::MAX_BODY_BYTES,
        move |request| announce::handle(&context, request),
    )?;
    Ok(Running {
        address,
        events,
        decider,
        runtime,
    })
}
