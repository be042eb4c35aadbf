//! Jobs as callers submit them, for dispatch without a durable record.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Id of a job, chosen by its caller. Printed as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Name of a task, the same in each of its runs. Printed as `JOB/STEP/INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// Job of the task.
    pub job: Id,
    /// Number of the step within the job, from 0.
    pub step: u16,
    /// Number of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// An amount of each resource: the capacity of a backend server, or the needs of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `part` is at most this much of each resource.
    pub fn can_hold(&self, part: &Self) -> bool {
        part.cpu_millicores <= self.cpu_millicores
            && part.memory_mb <= self.memory_mb
            && part.accelerators <= self.accelerators
    }

    /// Returns the difference of each resource, zero where `part` is greater.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(part.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(part.memory_mb),
            accelerators: self.accelerators.saturating_sub(part.accelerators),
        }
    }

    /// Returns the sum of each resource.
    #[must_use]
    pub fn with(&self, part: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(part.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(part.memory_mb),
            accelerators: self.accelerators.saturating_add(part.accelerators),
        }
    }
}

/// One step of a job: a number of identical tasks that may run in parallel.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub task_count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// The caller's estimate of one task's run time; zero if it gives none.
    pub estimate: Duration,
    /// Numbers of the earlier steps that have to complete before this one starts.
    pub depends_on: SmallVec<[u16; 4]>,
    /// Label that a backend server needs to run the tasks.
    pub label: Option<Arc<str>>,
    /// Rack that holds the input data; the tasks take longer on servers in other racks.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step that may be on one backend server at a time; `None` for no limit.
    pub max_tasks_per_server: Option<u32>,
}

/// A submitted job.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id of the job, chosen by the caller.
    pub id: Id,
    /// Task specification, handed to the backend server with each task and not interpreted here.
    pub spec: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// How long the caller waits for the answer.
    pub timeout: Duration,
}

impl Request {
    /// Returns the CPU that all tasks need, in thousandths of a core.
    pub fn cpu(&self) -> f64 {
        self.steps
            .iter()
            .map(|step| f64::from(step.task_count) * f64::from(step.needs.cpu_millicores))
            .sum()
    }

    /// Returns the number of tasks in all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.task_count as usize).sum()
    }
}
