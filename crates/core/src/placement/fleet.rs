//! All agents that an entry knows, with an index by kind and expected end.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SlotMap;
use smallvec::SmallVec;

use super::agent::Place;
use super::estimate::Work;
use super::{Agent, Key, Policy};
use crate::fair_queue::Lane;
use crate::time::Mono;

/// Expected ends are compared as whole thousandths.
const END_UNIT: f64 = 1_000.0;

/// Time between reviews of capacity and demand.
const REVIEW_EVERY: Duration = Duration::from_millis(250);

/// Weight of the newest review in the demand of short jobs.
const DEMAND_RATE: f64 = 0.05;

/// Capacity kept for short jobs over their demand.
const RESERVE_HEADROOM: f64 = 2.0;

/// Largest share of the capacity that is kept for short jobs.
const RESERVE_MOST: f64 = 0.3;

/// What is asked of the fleet for one task.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Kind of the task.
    pub kind: &'a str,
    /// Lane of its job.
    pub lane: Lane,
    /// Whether so much waits that no slot is kept back.
    pub pressed: bool,
}

/// Agents that serve one kind, by expected end.
#[derive(Debug, Clone, Default)]
struct Ranking {
    /// Those with room.
    open: BTreeSet<(u64, Key)>,
    /// Those without.
    full: BTreeSet<(u64, Key)>,
}

