//! Keeps two things in step with the platform's store: the catalogue, which operators write, and
//! the list of entries, to which this entry adds itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ibisspool_core::spool::reconnect::store_retry_delay;
use ibisspool_platform::store::{Error, OperatorTable, Store};

use super::driver::Driver;

/// Delay before a retry. It is short because changes of the catalogue must be in force within two
/// seconds.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval of the queries for the list of entries. In between, the entries tell each other of new
/// ones.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Number of times that the catalogue is read again after the store has compacted its history. A
/// single read may be stale, and no watch would report what it missed.
const READS_AFTER_COMPACTION: u32 = 8;

/// Remembers whether the store answered last time, so that only changes are logged.
struct StoreAvailability {
    purpose: &'static str,
    is_unavailable: bool,
}

impl StoreAvailability {
    fn log_change<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) if self.is_unavailable => {
                self.is_unavailable = false;
                log::info!("store: The store is available again. for={}", self.purpose);
            }
            Err(error) if !self.is_unavailable => {
                self.is_unavailable = true;
                log::warn!(
                    "store: The store is unavailable. for={} error={error}",
                    self.purpose
                );
            }
            Ok(_) | Err(_) => {}
        }
    }
}

/// Keeps the catalogue up to date: reads it, then watches the store for changes, and reads it again
/// whenever the watch may have missed one.
pub async fn sync_catalogue(driver: Rc<Driver>, address: SocketAddr) {
    let store = Store::new(address);
    let mut table = OperatorTable::default();
    let mut availability = StoreAvailability {
        purpose: "catalogue",
        is_unavailable: false,
    };
    let mut reads_left = 1;
    let mut answered_at = Instant::now();
    loop {
        let result = if reads_left > 0 {
            store.read_operator_table(&mut table).await.map(|()| true)
        } else {
            store.watch_operator_table(&mut table).await
        };
        availability.log_change(&result);
        match result {
            Ok(changed) => {
                answered_at = Instant::now();
                if changed && let Some(snapshot) = table.build_catalogue() {
                    apply_if_changed(&driver, snapshot);
                }
                reads_left = u32::saturating_sub(reads_left, 1);
                if reads_left > 0 {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(Error::Compacted) => {
                log::warn!(
                    "store: The history was compacted, so the catalogue is read again. version={}",
                    table.version()
                );
                reads_left = READS_AFTER_COMPACTION;
            }
            Err(_) => {
                // The watch may have missed a change, so read once before watching again.
                reads_left = reads_left.max(1);
                tokio::time::sleep(store_retry_delay(answered_at.elapsed())).await;
            }
        }
    }
}

/// Applies a catalogue if its content differs from the present one.
fn apply_if_changed(driver: &Driver, snapshot: ibisspool_core::spool::catalogue::Snapshot) {
    let is_unchanged = driver.read(|entry| {
        entry
            .catalogue()
            .is_some_and(|known| known.has_same_content(&snapshot))
    });
    if !is_unchanged {
        driver.set_catalogue(Arc::new(snapshot), "store");
    }
}

/// Adds this entry to the store's list of entries and polls the list for the others.
pub async fn sync_members(driver: Rc<Driver>, address: SocketAddr) {
    let store = Store::new(address);
    let mut availability = StoreAvailability {
        purpose: "members",
        is_unavailable: false,
    };
    let mut is_listed = false;
    let mut answered_at = Instant::now();
    loop {
        if !is_listed {
            let result = store.register_entry(driver.own_member()).await;
            availability.log_change(&result);
            is_listed = result.is_ok();
        }
        let listed = store.read_entries().await;
        availability.log_change(&listed);
        if listed.is_ok() {
            answered_at = Instant::now();
        }
        let pause = match listed {
            Ok(members) if is_listed => {
                driver.add_members(&members);
                MEMBER_POLL_INTERVAL
            }
            Ok(members) => {
                driver.add_members(&members);
                RETRY_DELAY
            }
            Err(_) => store_retry_delay(answered_at.elapsed()) * 2,
        };
        tokio::time::sleep(pause).await;
    }
}
