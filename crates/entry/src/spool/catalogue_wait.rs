//! Requests that wait for the first catalogue, without which they can't be decoded.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisspool_core::spool::entry::startup::{
    DEFAULT_BUDGET, RefusalCount, Waiting, wait_for_catalogue,
};
use ibisspool_core::time::Monotonic;
use tokio::sync::oneshot;

/// Place of a waiting request: the end of its caller's time, and the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(Monotonic, u64);

/// A waiting request.
#[derive(Debug)]
struct Place {
    bytes: usize,
    /// `None` once the request was released.
    release: Option<oneshot::Sender<()>>,
}

/// The requests that wait for the first catalogue.
#[derive(Debug, Default)]
pub struct CatalogueWait {
    places: BTreeMap<Ticket, Place>,
    waiting: Waiting,
    last_arrival: u64,
    /// Jobs refused for lack of a catalogue.
    pub refusals: RefusalCount,
}

impl CatalogueWait {
    /// Adds a request. Returns its place, until when it waits, and what tells it that the catalogue
    /// has come; `None` if the request may not wait.
    pub fn add(
        &mut self,
        bytes: usize,
        budget: Option<Duration>,
        startup_wait: Duration,
        now: Monotonic,
    ) -> Option<(Ticket, Monotonic, oneshot::Receiver<()>)> {
        let until = wait_for_catalogue(self.waiting, bytes, budget, startup_wait, now)?;
        self.last_arrival += 1;
        let ticket = Ticket(
            now.plus(budget.unwrap_or(DEFAULT_BUDGET)),
            self.last_arrival,
        );
        let (release, released) = oneshot::channel();
        let place = Place {
            bytes,
            release: Some(release),
        };
        self.places.insert(ticket, place);
        self.waiting.requests += 1;
        self.waiting.bytes += bytes;
        Some((ticket, until, released))
    }

    /// Returns the waiting requests, those with the earliest deadline first.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.places.keys().copied()
    }

    /// Returns the number and size of the waiting requests.
    pub fn waiting(&self) -> Waiting {
        self.waiting
    }

    /// Removes a request that goes on or whose caller has left.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(place) = self.places.remove(&ticket) {
            self.waiting.requests -= 1;
            self.waiting.bytes -= place.bytes;
        }
    }

    /// Lets all requests go on, those with the earliest deadline first.
    pub fn release_all(&mut self) {
        for place in self.places.values_mut() {
            if let Some(release) = place.release.take() {
                // Sending fails if the request has just timed out; it is decoded anyway.
                let _timed_out = release.send(());
            }
        }
    }
}
