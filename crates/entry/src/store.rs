//! Client of the platform's table service.
//!
//! This is the only module that knows the service's protocol: rows with versions, written only
//! if the version is still the expected one.

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

/// Time within which the service must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the store part is asked to do.
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
        /// The version.
        version: u64,
    },
    /// Write the catalogue of a version that must not exist yet.
    WriteCatalogue {
        /// The version.
        version: u64,
        /// Its entries.
        catalogue: Catalogue,
    },
}

/// A row of the table service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version of the row; each write adds one.
    pub version: u64,
    /// The row.
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
    /// Makes a client for the service at a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/tables/ibisspool/{key}", self.base_url)
    }

    /// Reads a row, `None` if there is none.
    ///
    /// # Errors
    /// Fails if the service does not answer in time or answers with an error.
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
                    .context("the row cannot be read")
            }
            404 => Ok(None),
            status => bail!("the table service answered {status}; wait until it is well"),
        }
    }

    /// Writes a row if its version is still `expect`; returns the new version, `None` if another
    /// write came first.
    ///
    /// # Errors
    /// Fails if the service does not answer in time or answers with an error. The write may have
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

/// Key of the control row.
pub const CONTROL_KEY: &str = "control";

/// Returns the key of a catalogue version.
pub fn catalogue_key(version: u64) -> String {
    format!("catalogue-{version}")
}

/// Serves requests until every sender is gone.
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
                log::warn!("store: The table service failed: {error:#}.");
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
                written.map_or(Event::RowConflict, |version| Event::RowRead {
                    sent,
                    version,
                    row,
                }),
            )
        }
        Request::ReadCatalogue { version } => {
            let found = client.read::<Catalogue>(&catalogue_key(version))?;
            let catalogue = found.context("the catalogue's row is missing")?.value;
            Ok(Event::CatalogueRead { version, catalogue })
        }
        Request::WriteCatalogue { version, catalogue } => {
            let written = client.write(&catalogue_key(version), 0, &catalogue)?;
            Ok(written.map_or(Event::CatalogueTaken { version }, |_row| {
                Event::CatalogueWritten { version }
            }))
        }
    }
}

/// Sends a request to the store part; a part that ended has nothing left to do.
pub fn send_request(store: &Sender<Request>, request: Request) {
    let _store_ended = store.send(request);
}

/// Makes the mailbox of the store part and starts its thread.
///
/// # Errors
/// Fails if the decider is not registered.
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
