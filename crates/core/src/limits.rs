//! Concurrency and rate limits of kinds and owners. Each limit applies to all entries together.
//!
//! Each entry applies its share of a limit on its own, without asking the others. The shares of all
//! members sum to the limit. After a change of members, while members of an earlier epoch may still
//! hold a lease, an entry uses the smallest of its shares under all these epochs, so that the sum
//! does not exceed the limit. Unused shares are not lent to other entries.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::catalogue::{Kind, Owner};
use crate::job::Task;
use crate::placement;
use crate::time::Monotonic;

/// Burst size of the token bucket of a rate limit: the starts that the rate allows in this time may
/// be made at once.
const BURST_DURATION: Duration = Duration::from_millis(100);

/// Position of this entry among the members of one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPosition {
    /// Position in the order of member names, `None` if the entry is not a member.
    pub position: Option<usize>,
    /// Number of members.
    pub members: usize,
}

/// Positions of this entry in the present epoch and in all earlier epochs of which a lease may
/// still be held.
pub type MemberPositions = SmallVec<[MemberPosition; 2]>;

/// Returns the share of a concurrency limit that an entry at `places` may use: the smallest of its
/// shares at each place, 0 without any place.
pub fn concurrency_share(limit: u32, places: &[MemberPosition]) -> u32 {
    let share_at = |place: &MemberPosition| {
        let (Some(position), members) = (place.position, place.members as u32) else {
            return 0;
        };
        let extra = (position as u32) < limit % members;
        limit / members + u32::from(extra)
    };
    places.iter().map(share_at).min().unwrap_or(0)
}

/// Returns the share of a rate limit that an entry at `places` may use, in starts per second.
pub fn rate_share(limit: u32, places: &[MemberPosition]) -> f64 {
    let share_at = |place: &MemberPosition| match place.position {
        Some(_) => f64::from(limit) / place.members as f64,
        None => 0.0,
    };
    places.iter().map(share_at).reduce(f64::min).unwrap_or(0.0)
}

/// Usage of the limits of one kind or owner by this entry; the rate limit is a token bucket.
#[derive(Debug, Clone, Copy, Default)]
struct LimitUsage {
    running: u32,
    /// Starts that the rate limit allows at present.
    tokens: f64,
    refilled: Monotonic,
}

#[derive(Debug, Clone)]
struct RunningTask {
    agent: placement::AgentKey,
    kind: String,
    owner: String,
}

/// Usage of all limits by this entry.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    kinds: HashMap<String, LimitUsage>,
    owners: HashMap<String, LimitUsage>,
    running: HashMap<Task, RunningTask>,
}

impl Limits {
    /// Creates the state of an entry that has no running tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the limits of the kind and its owner allow another task to start at `now`.
    /// Refills the token buckets.
    pub fn allows_start(
        &mut self,
        kind: &Kind,
        owner: Option<&Owner>,
        places: &[MemberPosition],
        now: Monotonic,
    ) -> bool {
        let kind_usage = usage_of(&mut self.kinds, &kind.name);
        if !kind_usage.has_room(kind.max_running, kind.max_rate, places, now) {
            return false;
        }
        owner.is_none_or(|owner| {
            let usage = usage_of(&mut self.owners, &owner.name);
            usage.has_room(owner.max_running, owner.max_rate, places, now)
        })
    }

    /// Counts a task that was dispatched to an agent.
    pub fn record_start(
        &mut self,
        task: Task,
        agent: placement::AgentKey,
        kind: &str,
        owner: &str,
    ) {
        for usage in [
            usage_of(&mut self.kinds, kind),
            usage_of(&mut self.owners, owner),
        ] {
            usage.running += 1;
            usage.tokens = (usage.tokens - 1.0).max(-1.0);
        }
        let running = RunningTask {
            agent,
            kind: kind.to_owned(),
            owner: owner.to_owned(),
        };
        self.running.insert(task, running);
    }

    /// Stops counting a task that no longer holds a slot of the agent. Does nothing if the task has
    /// since been dispatched to another agent.
    pub fn record_end(&mut self, task: Task, agent: placement::AgentKey) {
        if self.running.get(&task).is_some_and(|r| r.agent == agent)
            && let Some(running) = self.running.remove(&task)
        {
            for usage in [
                usage_of(&mut self.kinds, &running.kind),
                usage_of(&mut self.owners, &running.owner),
            ] {
                usage.running = usage.running.saturating_sub(1);
            }
        }
    }

    /// Stops counting all tasks of an agent that was lost.
    pub fn remove_agent(&mut self, agent: placement::AgentKey) {
        let lost: Vec<Task> = self
            .running
            .iter()
            .filter(|(_task, running)| running.agent == agent)
            .map(|(task, _running)| *task)
            .collect();
        for task in lost {
            self.record_end(task, agent);
        }
    }
}

impl LimitUsage {
    /// Returns whether another task may start; refills the token bucket.
    fn has_room(
        &mut self,
        max_running: Option<u32>,
        max_rate: Option<u32>,
        places: &[MemberPosition],
        now: Monotonic,
    ) -> bool {
        if max_running.is_some_and(|limit| self.running >= concurrency_share(limit, places)) {
            return false;
        }
        max_rate.is_none_or(|limit| {
            let rate = rate_share(limit, places);
            let max_tokens = (rate * BURST_DURATION.as_secs_f64()).max(1.0);
            let refill = rate * now.since(self.refilled).as_secs_f64();
            self.refilled = now;
            self.tokens = (self.tokens + refill).min(max_tokens);
            self.tokens >= 1.0 && rate > 0.0
        })
    }
}

fn usage_of<'a>(table: &'a mut HashMap<String, LimitUsage>, name: &str) -> &'a mut LimitUsage {
    table.entry(name.to_owned()).or_default()
}
