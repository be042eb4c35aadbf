//! Connections to the entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Error;
use ibisspool_core::spool::message::{Caller, Hello, Order, VERSION};
use ibisspool_kernel::channel;
use ibisspool_kernel::spool as common;
use ibisspool_platform::store::Store;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::hub::Hub;

/// Time after which an agent that knows few entries asks the store for them.
const ASK_STORE: Duration = Duration::from_secs(1);

/// Time between two questions to the store; entries tell of each other meanwhile.
const ASK_STORE_AGAIN: Duration = Duration::from_secs(10);

/// Keeps a connection to each entry that is known.
pub async fn dial_members(hub: Rc<Hub>, seeds: Vec<SocketAddr>, store: SocketAddr) {
    spawn_local(ask_store(Rc::clone(&hub), store));
    let known = || addresses(&hub);
    let dial = |address| dial(Rc::clone(&hub), address);
    common::connect_to_all(seeds, &hub.members_grew, known, dial).await;
}

fn addresses(hub: &Hub) -> Vec<SocketAddr> {
    hub.members().iter().map(|member| member.address).collect()
}

/// Learns of entries that no seed leads to.
async fn ask_store(hub: Rc<Hub>, address: SocketAddr) {
    let store = Store::new(address);
    let mut lost = false;
    tokio::time::sleep(ASK_STORE).await;
    loop {
        let pause = match store.members().await {
            Ok(members) => {
                lost = false;
                hub.learn_members(members);
                ASK_STORE_AGAIN
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("store: Lost. for=members error={error}");
                }
                ASK_STORE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn dial(hub: Rc<Hub>, address: SocketAddr) {
    common::reconnect_forever(|| async {
        match common::connect(address).await {
            Ok(stream) => {
                let error = attend(&hub, address, stream).await;
                log::debug!("links: A connection ended. address={address} error={error:#}");
                true
            }
            Err(error) => {
                log::debug!("links: No connection. address={address} error={error:#}");
                false
            }
        }
    })
    .await;
}

/// Handles the orders of an entry until the connection ends; returns why it did.
async fn attend(hub: &Rc<Hub>, address: SocketAddr, stream: TcpStream) -> Error {
    let (sender, mut receiver) = channel::split(stream);
    sender.send(&Hello {
        version: VERSION,
        from: Caller::Agent(hub.hello()),
    });
    let link = hub.connect(&address.to_string(), sender);
    let ended = loop {
        match common::receive::<Order, _>(&mut receiver, || hub.rests(link)).await {
            Ok(mut order) => {
                hub.learn_members(std::mem::take(&mut order.members));
                hub.decide(|agent, now| agent.order(link, order, now));
            }
            Err(error) => break error,
        }
    };
    hub.disconnect(link);
    ended
}
