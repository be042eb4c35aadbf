//! Measures how the resource usage of an entry grows with the numbers of agents, entries and tasks,
//! and fits a line to each quantity by least squares.

mod agent_group;
mod fit;
mod measurements;

pub use agent_group::AgentGroup;
pub use fit::{Fit, Sample};
pub use measurements::{
    Measurement, measure_agents, measure_entries, measure_stored_sizes, measure_tasks,
};
