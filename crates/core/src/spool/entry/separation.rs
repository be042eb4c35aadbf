//! Restricts the choice of agents to those where a task is beside as few tasks as possible that it
//! interferes with.
//!
//! Designed for tens of agents of which some have room. Only agents that have room at once and that
//! are suitable with the interference included are preferred. If there is none, the choice is that
//! without separation, so that no task waits longer or is refused because of it.

use std::time::Duration;

use smallvec::SmallVec;

use super::selection::{Rating, SUITABLE_TIME_SHARE};

/// Extra run time above the least one, as a share of the cost, up to which agents are preferred.
/// Several entries place tasks at the same time and would overload a single best agent.
const TOLERATED_COST_SHARE: f64 = 0.1;

/// An agent that could run a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Site {
    /// Rating without interference.
    pub rating: Rating,
    /// Growth of run times in seconds that is expected from the interference between the task and
    /// those beside it; `None` if it is not known what runs there.
    pub extra_seconds: Option<f64>,
    /// Whether the task can start there at once.
    pub has_room: bool,
}

/// Returns the positions of the agents to choose from, with their extra run times; `None` if
/// interference makes no difference to the choice. `time_left` is the time until the end of the task
/// is of no use any more.
pub fn preferred_sites(
    sites: &[Site],
    time_left: Duration,
) -> Option<SmallVec<[(usize, f64); 32]>> {
    let known = || sites.iter().filter_map(|site| site.extra_seconds);
    let known_count = known().count();
    if !known().any(|extra| extra > 0.0) {
        return None;
    }
    // An agent of an earlier version does not tell what runs there. It counts as an average one.
    let mean = known().sum::<f64>() / known_count as f64;
    let limit = time_left.as_secs_f64() * SUITABLE_TIME_SHARE;
    let suitable = || {
        sites.iter().enumerate().filter_map(|(position, site)| {
            let extra = site.extra_seconds.unwrap_or(mean);
            let is_suitable = site.has_room && site.rating.cost_seconds + extra <= limit;
            is_suitable.then_some((position, site, extra))
        })
    };
    let knowledge = suitable().map(|(_, site, _)| site.rating.knowledge).min()?;
    let best_known = || suitable().filter(|(_, site, _)| site.rating.knowledge == knowledge);
    let least = best_known()
        .map(|(_, _, extra)| extra)
        .min_by(f64::total_cmp)?;
    let is_tolerated = |(_, site, extra): &(usize, &Site, f64)| {
        *extra <= least + site.rating.cost_seconds * TOLERATED_COST_SHARE
    };
    let preferred = best_known().filter(is_tolerated);
    Some(
        preferred
            .map(|(position, _site, extra)| (position, extra))
            .collect(),
    )
}
