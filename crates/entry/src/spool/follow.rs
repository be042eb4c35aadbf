//! Follows the store: the operators' catalogue and the list of entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_platform::store::{Error, Store, Table};

use super::hub::Hub;

/// Pause before another try; changes have to be in force within two seconds.
const AGAIN: Duration = Duration::from_millis(250);

/// Time between two looks at the list of entries; they also tell each other.
const MEMBERS_AGAIN: Duration = Duration::from_secs(5);

/// Rounds in which the table is read anew after its history was dropped: reads may be stale then.
const READS_AFTER_COMPACTION: u32 = 8;

/// Whether the store is there, so that only changes are logged.
struct Contact {
    what: &'static str,
    lost: bool,
}

impl Contact {
    fn note<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) if self.lost => {
                self.lost = false;
                log::info!("store: Reached again. for={}", self.what);
            }
            Err(error) if !self.lost => {
                self.lost = true;
                log::warn!("store: Lost. for={} error={error}", self.what);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

/// Keeps the catalogue up to date.
pub async fn catalogue(hub: Rc<Hub>, address: SocketAddr) {
    let store = Store::new(address);
    let mut table = Table::default();
    let mut contact = Contact {
        what: "catalogue",
        lost: false,
    };
    let mut reads = 1;
    loop {
        let result = if reads > 0 {
            store.read(&mut table).await.map(|()| true)
        } else {
            store.watch(&mut table).await
        };
        contact.note(&result);
        match result {
            Ok(changed) => {
                if changed && let Some(snapshot) = table.snapshot() {
                    publish(&hub, snapshot);
                }
                reads = u32::saturating_sub(reads, 1);
                if reads > 0 {
                    tokio::time::sleep(AGAIN).await;
                }
            }
            Err(Error::Compacted) => {
                log::warn!(
                    "store: The history was dropped. version={}",
                    table.version()
                );
                reads = READS_AFTER_COMPACTION;
            }
            Err(_) => {
                // The watch may have missed something: read before watching again.
                reads = reads.max(1);
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

/// Takes a catalogue into force if it says something new.
fn publish(hub: &Hub, snapshot: ibisspool_core::spool::catalogue::Snapshot) {
    let same = hub.look(|entry| {
        entry
            .catalogue()
            .is_some_and(|known| known.same_content(&snapshot))
    });
    if !same {
        hub.set_catalogue(Arc::new(snapshot), "store");
    }
}

/// Writes this entry down and learns of the others.
pub async fn members(hub: Rc<Hub>, address: SocketAddr) {
    let store = Store::new(address);
    let mut contact = Contact {
        what: "members",
        lost: false,
    };
    let mut joined = false;
    loop {
        if !joined {
            let result = store.join(hub.me()).await;
            contact.note(&result);
            joined = result.is_ok();
        }
        let listed = store.members().await;
        contact.note(&listed);
        let pause = match listed {
            Ok(members) if joined => {
                hub.learn_members(&members);
                MEMBERS_AGAIN
            }
            Ok(members) => {
                hub.learn_members(&members);
                AGAIN
            }
            Err(_) => AGAIN * 2,
        };
        tokio::time::sleep(pause).await;
    }
}
