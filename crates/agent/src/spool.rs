//! Runs an agent for jobs that are not recorded durably and that callers submit again if they are
//! lost (the subcommand `spool`). Everything runs on one thread.

mod driver;
mod links;
mod metrics;
mod server;
mod settings;

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ibisspool_core::spool::agent::TICK_INTERVAL;
use ibisspool_kernel::connection_limits::ConnectionLimiters;
use ibisspool_kernel::log::LogBatches;
use ibisspool_kernel::spool::{self as common, Signals};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use driver::Driver;
pub use settings::Settings;

/// Part of the stop grace that is reserved for sending the last reports.
const REPORT_FLUSH_TIME: Duration = Duration::from_secs(1);

/// Runs an agent until a signal stops it and its tasks have ended or the stop grace is over.
///
/// # Errors
/// Fails if the address for announcements cannot be listened on or a signal handler is refused.
pub fn run(settings: &Settings) -> Result<()> {
    common::run(&settings.common, |logs| serve(settings, logs))
}

async fn serve(settings: &Settings, logs: LogBatches) -> Result<()> {
    let common = &settings.common;
    log::info!(
        "serve: Agent starts. name={} data_centre={} server={}",
        common.name,
        common.data_centre,
        settings.backend_address
    );
    let driver = Driver::new(settings);
    let announcements = TcpListener::bind(settings.announcement_listen)
        .await
        .with_context(|| {
            format!(
                "cannot listen on {}; is it in use?",
                settings.announcement_listen
            )
        })?;

    let limiters = ConnectionLimiters::new(&common.connection_limits, &driver.metrics());
    common::spawn_background_tasks(common, logs, driver.metrics(), limiters.metrics.clone());
    spawn_local(server::serve(
        limiters.requests,
        announcements,
        Rc::clone(&driver),
    ));
    spawn_local(server::poll_task_lists(Rc::clone(&driver)));
    spawn_local(server::poll_task_lists_while_unanswered(Rc::clone(&driver)));
    spawn_local(links::connect_to_entries(
        Rc::clone(&driver),
        common.seed_peer_addresses().collect(),
        common.store_address,
    ));
    spawn_local(tick_forever(Rc::clone(&driver)));

    Signals::new()?.wait_for_stop().await;
    drain(&driver, common.stop_grace).await;
    Ok(())
}

async fn tick_forever(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        driver.tick();
    }
}

/// Waits until the running tasks have ended, at most until shortly before the end of the stop
/// grace.
async fn drain(driver: &Rc<Driver>, stop_grace: Duration) {
    let started_at = Instant::now();
    driver.start_drain();
    log::info!("serve: Planned stop. tasks={}", driver.task_count());
    let drain_limit = stop_grace.saturating_sub(REPORT_FLUSH_TIME);
    while started_at.elapsed() < drain_limit && driver.task_count() > 0 {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    // The outcomes of the last tasks are sent with the reports of the next tick.
    tokio::time::sleep(TICK_INTERVAL * 2).await;
    log::info!("serve: Stopped. tasks={}", driver.task_count());
}