/// All agents that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The agents by key.
    pub agents: SlotMap<Key, Agent>,
    by_name: HashMap<String, Key>,
    turns: u64,
    kinds: HashMap<String, usize>,
    rankings: Vec<Ranking>,
    work: HashMap<String, Work>,
    short_ms: f64,
    short_rate: f64,
    reviewed: Mono,
    capacity: f64,
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
        self.reindex(key);
        key
    }

    /// Forgets an agent.
    pub fn remove(&mut self, key: Key) {
        self.unindex(key);
        if let Some(agent) = self.agents.remove(key)
            && self.by_name.get(&agent.hello.agent) == Some(&key)
        {
            self.by_name.remove(&agent.hello.agent);
        }
    }

    /// Returns whether any agent in service serves the kind, also one whose connection is lost
    /// for the moment.
    pub fn serves<F>(&self, kind: &str, in_service: F) -> bool
    where
        F: Fn(&Agent) -> bool,
    {
        let reachable = self.ranking(kind).is_some_and(|ranking| {
            let mut keys = ranking.open.iter().chain(&ranking.full);
            keys.any(|(_end, key)| in_service(&self.agents[*key]))
        });
        reachable || {
            let mut lost = self.agents.values().filter(|agent| agent.link.is_none());
            lost.any(|agent| agent.serves(kind) && in_service(agent))
        }
    }

    /// Returns whether an agent with room that has reported since `oldest` waits for a newer
    /// lease, so that its newest stamp may be echoed.
    pub fn lacks_permit(&self, basis: Mono, oldest: Mono) -> bool {
        self.agents.values().any(|agent| {
            let permitted = agent.has_fresh_permit(basis) && agent.has_permit_since(basis, oldest);
            !permitted && agent.newest_stamp() >= oldest && agent.has_room()
        })
    }

    /// Returns the agent that the policy chooses for a task, `None` if the task should wait.
    pub fn choose<F>(
        &self,
        policy: Policy,
        wanted: Wanted<'_>,
        rng: &mut SmallRng,
        usable: F,
    ) -> Option<Key>
    where
        F: Fn(Key, &Agent) -> bool,
    {
        let ranking = self.ranking(wanted.kind)?;
        if policy == Policy::ExpectedEnd {
            return self.soonest(ranking, wanted, usable);
        }
        let candidates: SmallVec<[Key; 64]> = ranking
            .open
            .iter()
            .chain(&ranking.full)
            .map(|(_end, key)| *key)
            .filter(|key| usable(*key, &self.agents[*key]))
            .collect();
        let least = |keys: &[Key]| {
            keys.iter()
                .copied()
                .min_by_key(|key| (self.agents[*key].outstanding, *key))
        };
        match policy {
            Policy::Random => candidates.choose(rng).copied(),
            Policy::RoundRobin => candidates
                .iter()
                .copied()
                .min_by_key(|key| (self.agents[*key].turn, *key)),
            Policy::TwoChoices => {
                let pair: SmallVec<[Key; 2]> =
                    candidates.choose_multiple(rng, 2).copied().collect();
                least(&pair)
            }
            Policy::LeastLoaded | Policy::ExpectedEnd => least(&candidates),
        }
    }

    /// Returns the agent with room on which the task is expected to end soonest, `None` if it
    /// would end sooner on one that has no room yet.
    fn soonest<F>(&self, ranking: &Ranking, wanted: Wanted<'_>, usable: F) -> Option<Key>
    where
        F: Fn(Key, &Agent) -> bool,
    {
        let kept = |agent: &Agent| agent.reserved && wanted.lane == Lane::Long && !wanted.pressed;
        let fits = |key: &Key| {
            let agent = &self.agents[*key];
            !kept(agent) && usable(*key, agent)
        };
        let (end, key) = ranking.open.iter().find(|(_end, key)| fits(key))?;
        let waits = !wanted.pressed
            && ranking
                .full
                .iter()
                .take_while(|(full, _key)| full < end)
                .any(|(_full, key)| fits(key));
        (!waits).then_some(*key)
    }

    /// Records that a task of `work_ms` goes to the agent.
    pub fn record_dispatch(&mut self, key: Key, lane: Lane, work_ms: f64) {
        if lane == Lane::Short {
            self.short_ms += work_ms;
        }
        self.turns += 1;
        let agent = &mut self.agents[key];
        agent.turn = self.turns;
        agent.outstanding += 1;
        agent.unreported += 1;
        self.reindex(key);
    }

    /// Learns from a task of the kind that ran for `run` on an agent.
    pub fn learn(&mut self, key: Key, kind: &str, declared_ms: f64, run: Duration) {
        if !self.work.contains_key(kind) {
            self.work.insert(kind.to_owned(), Work::new(declared_ms));
        }
        if let Some(work) = self.work.get_mut(kind) {
            self.agents[key].learn(kind, run, work);
        }
    }

    /// Returns the mean work of a kind in milliseconds.
    pub fn work_ms(&self, kind: &str, declared_ms: f64) -> f64 {
        self.work
            .get(kind)
            .map_or(declared_ms, |work| work.ms.value())
    }

    /// Returns the work that all reachable agents do in a millisecond, as of the last review.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Measures capacity and the demand of short jobs, and keeps the fastest agents for those;
    /// `entries` share the fleet.
    pub fn review(&mut self, now: Mono, entries: usize) {
        let elapsed = now.since(self.reviewed);
        if elapsed < REVIEW_EVERY {
            return;
        }
        self.reviewed = now;
        let rate = self.short_ms / (elapsed.as_secs_f64() * 1_000.0);
        self.short_ms = 0.0;
        self.short_rate += DEMAND_RATE * (rate - self.short_rate);
        let reachable = self.agents.values().filter(|agent| agent.is_reachable());
        self.capacity = reachable.map(speed).sum();
        let demand = RESERVE_HEADROOM * self.short_rate * entries as f64;
        self.reserve(demand.min(RESERVE_MOST * self.capacity));
    }

    fn reserve(&mut self, wanted: f64) {
        let mut order: Vec<(u64, Key)> = self
            .agents
            .iter()
            .map(|(key, agent)| ((agent.slowness("") * END_UNIT) as u64, key))
            .collect();
        order.sort_unstable();
        let mut kept = 0.0;
        for (_slowness, key) in order {
            let agent = &mut self.agents[key];
            agent.reserved = kept + speed(agent) / 2.0 <= wanted;
            kept += speed(agent);
        }
    }

    fn ranking(&self, kind: &str) -> Option<&Ranking> {
        self.rankings.get(*self.kinds.get(kind)?)
    }

    /// Moves an agent to its place in the index after its load or its hello changed.
    pub fn reindex(&mut self, key: Key) {
        self.unindex(key);
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        if !agent.is_reachable() {
            return;
        }
        let open = agent.has_room();
        for kind in &agent.hello.kinds {
            let known = self.kinds.get(kind).copied();
            let number = known.unwrap_or(self.rankings.len());
            if known.is_none() {
                self.rankings.push(Ranking::default());
                self.kinds.insert(kind.clone(), number);
            }
            let end = (agent.expected_end(kind) * END_UNIT) as u64;
            self.rankings[number].side(open).insert((end, key));
            agent.places.push(Place {
                kind: number,
                end,
                open,
            });
        }
    }

    fn unindex(&mut self, key: Key) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        for place in agent.places.drain(..) {
            let side = self.rankings[place.kind].side(place.open);
            side.remove(&(place.end, key));
        }
    }
}

impl Ranking {
    fn side(&mut self, open: bool) -> &mut BTreeSet<(u64, Key)> {
        if open { &mut self.open } else { &mut self.full }
    }
}

/// Returns the work that an agent does in a millisecond.
fn speed(agent: &Agent) -> f64 {
    f64::from(agent.hello.slots) / agent.slowness("")
}
