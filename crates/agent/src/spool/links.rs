//! Connections to the entries, and how the agent learns their addresses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Error;
use ibisspool_core::spool::message::{Dialer, Hello, Order, StartKinds, VERSION};
use ibisspool_kernel::channel::{self, WithPart};
use ibisspool_kernel::spool as common;
use ibisspool_platform::store::Store;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::driver::Driver;

/// Delay after a failed query, and before the second one, which finds the entries that started at the
/// same time as this agent.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the queries to the store. In between, the entries tell the agent of new ones.
const STORE_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Keeps a connection open to each known entry: the seeds, those that the store lists and those
/// that other entries name.
pub async fn connect_to_entries(driver: Rc<Driver>, seeds: Vec<SocketAddr>, store: SocketAddr) {
    spawn_local(poll_store(Rc::clone(&driver), store));
    let known_addresses = || entry_addresses(&driver);
    let keep_connected = |address| keep_entry_connected(Rc::clone(&driver), address);
    common::connect_to_all(seeds, &driver.members_grew, known_addresses, keep_connected).await;
}

fn entry_addresses(driver: &Driver) -> Vec<SocketAddr> {
    driver
        .members()
        .iter()
        .map(|member| member.address)
        .collect()
}

/// Polls the store's list of entries, which includes those that no seed knows.
async fn poll_store(driver: Rc<Driver>, address: SocketAddr) {
    let store = Store::new(address);
    let mut is_unavailable = false;
    // After a total outage the seeds may start last, so that the list of before names the first
    // entries that can be reached.
    let mut next_interval = STORE_RETRY_INTERVAL;
    loop {
        let pause = match store.read_entries().await {
            Ok(members) => {
                is_unavailable = false;
                driver.add_members(members);
                std::mem::replace(&mut next_interval, STORE_POLL_INTERVAL)
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!("store: The store is unavailable. for=members error={error}");
                }
                STORE_RETRY_INTERVAL
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn keep_entry_connected(driver: Rc<Driver>, address: SocketAddr) {
    common::reconnect_forever(|| async {
        match common::connect(address).await {
            Ok(stream) => {
                let error = run_session(&driver, address, stream).await;
                log::debug!(
                    "links: A connection to an entry ended. address={address} error={error:#}"
                );
                true
            }
            Err(error) => {
                log::debug!("links: Cannot connect to an entry. address={address} error={error:#}");
                false
            }
        }
    })
    .await;
}

/// Handles the orders of an entry until the connection ends; returns why it ended.
async fn run_session(driver: &Rc<Driver>, address: SocketAddr, stream: TcpStream) -> Error {
    let (sender, mut receiver) = channel::split(stream);
    sender.send(&Hello {
        version: VERSION,
        from: Dialer::Agent(driver.hello()),
    });
    let connection = driver.add_entry_connection(&address.to_string(), sender);
    let ended = loop {
        let is_idle_entry = || driver.is_idle_connection(connection);
        match common::receive::<WithPart<Order, StartKinds>, _>(&mut receiver, is_idle_entry).await
        {
            Ok(WithPart {
                message: mut order,
                part: kinds,
            }) => {
                driver.add_members(std::mem::take(&mut order.members));
                driver.apply(|agent, now| {
                    agent.handle_order_with_kinds(connection, order, kinds, now);
                });
            }
            Err(error) => break error,
        }
    };
    driver.remove_entry_connection(connection);
    ended
}
