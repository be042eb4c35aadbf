//! Slopes of state, messages, processor time and memory of each role, by least squares over
//! several sizes.

mod crowd;
mod fit;
mod scenes;

pub use crowd::Crowd;
pub use fit::{Fit, Sample};
pub use scenes::{Scene, agents, changes, entries, tasks};
