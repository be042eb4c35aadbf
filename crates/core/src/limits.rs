//! Concurrency and rate limits of kinds and owners that hold over all entries together.
//!
//! Each entry may use its share of a limit by the number of members; the shares sum to the limit.
//! While an earlier set of members may still decide, the smaller share counts. Unused shares do
//! not move between entries.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::catalogue::{Kind, Owner};
use crate::job::Task;
use crate::placement;
use crate::time::Mono;

/// Time whose starts may be made at once under a rate limit.
const BURST: Duration = Duration::from_millis(100);

/// Place of an entry among the members of one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Position in the order of names, `None` if it is no member.
    pub position: Option<usize>,
    /// Number of members.
    pub members: usize,
}

/// Places among the members of all epochs in which some entry may still decide.
pub type Places = SmallVec<[Place; 2]>;

/// Returns the entry's share of a concurrency limit.
pub fn share(limit: u32, places: &[Place]) -> u32 {
    let one = |place: &Place| {
        let (Some(position), members) = (place.position, place.members as u32) else {
            return 0;
        };
        let extra = (position as u32) < limit % members;
        limit / members + u32::from(extra)
    };
    places.iter().map(one).min().unwrap_or(0)
}

/// Returns the entry's share of a rate limit, in starts a second.
pub fn rate_share(limit: u32, places: &[Place]) -> f64 {
    let one = |place: &Place| match place.position {
        Some(_) => f64::from(limit) / place.members as f64,
        None => 0.0,
    };
    places.iter().map(one).reduce(f64::min).unwrap_or(0.0)
}

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    running: u32,
    tokens: f64,
    refilled: Mono,
}

#[derive(Debug, Clone)]
struct Running {
    agent: placement::Key,
    kind: String,
    owner: String,
}

/// What this entry uses of the limits.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    kinds: HashMap<String, Usage>,
    owners: HashMap<String, Usage>,
    running: HashMap<Task, Running>,
}

impl Limits {
    /// Makes an empty account.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a task of the kind may start at `now`.
    pub fn allow(
        &mut self,
        kind: &Kind,
        owner: Option<&Owner>,
        places: &[Place],
        now: Mono,
    ) -> bool {
        let by_kind = usage(&mut self.kinds, &kind.name);
        if !by_kind.allows(kind.max_running, kind.max_rate, places, now) {
            return false;
        }
        owner.is_none_or(|owner| {
            let usage = usage(&mut self.owners, &owner.name);
            usage.allows(owner.max_running, owner.max_rate, places, now)
        })
    }

    /// Records a task that was sent to an agent.
    pub fn start(&mut self, task: Task, agent: placement::Key, kind: &str, owner: &str) {
        for usage in [usage(&mut self.kinds, kind), usage(&mut self.owners, owner)] {
            usage.running += 1;
            usage.tokens = (usage.tokens - 1.0).max(-1.0);
        }
        let running = Running {
            agent,
            kind: kind.to_owned(),
            owner: owner.to_owned(),
        };
        self.running.insert(task, running);
    }

    /// Records that a task holds no slot of an agent any more.
    pub fn end(&mut self, task: Task, agent: placement::Key) {
        if self.running.get(&task).is_some_and(|r| r.agent == agent)
            && let Some(running) = self.running.remove(&task)
        {
            for usage in [
                usage(&mut self.kinds, &running.kind),
                usage(&mut self.owners, &running.owner),
            ] {
                usage.running = usage.running.saturating_sub(1);
            }
        }
    }

    /// Forgets all tasks of an agent that was lost.
    pub fn lose(&mut self, agent: placement::Key) {
        let lost: Vec<Task> = self
            .running
            .iter()
            .filter(|(_task, running)| running.agent == agent)
            .map(|(task, _running)| *task)
            .collect();
        for task in lost {
            self.end(task, agent);
        }
    }
}

impl Usage {
    fn allows(
        &mut self,
        max_running: Option<u32>,
        max_rate: Option<u32>,
        places: &[Place],
        now: Mono,
    ) -> bool {
        if max_running.is_some_and(|limit| self.running >= share(limit, places)) {
            return false;
        }
        max_rate.is_none_or(|limit| {
            let rate = rate_share(limit, places);
            let most = (rate * BURST.as_secs_f64()).max(1.0);
            let gained = rate * now.since(self.refilled).as_secs_f64();
            self.refilled = now;
            self.tokens = (self.tokens + gained).min(most);
            self.tokens >= 1.0 && rate > 0.0
        })
    }
}

fn usage<'a>(table: &'a mut HashMap<String, Usage>, name: &str) -> &'a mut Usage {
    table.entry(name.to_owned()).or_default()
}
