//! Follows the store: the operators' catalogue and the list of entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_platform::store::{Error, Store, Table};

use super::hub::Hub;

/// Pause before another try; changes have to be in force within two seconds.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between two looks at the list of entries; they also tell each other.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Rounds in which the table is read anew after its history was dropped: reads may be stale then.
const READS_AFTER_COMPACTION: u32 = 8;

/// Whether the store is there, so that only changes are logged.
struct StoreAvailability {
    purpose: &'static str,
    is_lost: bool,
}

impl StoreAvailability {
    fn log_change<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) if self.is_lost => {
                self.is_lost = false;
                log::info!("store: Reached again. for={}", self.purpose);
            }
            Err(error) if !self.is_lost => {
                self.is_lost = true;
                log::warn!("store: Lost. for={} error={error}", self.purpose);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

/// Keeps the catalogue up to date.
pub async fn sync_catalogue(hub: Rc<Hub>, address: SocketAddr) {
    let store = Store::new(address);
    let mut table = Table::default();
    let mut availability = StoreAvailability {
        purpose: "catalogue",
        is_lost: false,
    };
    let mut reads_left = 1;
    loop {
        let result = if reads_left > 0 {
            store.read(&mut table).await.map(|()| true)
        } else {
            store.watch(&mut table).await
        };
        availability.log_change(&result);
        match result {
            Ok(changed) => {
                if changed && let Some(snapshot) = table.snapshot() {
                    apply_if_changed(&hub, snapshot);
                }
                reads_left = u32::saturating_sub(reads_left, 1);
                if reads_left > 0 {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(Error::Compacted) => {
                log::warn!(
                    "store: The history was dropped. version={}",
                    table.version()
                );
                reads_left = READS_AFTER_COMPACTION;
            }
            Err(_) => {
                // The watch may have missed something: read before watching again.
                reads_left = reads_left.max(1);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Takes a catalogue into force if it says something new.
fn apply_if_changed(hub: &Hub, snapshot: ibisspool_core::spool::catalogue::Snapshot) {
    let same = hub.read(|entry| {
        entry
            .catalogue()
            .is_some_and(|known| known.same_content(&snapshot))
    });
    if !same {
        hub.set_catalogue(Arc::new(snapshot), "store");
    }
}

/// Writes this entry down and learns of the others.
pub async fn sync_members(hub: Rc<Hub>, address: SocketAddr) {
    let store = Store::new(address);
    let mut availability = StoreAvailability {
        purpose: "members",
        is_lost: false,
    };
    let mut joined = false;
    loop {
        if !joined {
            let result = store.join(hub.own_member()).await;
            availability.log_change(&result);
            joined = result.is_ok();
        }
        let listed = store.members().await;
        availability.log_change(&listed);
        let pause = match listed {
            Ok(members) if joined => {
                hub.add_members(&members);
                MEMBER_POLL_INTERVAL
            }
            Ok(members) => {
                hub.add_members(&members);
                RETRY_DELAY
            }
            Err(_) => RETRY_DELAY * 2,
        };
        tokio::time::sleep(pause).await;
    }
}
