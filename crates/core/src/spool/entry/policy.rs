//! What may vary in an entry's decisions.

use std::time::Duration;

use super::admission::{Backlog, admit};
use super::placement::{Candidate, Choice, Demand, judge};

/// How an entry chooses agents and takes jobs on. The default is the product's; replays of loads play
/// simpler ones beside it.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Returns what an agent is worth for a task, `None` if it is of no use.
    pub judge: fn(&Candidate, &Demand) -> Option<Choice>,
    /// Decides whether a job is taken that has to start within a time, or when it is worth coming
    /// back.
    pub admit: fn(&Backlog, Duration) -> Result<(), Duration>,
}

impl Default for Policy {
    fn default() -> Self {
        Self { judge, admit }
    }
}
