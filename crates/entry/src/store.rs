//! Client of the platform's table service, and the thread that calls it.
//!
//! This is the only module that knows the protocol of the service. Rows have versions, and a write
//! succeeds only if the row still has the expected version (compare-and-set).

use std::time::Duration;

use anyhow::{Context, Result, bail};
use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::catalogue::Catalogue;
use ibisspool_core::control::Row;
use ibisspool_core::entry::Event;
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::part::{Kernel, PartName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::metrics::Metrics;

/// Time limit for one call of the table service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A read or write that the decider asks for; the result comes back as an event.
#[derive(Debug, Clone)]
pub enum Request {
    /// Read the control row.
    ReadRow,
    /// Write the control row if its version is still `expect`.
    WriteRow {
        /// Version that the write replaces; 0 if there is no row.
        expect: u64,
        /// The new row.
        row: Row,
    },
    /// Read the catalogue of a version.
    ReadCatalogue {
        /// Version of the catalogue, a part of the row's key.
        version: u64,
    },
    /// Write the catalogue of a version that must not exist yet.
    WriteCatalogue {
        /// Version of the catalogue, a part of the row's key.
        version: u64,
        /// Owners and kinds of the catalogue.
        catalogue: Catalogue,
    },
}

/// A row of the table service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version of the row; each write adds one.
    pub version: u64,
    /// Content of the row.
    pub value: T,
}

#[derive(Debug, Serialize)]
struct WriteBody<'a, T> {
    expect: u64,
    value: &'a T,
}

/// Client of the table service.
#[derive(Debug, Clone)]
pub struct Client {
    base_url: String,
}

impl Client {
    /// Creates a client for the service at a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/tables/ibisspool/{key}", self.base_url)
    }

    /// Reads a row; returns `None` if the row does not exist.
    ///
    /// # Errors
    /// Fails if the service does not answer within 2 s, answers with an error or the row cannot be
    /// decoded.
    pub fn read<T>(&self, key: &str) -> Result<Option<Versioned<T>>>
    where
        T: DeserializeOwned,
    {
        let response = attohttpc::get(self.url(key)).timeout(CALL_TIMEOUT).send()?;
        match response.status().as_u16() {
            200 => {
                let body = response.bytes()?;
                serde_json::from_slice(&body)
                    .map(Some)
                    .context("the row cannot be decoded")
            }
            404 => Ok(None),
            status => bail!("the table service answered {status}; wait until it is well"),
        }
    }

    /// Writes a row if its version is still `expect`; returns the new version, or `None` if another
    /// write came first.
    ///
    /// # Errors
    /// Fails if the service does not answer within 2 s or answers with an error. The write may have
    /// taken effect all the same.
    pub fn write<T>(&self, key: &str, expect: u64, value: &T) -> Result<Option<u64>>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(&WriteBody { expect, value })?;
        let response = attohttpc::put(self.url(key))
            .timeout(CALL_TIMEOUT)
            .header("Content-Type", "application/json")
            .bytes(body)
            .send()?;
        match response.status().as_u16() {
            200 => {
                let written: Versioned<serde::de::IgnoredAny> =
                    serde_json::from_slice(&response.bytes()?)?;
                Ok(Some(written.version))
            }
            409 => Ok(None),
            status => bail!("the table service answered {status}; wait until it is well"),
        }
    }
}

/// Key of the control row, on which all entries agree: the members of the region, what is out of
/// service, the version of the catalogue and the epoch, which counts the changes.
pub const CONTROL_KEY: &str = "control";

/// Returns the key of the row that holds a version of the catalogue.
pub fn catalogue_key(version: u64) -> String {
    format!("catalogue-{version}")
}

/// Carries out requests one after another until every sender is dropped. A read of the control row
/// is skipped if more requests are queued. A failed request is logged and produces no event.
pub fn serve_requests(
    client: &Client,
    requests: &Receiver<Request>,
    events: &Sender<Event>,
    clock: Clock,
    metrics: &Metrics,
) {
    while let Ok(request) = requests.recv() {
        if matches!(request, Request::ReadRow) && !requests.is_empty() {
            continue;
        }
        let outcome = match execute(client, request, clock) {
            Ok(event) => {
                let _decider_ended = events.send(event);
                "ok"
            }
            Err(error) => {
                log::warn!("store: A call of the table service failed: {error:#}.");
                "failed"
            }
        };
        metrics.store_calls.with_label_values(&[outcome]).inc();
    }
}

fn execute(client: &Client, request: Request, clock: Clock) -> Result<Event> {
    let sent = clock.mono();
    match request {
        Request::ReadRow => {
            let found = client.read::<Row>(CONTROL_KEY)?;
            let (version, row) = found.map_or((0, Row::default()), |row| (row.version, row.value));
            Ok(Event::RowRead { sent, version, row })
        }
        Request::WriteRow { expect, row } => {
            let written = client.write(CONTROL_KEY, expect, &row)?;
            Ok(
                written.map_or(Event::RowWriteConflict, |version| Event::RowRead {
                    sent,
                    version,
                    row,
                }),
            )
        }
        Request::ReadCatalogue { version } => {
            let found = client.read::<Catalogue>(&catalogue_key(version))?;
            let catalogue = found.context("the row of the catalogue is missing")?.value;
            Ok(Event::CatalogueRead { version, catalogue })
        }
        Request::WriteCatalogue { version, catalogue } => {
            let written = client.write(&catalogue_key(version), 0, &catalogue)?;
            Ok(
                written.map_or(Event::CatalogueVersionExists { version }, |_row| {
                    Event::CatalogueWritten { version }
                }),
            )
        }
    }
}

/// Queues a request for the store thread. If the thread has ended, the process is stopping and the
/// request is dropped.
pub fn send_request(store: &Sender<Request>, request: Request) {
    let _store_ended = store.send(request);
}

/// Registers the mailbox of the store thread and starts the thread.
///
/// # Errors
/// Fails if the mailbox of the decider is not registered yet.
pub fn start(kernel: &Kernel, base_url: &str, clock: Clock, metrics: &Metrics) -> Result<()> {
    let requests = kernel.register::<Request>(PartName::Store);
    let events = kernel.find::<Event>(PartName::Decider)?;
    let client = Client::new(base_url);
    let metrics = metrics.clone();
    kernel.spawn(PartName::Store, move || {
        serve_requests(&client, &requests, &events, clock, &metrics);
    });
    Ok(())
}
