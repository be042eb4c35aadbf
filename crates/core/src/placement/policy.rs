//! Placement policies.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// How the agent for a task is chosen. All policies but the default serve as baselines in
/// measurements.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// A random agent, immediately and regardless of load.
    Random,
    /// The agents in turn, immediately and regardless of load.
    RoundRobin,
    /// The one of two random agents that has fewer unfinished tasks of this entry, immediately
    /// (Mitzenmacher, 1996).
    TwoChoices,
    /// The agent with the fewest unfinished tasks of this entry, immediately.
    LeastLoaded,
    /// The agent with room on which the task is expected to end soonest. Tasks wait at the entry
    /// until such an agent has room.
    #[default]
    ExpectedEnd,
}
