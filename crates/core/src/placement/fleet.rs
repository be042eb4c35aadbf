//! All agents that an entry knows, indexed by kind and expected end.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SlotMap;
use smallvec::SmallVec;

use super::agent::IndexPosition;
use super::estimate::WorkEstimate;
use super::{Agent, AgentKey, Policy};
use crate::fair_queue::Lane;
use crate::time::Monotonic;

/// Expected ends and slownesses are rounded down to whole thousandths, so that they can be ordered
/// as integers.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;

/// Interval at which capacity and demand are measured.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the newest measurement in the EWMA of the demand of short jobs.
const DEMAND_SMOOTHING: f64 = 0.05;

/// Capacity reserved for short jobs, as a multiple of their demand.
const RESERVED_OVER_DEMAND: f64 = 2.0;

/// Largest share of the total capacity that is reserved for short jobs.
const MAX_RESERVED_SHARE: f64 = 0.3;

/// Properties of a task that determine its placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Kind of the task.
    pub kind: &'a str,
    /// Lane of its job.
    pub lane: Lane,
    /// Whether the backlog is so large that every free slot is used, even a slow or a reserved one.
    pub is_backlogged: bool,
}

/// The reachable agents that run one kind, ordered by expected end.
#[derive(Debug, Clone, Default)]
struct KindIndex {
    /// Agents that may be sent another task.
    with_room: BTreeSet<(u64, AgentKey)>,
    /// Agents that hold as many tasks as they may.
    without_room: BTreeSet<(u64, AgentKey)>,
}

