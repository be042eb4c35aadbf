//! Streams to the entries, one for each; they are opened again when they break.

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

/// Time within which an entry must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a broken stream is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Time between pings to an entry, and the wait for each.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Most bytes of one message between processes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The edge to the entries. Clones share it.
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
    /// Makes the edge; `seeds` are always tried, whatever the entries say.
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

    /// Keeps a stream to each of the entries and the seeds, and to no other.
    pub fn attach(&self, entries: Vec<String>) {
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

    /// Sends a report over a stream; one for a closed stream is dropped.
    pub fn report(&self, link: u64, report: Report) {
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
                log::debug!("links: No stream to {entry}: {error:#}.");
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Opens a stream and reads it to its end.
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
        let _ended = self.events.send(Event::Attached { link });
        log::info!("links: Attached to the entry at {entry}.");
        self.forward_orders(link, orders).await;
        self.streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&link);
        let _ended = self.events.send(Event::Detached { link });
        log::info!("links: Lost the entry at {entry}.");
        Ok(())
    }

    async fn forward_orders(&self, link: u64, mut orders: Streaming<wire::Order>) {
        while let Ok(Some(order)) = orders.message().await {
            match decode::order(order) {
                Ok(order) => {
                    let _ended = self.events.send(Event::Ordered { link, order });
                }
                Err(error) => {
                    self.metrics.malformed_messages.inc();
                    log::warn!("links: An order was refused: {error}.");
                }
            }
        }
    }
}
