//! Runs an entry for jobs that are not recorded durably and that callers submit again if they are
//! lost (the subcommand `spool`). Everything runs on one thread.

pub mod callers;
pub mod catalogue_wait;
pub mod driver;
mod links;
mod metrics;
mod settings;
mod store_sync;

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ibisspool_kernel::connection_limits::ConnectionLimiters;
use ibisspool_kernel::log::LogBatches;
use ibisspool_kernel::spool::{self as common, Signals};
use ibisspool_kernel::web::{self, ShutdownTrigger};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use driver::Driver;
pub use settings::Settings;

/// Interval of the ticks, which drive the timeouts of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which gauges are set. Metrics are scraped every few seconds.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time until the platform has noticed that this entry is not ready and sends no more connections:
/// the platform needs two failed readiness checks a second apart, and may just have had a
/// successful one.
const READINESS_CHECK_DELAY: Duration = Duration::from_millis(3_200);

/// Part of the stop grace that is reserved for sending the last answers.
const ANSWER_FLUSH_TIME: Duration = Duration::from_millis(300);

/// Runs an entry until a signal stops it and its connections are closed or the stop grace is over.
///
/// # Errors
/// Fails if an address cannot be listened on or a signal handler is refused.
pub fn run(settings: &Settings) -> Result<()> {
    common::run(&settings.common, |logs| serve(settings, logs))
}

async fn serve(settings: &Settings, logs: LogBatches) -> Result<()> {
    let common = &settings.common;
    let driver = Driver::new(settings);
    log::info!(
        "serve: Entry starts. name={} data_centre={} listen={} peers={} vm_up_ms={}",
        common.name,
        common.data_centre,
        settings.listen,
        settings.peer_listen,
        driver.vm_time_at_start().as_millis()
    );
    let callers = bind(settings.listen, "callers").await?;
    let ready = bind(settings.ready_listen, "readiness").await?;
    let peers = bind(settings.peer_listen, "agents and entries").await?;

    let limiters = ConnectionLimiters::new(&common.connection_limits, &driver.metrics());
    common::spawn_background_tasks(common, logs, driver.metrics(), limiters.metrics.clone());
    let (mut shutdown, shutdown_signal) = web::shutdown_pair();
    spawn_local(callers::serve(
        limiters.requests,
        callers,
        Rc::clone(&driver),
        shutdown_signal,
    ));
    spawn_local(callers::serve_readiness(
        limiters.readiness,
        ready,
        Rc::clone(&driver),
    ));
    spawn_local(links::serve(limiters.peers, peers, Rc::clone(&driver)));
    spawn_local(links::connect_to_entries(
        Rc::clone(&driver),
        common.seed_peer_addresses().collect(),
    ));
    spawn_local(store_sync::sync_catalogue(
        Rc::clone(&driver),
        common.store_address,
    ));
    spawn_local(store_sync::sync_members(
        Rc::clone(&driver),
        common.store_address,
    ));
    spawn_local(tick_forever(Rc::clone(&driver)));
    spawn_local(update_gauges_forever(Rc::clone(&driver)));

    Signals::new()?.wait_for_stop().await;
    drain(&driver, &mut shutdown, common.stop_grace).await;
    Ok(())
}

async fn bind(address: std::net::SocketAddr, audience: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {audience} on {address}; is it in use?"))
}

async fn tick_forever(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        driver.tick();
    }
}

async fn update_gauges_forever(driver: Rc<Driver>) {
    loop {
        driver.update_gauges();
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}

/// Answers the open jobs. Connections are accepted and served until the platform has noticed that
/// the entry is not ready; then those without a request are closed, and the others after their
/// answer.
async fn drain(driver: &Driver, shutdown: &mut ShutdownTrigger, stop_grace: Duration) {
    let started_at = Instant::now();
    let drain_limit = stop_grace.saturating_sub(ANSWER_FLUSH_TIME);
    driver.start_drain(drain_limit.saturating_sub(ANSWER_FLUSH_TIME));
    log::info!("serve: Planned stop. jobs={}", driver.open_jobs());
    tokio::time::sleep(READINESS_CHECK_DELAY.min(drain_limit)).await;
    let time_left = drain_limit.saturating_sub(started_at.elapsed());
    if tokio::time::timeout(time_left, shutdown.close())
        .await
        .is_err()
    {
        log::warn!("serve: Connections are still open at the end of the stop grace.");
    }
    log::info!("serve: Stopped. jobs={}", driver.open_jobs());
}
