//! Policies by which the agent for a task is chosen.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A way to choose the agent; all but the default are baselines for measurements.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Any agent, at once, whatever its load.
    Random,
    /// Each agent in turn, at once.
    RoundRobin,
    /// The one with fewer own tasks of two random agents, at once (Mitzenmacher, 1996).
    TwoChoices,
    /// The agent with the fewest own tasks, at once.
    LeastLoaded,
    /// The agent with room where the task is expected to end soonest; tasks wait at the entry
    /// until one has room.
    #[default]
    ExpectedEnd,
}
