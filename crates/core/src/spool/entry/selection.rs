//! Selects one of the agents that could run a task.
//!
//! Designed for tens of entries that place tasks on the same hundreds of servers, each by reports
//! that are some milliseconds old. If every entry took the agent with the lowest cost, all of them
//! would take the same one, and most of their tasks would find its server full. Instead, an entry
//! draws one at random among the agents that end the task in time. It draws from its home share,
//! the agents that report to it frequently, while one of those is suitable. Agents with much free
//! capacity are drawn more often.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Share of the time left for a task within which its expected end has to lie for the agent to
/// count as suitable. The rest covers run times longer than declared and a server that turns out full.
pub(super) const SUITABLE_TIME_SHARE: f64 = 0.6;

/// Factor on the lowest cost up to which agents are drawn from if none is suitable.
const NEARLY_BEST_FACTOR: f64 = 1.15;

/// Smallest weight of an agent in the draw, for a server without free capacity.
const MIN_FREE_TASKS: f64 = 0.2;

/// How well an entry knows the load of an agent. The order is that of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Knowledge {
    /// The agent belongs to the home share and reports each change of its load.
    Home,
    /// The agent has just reported its load.
    Current,
    /// The agent has to send a new report before a task can be placed there.
    Outdated,
}

/// Rating of an agent that could run a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rating {
    /// Expected time until the end of the task plus penalties.
    pub cost_seconds: f64,
    /// Number of such tasks that fit into the free CPU of the server.
    pub free_tasks: f64,
    /// How well the entry knows the load of the agent.
    pub knowledge: Knowledge,
}

/// Returns the position of the agent to place a task on, `None` if there are no ratings.
/// `time_left` is the time until the end of the task is of no use any more.
pub fn select(ratings: &[Rating], time_left: Duration, random: &mut SmallRng) -> Option<usize> {
    let costs = || ratings.iter().map(|rating| rating.cost_seconds);
    let least_cost = costs().min_by(f64::total_cmp)?;
    let suitable_cost = time_left.as_secs_f64() * SUITABLE_TIME_SHARE;
    let max_cost = if least_cost <= suitable_cost {
        suitable_cost
    } else {
        least_cost * NEARLY_BEST_FACTOR
    };
    let affordable = || {
        ratings
            .iter()
            .enumerate()
            .filter(|(_position, rating)| rating.cost_seconds <= max_cost)
    };
    let knowledge = affordable()
        .map(|(_position, rating)| rating.knowledge)
        .min()?;
    // The first arrival of independent Poisson processes is a draw in proportion to their rates.
    let mut first: Option<(f64, usize)> = None;
    for (position, rating) in affordable() {
        if rating.knowledge != knowledge {
            continue;
        }
        let speed = least_cost / rating.cost_seconds;
        let rate = rating.free_tasks.max(MIN_FREE_TASKS) * speed;
        let arrival = -(1.0 - random.random::<f64>()).ln() / rate;
        if first.is_none_or(|(earliest, _position)| arrival < earliest) {
            first = Some((arrival, position));
        }
    }
    first.map(|(_arrival, position)| position)
}
