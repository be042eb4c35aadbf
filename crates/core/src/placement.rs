//! Placement: the choice of the agent that runs a task.

mod agent;
mod estimate;
mod fleet;
mod policy;

use slotmap::new_key_type;

pub use agent::{Agent, MAX_TASKS_BEYOND_SLOTS};
pub use fleet::{Fleet, PlacementRequest};
pub use policy::Policy;

new_key_type! {
    /// Key of an agent in the fleet.
    pub struct AgentKey;
}
