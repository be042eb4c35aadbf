//! Choice of the agent for a task.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::frame::{Hello, Load};
use crate::receipt::Receipt;
use crate::time::Mono;

new_key_type! {
    /// Key of an agent in the fleet.
    pub struct Key;
}

/// Tasks that an agent may hold beyond its slots, enough to hide a round trip.
pub const QUEUE_BEYOND_SLOTS: u32 = 1;

/// Weight of the newest run time in the moving average.
const LEARNING_RATE: f64 = 0.2;

/// Stamps kept for each agent; the fence needs one older than the lease's question.
const STAMPS: usize = 32;

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
    refused_permit: Option<Mono>,
    last_permit: Option<Mono>,
    run_ms: HashMap<String, f64>,
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
            refused_permit: None,
            last_permit: None,
            run_ms: HashMap::new(),
            stamps: Vec::new(),
        }
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

    /// Records the permit that an order carries.
    pub fn record_permit(&mut self, permit: Option<Mono>) {
        self.last_permit = self.last_permit.max(permit);
    }

    /// Records that the agent called the last permit stale.
    pub fn refuse_permit(&mut self) {
        self.refused_permit = self.last_permit;
    }

    /// Learns from a task that ran for `run`.
    pub fn learn(&mut self, kind: &str, run: Duration) {
        let run_ms = run.as_secs_f64() * 1_000.0;
        match self.run_ms.get_mut(kind) {
            Some(mean) => *mean += LEARNING_RATE * (run_ms - *mean),
            None => {
                self.run_ms.insert(kind.to_owned(), run_ms);
            }
        }
    }

    fn occupied(&self) -> u32 {
        (self.load.running + self.load.queued + self.unreported).max(self.outstanding)
    }

    fn has_room(&self) -> bool {
        self.link.is_some()
            && !self.hello.leaving
            && self.occupied() < self.hello.slots + QUEUE_BEYOND_SLOTS
    }

    /// Returns the expected time until a task of the kind dispatched now would end.
    fn expected_end_ms(&self, kind: &str, declared_ms: f64) -> f64 {
        let run_ms = self.run_ms.get(kind).copied().unwrap_or(declared_ms);
        let ahead = f64::from((self.occupied() + 1).saturating_sub(self.hello.slots));
        run_ms + ahead * run_ms / f64::from(self.hello.slots.max(1))
    }
}

/// All agents that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The agents by key.
    pub agents: SlotMap<Key, Agent>,
    by_name: HashMap<String, Key>,
}

impl Fleet {
    /// Makes an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of the agent of the name.
    pub fn key(&self, name: &str) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Adds an agent under its name and returns its key.
    pub fn insert(&mut self, agent: Agent) -> Key {
        let name = agent.hello.agent.clone();
        let key = self.agents.insert(agent);
        self.by_name.insert(name, key);
        key
    }

    /// Forgets an agent.
    pub fn remove(&mut self, key: Key) {
        if let Some(agent) = self.agents.remove(key)
            && self.by_name.get(&agent.hello.agent) == Some(&key)
        {
            self.by_name.remove(&agent.hello.agent);
        }
    }

    /// Returns whether any agent in service serves the kind.
    pub fn serves<F>(&self, kind: &str, in_service: F) -> bool
    where
        F: Fn(&Agent) -> bool,
    {
        self.agents.values().any(|agent| {
            agent.hello.kinds.iter().any(|k| k == kind) && !agent.hello.leaving && in_service(agent)
        })
    }

    /// Returns whether an agent with room waits for a newer permit.
    pub fn lacks_permit(&self, basis: Mono) -> bool {
        self.agents
            .values()
            .any(|agent| agent.has_room() && !agent.has_fresh_permit(basis))
    }

    /// Returns the agent with room on which a task of the kind is expected to end soonest.
    pub fn choose<F>(&self, kind: &str, declared_ms: f64, in_service: F) -> Option<Key>
    where
        F: Fn(&Agent) -> bool,
    {
        self.agents
            .iter()
            .filter(|(_key, agent)| agent.has_room() && in_service(agent))
            .filter(|(_key, agent)| agent.hello.kinds.iter().any(|k| k == kind))
            .map(|(key, agent)| (key, agent.expected_end_ms(kind, declared_ms)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _end)| key)
    }
}
