//! gRPC streams to the entries: one to each, reopened whenever it breaks. Reports go out and orders
//! come in over the same stream.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use ibisspool_core::agent::Event;
use ibisspool_core::frame::Report;
use ibisspool_wire::generated as wire;
use ibisspool_wire::generated::link_client::LinkClient;
use ibisspool_wire::{decode, encode};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

use crate::metrics::Metrics;

/// Time limit for opening a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a broken stream is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Interval of the HTTP/2 keep-alive pings, and the time limit for the answer to each.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest accepted message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The streams to the entries, by the number of the link. Clones share them.
#[derive(Debug, Clone)]
pub struct Links {
    streams: Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<wire::Report>>>>,
    wanted_entries: Arc<Mutex<HashSet<String>>>,
    seeds: Arc<HashSet<String>>,
    next_link_id: Arc<AtomicU64>,
    runtime: tokio::runtime::Handle,
    events: Sender<Event>,
    metrics: Metrics,
}

impl Links {
    /// Creates the state without any stream. Streams to `seeds` are kept open whichever entries
    /// [`Links::set_entries`] names.
    pub fn new(
        runtime: tokio::runtime::Handle,
        events: Sender<Event>,
        metrics: Metrics,
        seeds: &[String],
    ) -> Self {
        Self {
            streams: Arc::default(),
            wanted_entries: Arc::default(),
            seeds: Arc::new(seeds.iter().cloned().collect()),
            next_link_id: Arc::new(AtomicU64::new(1)),
            runtime,
            events,
            metrics,
        }
    }

    /// Keeps a stream open to each of the entries and seeds. A stream to any other entry stays open
    /// until it breaks and is not reopened.
    pub fn set_entries(&self, entries: Vec<String>) {
        let mut wanted_entries = self
            .wanted_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entries: HashSet<String> = entries
            .into_iter()
            .chain(self.seeds.iter().cloned())
            .collect();
        for entry in entries.difference(&wanted_entries) {
            self.runtime
                .spawn(self.clone().keep_connected(entry.clone()));
        }
        *wanted_entries = entries;
    }

    /// Sends a report over the stream of a link. If that stream is closed, the report is dropped.
    pub fn send_report(&self, link: u64, report: Report) {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stream) = streams.get(&link) {
            let _closed = stream.send(encode::report(report));
        }
    }

    fn is_wanted(&self, entry: &str) -> bool {
        self.wanted_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(entry)
    }

    async fn keep_connected(self, entry: String) {
        while self.is_wanted(&entry) {
            if let Err(error) = self.run_session(&entry).await {
                log::debug!("links: Cannot open a stream to {entry}: {error:#}.");
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Opens a stream to an entry and passes its orders on until the stream ends.
    async fn run_session(&self, entry: &str) -> anyhow::Result<()> {
        let channel = Endpoint::from_shared(format!("http://{entry}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .connect()
            .await?;
        let mut client = LinkClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let (sender, receiver) = mpsc::unbounded_channel();
        let orders = client
            .attach(UnboundedReceiverStream::new(receiver))
            .await?
            .into_inner();
        let link = self.next_link_id.fetch_add(1, Ordering::Relaxed);
        self.streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(link, sender);
        let _ended = self.events.send(Event::Connected { link });
        log::info!("links: Opened a stream to the entry at {entry}.");
        self.forward_orders(link, orders).await;
        self.streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&link);
        let _ended = self.events.send(Event::Disconnected { link });
        log::info!("links: The stream to the entry at {entry} ended.");
        Ok(())
    }

    async fn forward_orders(&self, link: u64, mut orders: Streaming<wire::Order>) {
        while let Ok(Some(order)) = orders.message().await {
            match decode::order(order) {
                Ok(order) => {
                    let _ended = self.events.send(Event::OrderReceived { link, order });
                }
                Err(error) => {
                    self.metrics.malformed_messages.inc();
                    log::warn!("links: Ignored an order that cannot be decoded: {error}.");
                }
            }
        }
    }
}