/// All agents that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The agents by key.
    pub agents: SlotMap<AgentKey, Agent>,
    by_name: HashMap<String, AgentKey>,
    dispatch_count: u64,
    /// Position of each kind in `indices`.
    kind_numbers: HashMap<String, usize>,
    indices: Vec<KindIndex>,
    work: HashMap<String, WorkEstimate>,
    /// Expected work of the short jobs dispatched since the last review.
    short_work_ms: f64,
    /// Demand of short jobs at this entry, in milliseconds of work per millisecond.
    short_demand: f64,
    reviewed_at: Monotonic,
    capacity: f64,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of the agent with the name.
    pub fn key_by_name(&self, name: &str) -> Option<AgentKey> {
        self.by_name.get(name).copied()
    }

    /// Adds an agent under its name and returns its key. Another agent of that name can then be
    /// reached only by its key.
    pub fn insert(&mut self, agent: Agent) -> AgentKey {
        let name = agent.hello.agent.clone();
        let key = self.agents.insert(agent);
        self.by_name.insert(name, key);
        self.reindex(key);
        key
    }

    /// Removes an agent.
    pub fn remove(&mut self, key: AgentKey) {
        self.unindex(key);
        if let Some(agent) = self.agents.remove(key)
            && self.by_name.get(&agent.hello.agent) == Some(&key)
        {
            self.by_name.remove(&agent.hello.agent);
        }
    }

    /// Returns whether any agent in service runs the kind. An agent whose connection is lost counts
    /// until it is removed.
    pub fn serves<F>(&self, kind: &str, in_service: F) -> bool
    where
        F: Fn(&Agent) -> bool,
    {
        let reachable = self.kind_index(kind).is_some_and(|index| {
            let mut keys = index.with_room.iter().chain(&index.without_room);
            keys.any(|(_end, key)| in_service(&self.agents[*key]))
        });
        reachable || {
            let mut disconnected = self.agents.values().filter(|agent| agent.link.is_none());
            disconnected.any(|agent| agent.serves(kind) && in_service(agent))
        }
    }

    /// Returns whether some agent with room lacks a usable permit although it has reported since
    /// `oldest`. Such an agent becomes usable when the lease is renewed, since its newest stamp may
    /// then be echoed.
    pub fn has_agent_awaiting_permit(&self, basis: Monotonic, oldest: Monotonic) -> bool {
        self.agents.values().any(|agent| {
            let permitted =
                agent.has_permit_not_called_stale(basis) && agent.has_permit_since(basis, oldest);
            !permitted && agent.newest_stamp_received_at() >= oldest && agent.has_room()
        })
    }

    /// Returns the agent that the policy chooses for a task among the `usable` ones, `None` if the
    /// task should wait.
    pub fn choose_agent<F>(
        &self,
        policy: Policy,
        request: PlacementRequest<'_>,
        rng: &mut SmallRng,
        usable: F,
    ) -> Option<AgentKey>
    where
        F: Fn(AgentKey, &Agent) -> bool,
    {
        let index = self.kind_index(request.kind)?;
        if policy == Policy::ExpectedEnd {
            return self.choose_soonest_end(index, request, usable);
        }
        let candidates: SmallVec<[AgentKey; 64]> = index
            .with_room
            .iter()
            .chain(&index.without_room)
            .map(|(_end, key)| *key)
            .filter(|key| usable(*key, &self.agents[*key]))
            .collect();
        let least_loaded = |keys: &[AgentKey]| {
            keys.iter()
                .copied()
                .min_by_key(|key| (self.agents[*key].unfinished_tasks, *key))
        };
        match policy {
            Policy::Random => candidates.choose(rng).copied(),
            Policy::RoundRobin => candidates
                .iter()
                .copied()
                .min_by_key(|key| (self.agents[*key].last_dispatch_number, *key)),
            Policy::TwoChoices => {
                let pair: SmallVec<[AgentKey; 2]> =
                    candidates.choose_multiple(rng, 2).copied().collect();
                least_loaded(&pair)
            }
            Policy::LeastLoaded | Policy::ExpectedEnd => least_loaded(&candidates),
        }
    }

    /// Returns the agent with room on which the task is expected to end soonest, `None` if there is
    /// none, or if the task would end sooner on an agent that has no room yet.
    fn choose_soonest_end<F>(
        &self,
        index: &KindIndex,
        request: PlacementRequest<'_>,
        usable: F,
    ) -> Option<AgentKey>
    where
        F: Fn(AgentKey, &Agent) -> bool,
    {
        let is_kept_free = |agent: &Agent| {
            agent.is_reserved_for_short_jobs && request.lane == Lane::Long && !request.is_backlogged
        };
        let is_candidate = |key: &AgentKey| {
            let agent = &self.agents[*key];
            !is_kept_free(agent) && usable(*key, agent)
        };
        let (end, key) = index
            .with_room
            .iter()
            .find(|(_end, key)| is_candidate(key))?;
        let should_wait = !request.is_backlogged
            && index
                .without_room
                .iter()
                .take_while(|(busy_end, _key)| busy_end < end)
                .any(|(_end, key)| is_candidate(key));
        (!should_wait).then_some(*key)
    }

    /// Records that a task with an expected work of `work_ms` milliseconds is dispatched to the
    /// agent.
    pub fn record_dispatch(&mut self, key: AgentKey, lane: Lane, work_ms: f64) {
        if lane == Lane::Short {
            self.short_work_ms += work_ms;
        }
        self.dispatch_count += 1;
        let agent = &mut self.agents[key];
        agent.last_dispatch_number = self.dispatch_count;
        agent.unfinished_tasks += 1;
        agent.dispatched_since_report += 1;
        self.reindex(key);
    }

    /// Updates the estimates after a task of the kind ran for `run` on an agent.
    pub fn record_run_time(&mut self, key: AgentKey, kind: &str, declared_ms: f64, run: Duration) {
        if !self.work.contains_key(kind) {
            self.work
                .insert(kind.to_owned(), WorkEstimate::new(declared_ms));
        }
        if let Some(work) = self.work.get_mut(kind) {
            self.agents[key].record_run_time(kind, run, work);
        }
    }

    /// Returns the estimated mean work of a kind in milliseconds, `declared_ms` if no task of the
    /// kind has run yet.
    pub fn work_ms(&self, kind: &str, declared_ms: f64) -> f64 {
        self.work
            .get(kind)
            .map_or(declared_ms, |work| work.mean_ms.value())
    }

    /// Returns the capacity of all reachable agents at the last [`Self::update_capacity`], in
    /// milliseconds of work per millisecond.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Measures the capacity and the demand of short jobs, and reserves the fastest agents for
    /// them. The demand at this entry is multiplied by `entries`, the number of entries that share
    /// the agents. Does nothing if the last review was less than 250 ms ago.
    pub fn update_capacity(&mut self, now: Monotonic, entries: usize) {
        let elapsed = now.since(self.reviewed_at);
        if elapsed < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        let newest_demand = self.short_work_ms / (elapsed.as_secs_f64() * 1_000.0);
        self.short_work_ms = 0.0;
        self.short_demand += DEMAND_SMOOTHING * (newest_demand - self.short_demand);
        let reachable = self.agents.values().filter(|agent| agent.is_reachable());
        self.capacity = reachable.map(work_rate).sum();
        let wanted_rate = RESERVED_OVER_DEMAND * self.short_demand * entries as f64;
        self.reserve_fastest_agents(wanted_rate.min(MAX_RESERVED_SHARE * self.capacity));
    }

    /// Reserves the fastest agents for short jobs, up to a total capacity of about `target_rate`:
    /// an agent is reserved if at least half of its capacity fits.
    fn reserve_fastest_agents(&mut self, target_rate: f64) {
        let mut by_slowness: Vec<(u64, AgentKey)> = self
            .agents
            .iter()
            .map(|(key, agent)| ((agent.slowness("") * THOUSANDTHS_PER_UNIT) as u64, key))
            .collect();
        by_slowness.sort_unstable();
        let mut reserved_rate = 0.0;
        for (_slowness, key) in by_slowness {
            let agent = &mut self.agents[key];
            agent.is_reserved_for_short_jobs =
                reserved_rate + work_rate(agent) / 2.0 <= target_rate;
            reserved_rate += work_rate(agent);
        }
    }

    fn kind_index(&self, kind: &str) -> Option<&KindIndex> {
        self.indices.get(*self.kind_numbers.get(kind)?)
    }

    /// Updates the position of an agent in the index. Must be called after each change of its load,
    /// connection or hello.
    pub fn reindex(&mut self, key: AgentKey) {
        self.unindex(key);
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        if !agent.is_reachable() {
            return;
        }
        let has_room = agent.has_room();
        for kind in &agent.hello.kinds {
            let existing = self.kind_numbers.get(kind).copied();
            let number = existing.unwrap_or(self.indices.len());
            if existing.is_none() {
                self.indices.push(KindIndex::default());
                self.kind_numbers.insert(kind.clone(), number);
            }
            let expected_end = (agent.expected_end(kind) * THOUSANDTHS_PER_UNIT) as u64;
            self.indices[number]
                .agents_with(has_room)
                .insert((expected_end, key));
            agent.index_positions.push(IndexPosition {
                kind_number: number,
                expected_end,
                has_room,
            });
        }
    }

    fn unindex(&mut self, key: AgentKey) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        for position in agent.index_positions.drain(..) {
            let agents = self.indices[position.kind_number].agents_with(position.has_room);
            agents.remove(&(position.expected_end, key));
        }
    }
}

impl KindIndex {
    fn agents_with(&mut self, has_room: bool) -> &mut BTreeSet<(u64, AgentKey)> {
        if has_room {
            &mut self.with_room
        } else {
            &mut self.without_room
        }
    }
}

/// Returns the capacity of an agent in milliseconds of work per millisecond.
fn work_rate(agent: &Agent) -> f64 {
    f64::from(agent.hello.slots) / agent.slowness("")
}
