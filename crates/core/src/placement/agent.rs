//! What an entry knows of one agent.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::estimate::{Mean, Work};
use crate::frame::{Hello, Load};
use crate::receipt::Receipt;
use crate::time::Mono;

/// Tasks that an agent may hold beyond its slots, enough to hide a round trip.
pub const QUEUE_BEYOND_SLOTS: u32 = 1;

/// Shorter run times count as this, since their logarithm is taken.
const SHORTEST_RUN_MS: f64 = 0.1;

/// Stamps kept for each agent; the fence needs one older than the lease's question.
const STAMPS: usize = 32;

/// Where an agent stands in the index of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) kind: usize,
    pub(super) end: u64,
    pub(super) open: bool,
}

/// What an entry knows of one agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// What the agent said of itself.
    pub hello: Hello,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Connection to it, `None` while it is lost.
    pub link: Option<u64>,
    /// When the connection was lost or last heard from.
    pub heard: Mono,
    /// Load in its latest report.
    pub load: Load,
    /// Own tasks dispatched to it that have not ended.
    pub outstanding: u32,
    /// Own tasks dispatched since its latest report.
    pub unreported: u32,
    /// Highest epoch that it has seen.
    pub epoch: u64,
    /// Outcomes received over the present connection.
    pub receipt: Receipt,
    /// Number of the latest dispatch to it among all dispatches of this entry.
    pub turn: u64,
    /// When it was last asked for a report.
    pub asked: Option<Mono>,
    refused_permit: Option<Mono>,
    last_permit: Option<Mono>,
    slowness: Mean,
    deviations: HashMap<String, Mean>,
    /// Whether its fast slots are kept for short jobs.
    pub reserved: bool,
    pub(super) places: SmallVec<[Place; 4]>,
    stamps: Vec<(Mono, Mono)>,
}

impl Agent {
    /// Makes an agent from its first report on a connection.
    pub fn new(hello: Hello, incarnation: u64, link: u64, now: Mono) -> Self {
        Self {
            hello,
            incarnation,
            link: Some(link),
            heard: now,
            load: Load::default(),
            outstanding: 0,
            unreported: 0,
            epoch: 0,
            receipt: Receipt::new(),
            turn: 0,
            asked: None,
            refused_permit: None,
            last_permit: None,
            slowness: Mean::new(0.0),
            deviations: HashMap::new(),
            reserved: false,
            places: SmallVec::new(),
            stamps: Vec::new(),
        }
    }

    /// Returns whether the agent announces the kind and is not leaving.
    pub fn serves(&self, kind: &str) -> bool {
        !self.hello.leaving && self.hello.kinds.iter().any(|served| served == kind)
    }

    /// Records a stamp received at `now`.
    pub fn record_stamp(&mut self, stamp: Mono, now: Mono) {
        if self.stamps.len() == STAMPS {
            self.stamps.remove(0);
        }
        self.stamps.push((stamp, now));
    }

    /// Returns the newest stamp received no later than `basis`, the lease's question.
    pub fn permit(&self, basis: Mono) -> Option<Mono> {
        self.stamps
            .iter()
            .rev()
            .find(|(_stamp, received)| *received <= basis)
            .map(|(stamp, _)| *stamp)
    }

    /// Returns whether the permit is newer than the last one that the agent called stale.
    pub fn has_fresh_permit(&self, basis: Mono) -> bool {
        self.permit(basis) > self.refused_permit
    }

    /// Returns when the newest stamp was received.
    pub fn newest_stamp(&self) -> Mono {
        self.stamps
            .last()
            .map_or(Mono(0), |(_stamp, received)| *received)
    }

    /// Returns whether the permit was received after `oldest`; an older one lapses on its way.
    pub fn has_permit_since(&self, basis: Mono, oldest: Mono) -> bool {
        self.stamps
            .iter()
            .rev()
            .find(|(_stamp, received)| *received <= basis)
            .is_some_and(|(_stamp, received)| *received >= oldest)
    }

    /// Records the permit that an order carries.
    pub fn record_permit(&mut self, permit: Option<Mono>) {
        self.last_permit = self.last_permit.max(permit);
    }

    /// Records that the agent called the last permit stale.
    pub fn refuse_permit(&mut self) {
        self.refused_permit = self.last_permit;
    }

    /// Returns the run time of a kind here over its run time on a server of slowness 1.
    pub fn slowness(&self, kind: &str) -> f64 {
        self.log_slowness(kind).exp()
    }

    fn log_slowness(&self, kind: &str) -> f64 {
        let deviation = self.deviations.get(kind).map_or(0.0, Mean::value);
        self.slowness.value() + deviation
    }

    /// Learns from a task that ran for `run`.
    pub fn learn(&mut self, kind: &str, run: Duration, work: &mut Work) {
        let run_ms = run.as_secs_f64() * 1_000.0;
        let log_ms = run_ms.max(SHORTEST_RUN_MS).ln();
        let log_slowness = self.log_slowness(kind);
        let log_work = work.log_ms.value();
        let deviation = log_slowness - self.slowness.value();
        work.ms.learn(run_ms / log_slowness.exp());
        work.log_ms.learn(log_ms - log_slowness);
        self.slowness.learn(log_ms - log_work - deviation);
        if !self.deviations.contains_key(kind) {
            self.deviations.insert(kind.to_owned(), Mean::deviation());
        }
        if let Some(known) = self.deviations.get_mut(kind) {
            known.learn(log_ms - log_work - self.slowness.value());
        }
    }

    /// Returns the tasks that it holds, as far as this entry knows.
    pub fn occupied(&self) -> u32 {
        (self.load.running + self.load.queued + self.unreported).max(self.outstanding)
    }

    /// Returns whether it may be sent another task.
    pub fn has_room(&self) -> bool {
        self.is_reachable() && self.occupied() < self.hello.slots + QUEUE_BEYOND_SLOTS
    }

    /// Returns whether tasks can be sent to it at all.
    pub fn is_reachable(&self) -> bool {
        self.link.is_some() && !self.hello.leaving && self.hello.slots > 0
    }

    /// Returns the expected time until a task of the kind sent now would end, over its run time
    /// on a server of slowness 1.
    pub fn expected_end(&self, kind: &str) -> f64 {
        let slots = f64::from(self.hello.slots.max(1));
        let ahead = f64::from((self.occupied() + 1).saturating_sub(self.hello.slots));
        self.slowness(kind) * (1.0 + ahead / slots)
    }
}
