//! All agents that an entry knows.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SlotMap;
use smallvec::SmallVec;

use super::{Agent, Key, Policy};
use crate::time::Mono;

/// All agents that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The agents by key.
    pub agents: SlotMap<Key, Agent>,
    by_name: HashMap<String, Key>,
    turns: u64,
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

    /// Returns the agent that the policy chooses for a task of the kind, `None` if none has room.
    pub fn choose<F>(
        &self,
        policy: Policy,
        kind: &str,
        declared_ms: f64,
        rng: &mut SmallRng,
        usable: F,
    ) -> Option<Key>
    where
        F: Fn(&Agent) -> bool,
    {
        let candidates: SmallVec<[Key; 64]> = self
            .agents
            .iter()
            .filter(|(_key, agent)| policy.has_room(agent) && usable(agent))
            .filter(|(_key, agent)| agent.hello.kinds.iter().any(|k| k == kind))
            .map(|(key, _agent)| key)
            .collect();
        let least = |keys: &[Key]| {
            keys.iter()
                .copied()
                .min_by_key(|key| self.agents[*key].outstanding)
        };
        match policy {
            Policy::Random => candidates.choose(rng).copied(),
            Policy::RoundRobin => candidates
                .iter()
                .copied()
                .min_by_key(|key| self.agents[*key].turn),
            Policy::TwoChoices => {
                let pair: SmallVec<[Key; 2]> =
                    candidates.choose_multiple(rng, 2).copied().collect();
                least(&pair)
            }
            Policy::LeastLoaded => least(&candidates),
            Policy::ExpectedEnd => candidates
                .iter()
                .map(|key| (*key, self.agents[*key].expected_end_ms(kind, declared_ms)))
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .map(|(key, _end)| key),
        }
    }

    /// Records that a task goes to the agent.
    pub fn record_dispatch(&mut self, key: Key) {
        self.turns += 1;
        let agent = &mut self.agents[key];
        agent.turn = self.turns;
        agent.outstanding += 1;
        agent.unreported += 1;
    }
}
