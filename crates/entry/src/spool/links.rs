//! TCP connections that agents open to this entry, and those between entries, over which they
//! gossip.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use ibisspool_core::spool::entry::{Peer, Route};
use ibisspool_core::spool::message::{
    AgentHello, Dialer, Gossip, Hello, Neighbourhood, QueueLoad, Report, VERSION,
};
use ibisspool_kernel::channel::{self, Receiver, Sender, WithPart};
use ibisspool_kernel::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use ibisspool_kernel::spool as common;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::driver::Driver;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of agents and other entries and serves them until the process ends.
/// The limiter limits the connections whose peer is not known yet.
pub async fn serve(limiter: ConnectionLimiter, listener: TcpListener, driver: Rc<Driver>) {
    loop {
        limiter.yield_if_full().await;
        match listener.accept().await {
            Ok((stream, from)) => {
                let Some(admitted) = limiter.admit(from.ip()) else {
                    continue;
                };
                let driver = Rc::clone(&driver);
                spawn_local(async move {
                    if let Err(error) = accept_peer(&driver, stream, from, admitted).await {
                        log::info!("links: A connection ended. from={from} error={error:#}");
                    }
                });
            }
            Err(error) => {
                log::warn!("links: Cannot accept a connection. error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_peer(
    driver: &Rc<Driver>,
    stream: TcpStream,
    from: SocketAddr,
    (permit, must_close): (ConnectionPermit, oneshot::Receiver<()>),
) -> Result<()> {
    let route = Route::new(from.ip(), stream.local_addr()?);
    let (sender, mut receiver) = channel::split(stream);
    receiver.expect_first_message();
    let hello: Hello = tokio::select! {
        hello = common::receive(&mut receiver, || false) => hello?,
        Ok(()) = must_close => bail!("closed for other connections before its first message"),
    };
    // A known peer no longer counts against the limit of unknown ones.
    drop(permit);
    receiver.allow_large_frames();
    if hello.version != VERSION {
        bail!(
            "the peer uses protocol version {}, this entry {VERSION}; run the same version on both",
            hello.version
        );
    }
    match hello.from {
        Dialer::Agent(agent) => serve_agent(driver, agent, route, sender, receiver).await,
        Dialer::Entry(_member) => serve_entry(driver, &sender, receiver).await,
    }
}

async fn serve_agent(
    driver: &Rc<Driver>,
    agent: AgentHello,
    route: Route,
    sender: Sender,
    mut receiver: Receiver,
) -> Result<()> {
    let connection = driver.add_agent_connection(agent, route, sender);
    let ended = loop {
        let is_idle_agent = || driver.read(|entry| entry.has_reduced_reporting(connection));
        match common::receive::<WithPart<Report, Neighbourhood>, _>(&mut receiver, is_idle_agent)
            .await
        {
            Ok(WithPart {
                message: report,
                part: neighbourhood,
            }) => driver.apply(|entry, now| {
                entry.handle_report_with_neighbourhood(connection, report, neighbourhood, now);
            }),
            Err(error) => break error,
        }
    };
    driver.remove_agent_connection(connection);
    Err(ended)
}

async fn serve_entry(driver: &Rc<Driver>, sender: &Sender, mut receiver: Receiver) -> Result<()> {
    let mut peer = Peer::default();
    loop {
        let gossip: WithPart<Gossip, QueueLoad> = common::receive(&mut receiver, || true).await?;
        driver.receive_gossip(gossip, &mut peer);
        sender.send(&driver.gossip_reply(&mut peer));
    }
}

/// Keeps a connection open to each other known entry: the seeds, and those that the store or other
/// entries name.
pub async fn connect_to_entries(driver: Rc<Driver>, mut seeds: Vec<SocketAddr>) {
    let own_address = driver.own_member().address;
    seeds.retain(|seed| *seed != own_address);
    let known_addresses = || {
        driver.read(|entry| {
            let addresses = entry.known_entries().iter().map(|member| member.address);
            addresses
                .filter(|address| *address != own_address)
                .collect()
        })
    };
    let keep_connected = |address| keep_entry_connected(Rc::clone(&driver), address);
    common::connect_to_all(seeds, &driver.members_grew, known_addresses, keep_connected).await;
}

async fn keep_entry_connected(driver: Rc<Driver>, address: SocketAddr) {
    common::reconnect_forever(|| async {
        let mut is_reached = false;
        let ended = gossip_with_entry(&driver, address, &mut is_reached).await;
        if is_reached && let Err(error) = ended {
            log::warn!(
                "links: The connection to an entry ended. address={address} error={error:#}"
            );
        }
        is_reached
    })
    .await;
}

async fn gossip_with_entry(
    driver: &Driver,
    address: SocketAddr,
    is_reached: &mut bool,
) -> Result<()> {
    let stream = common::connect(address).await?;
    let (sender, mut receiver) = channel::split(stream);
    sender.send(&Hello {
        version: VERSION,
        from: Dialer::Entry(driver.own_member().clone()),
    });
    let mut peer = Peer::default();
    loop {
        sender.send(&driver.gossip_request(&mut peer));
        let gossip: WithPart<Gossip, QueueLoad> = common::receive(&mut receiver, || false).await?;
        if !std::mem::replace(is_reached, true) {
            log::info!(
                "links: Connected to an entry. address={address} entry={}",
                gossip.message.from.name
            );
        }
        driver.receive_gossip(gossip, &mut peer);
        let now = driver.now();
        tokio::time::sleep(driver.read(|entry| entry.next_gossip_delay(now))).await;
    }
}
