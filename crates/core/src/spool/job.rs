//! Jobs that need not be kept, as callers submit them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Id of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Name of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: Id,
    /// Step within the job, from 0.
    pub step: u16,
    /// Task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// Resources of a backend server, or a part of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `part` fits into these.
    pub fn fits(&self, part: &Self) -> bool {
        part.cpu <= self.cpu && part.memory <= self.memory && part.accelerators <= self.accelerators
    }

    /// Returns what is left without `part`; nothing falls below zero.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(part.cpu),
            memory: self.memory.saturating_sub(part.memory),
            accelerators: self.accelerators.saturating_sub(part.accelerators),
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn with(&self, part: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(part.cpu),
            memory: self.memory.saturating_add(part.memory),
            accelerators: self.accelerators.saturating_add(part.accelerators),
        }
    }
}

/// One step: tasks that are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub needs: Resources,
    /// Rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: SmallVec<[u16; 4]>,
    /// Label that the backend server must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data; elsewhere the tasks take longer.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one backend server.
    pub spread: Option<u32>,
}

/// A submitted job.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id of the job.
    pub id: Id,
    /// What the backend servers get with each task.
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// How long the caller waits for the answer.
    pub budget: Duration,
}

impl Request {
    /// Returns the number of tasks.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| step.tasks as usize).sum()
    }
}
