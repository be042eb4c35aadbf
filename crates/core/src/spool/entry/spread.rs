//! Number of a step's tasks on each agent, for steps that limit it.

use std::collections::HashMap;

/// Tasks of one job that agents have or may have, by step and number of the agent.
#[derive(Debug, Default)]
pub struct Spread {
    counts: HashMap<(u16, u32), u32>,
}

impl Spread {
    /// Records that an agent got a task of a step.
    pub fn add(&mut self, step: u16, agent_number: u32) {
        *self.counts.entry((step, agent_number)).or_default() += 1;
    }

    /// Records that a task of a step is certainly gone from an agent.
    pub fn remove(&mut self, step: u16, agent_number: u32) {
        if let Some(count) = self.counts.get_mut(&(step, agent_number)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many tasks of a step an agent has or may have.
    pub fn count(&self, step: u16, agent_number: u32) -> u32 {
        let count = self.counts.get(&(step, agent_number));
        count.copied().unwrap_or_default()
    }
}
