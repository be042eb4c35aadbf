//! Progress of a job through its steps: which steps may start, and how long the steps take that are
//! still to come.
//!
//! Designed for jobs of up to a thousand steps, each of which may depend on all earlier ones. The
//! work over the whole life of a job is linear in its steps and dependencies.

use std::ops::Range;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::job::Step;

/// Numbers of steps.
pub type StepList = SmallVec<[u16; 4]>;

/// Steps of a job, with what is left of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    steps: Vec<Progress>,
    /// Numbers of the dependent steps, grouped by the step that they depend on.
    dependents: Vec<u16>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Progress {
    /// Positions of the step's tasks among all tasks of the job.
    tasks: Range<usize>,
    unfinished_tasks: u32,
    /// Number of dependencies on steps that have tasks left. A repeated dependency counts each time.
    unmet_dependencies: u32,
    /// Positions of the dependent steps in [`Plan::dependents`].
    dependents: Range<usize>,
    /// Longest chain of dependent steps that begins at this step or a later one.
    longest_chain: Duration,
}

impl Plan {
    /// Creates the plan of a job of which nothing has run. `run_time` returns the expected run time
    /// of a step's tasks. Dependencies on the step itself or later ones are ignored.
    pub fn new<F>(steps: &[Step], run_time: F) -> Self
    where
        F: Fn(&Step) -> Duration,
    {
        let mut plan = Self {
            steps: Vec::with_capacity(steps.len()),
            dependents: Vec::new(),
        };
        let mut first_task = 0;
        for step in steps {
            let tasks = first_task..first_task + step.task_count as usize;
            first_task = tasks.end;
            plan.steps.push(Progress {
                tasks,
                unfinished_tasks: step.task_count,
                unmet_dependencies: 0,
                dependents: 0..0,
                longest_chain: Duration::ZERO,
            });
        }
        plan.group_dependents(steps);
        plan.find_longest_chains(steps, run_time);
        plan
    }

    fn group_dependents(&mut self, steps: &[Step]) {
        for (before, after) in dependencies(steps) {
            self.steps[before].dependents.end += 1;
            if steps[before].task_count > 0 {
                self.steps[after].unmet_dependencies += 1;
            }
        }
        let mut first = 0;
        for step in &mut self.steps {
            let count = step.dependents.end;
            step.dependents = first..first;
            first += count;
        }
        self.dependents = vec![0; first];
        for (before, after) in dependencies(steps) {
            let range = &mut self.steps[before].dependents;
            self.dependents[range.end] = after as u16;
            range.end += 1;
        }
    }

    fn find_longest_chains<F>(&mut self, steps: &[Step], run_time: F)
    where
        F: Fn(&Step) -> Duration,
    {
        // Chains that begin at the step itself, which the loop needs for all later steps.
        let mut chains = vec![Duration::ZERO; steps.len()];
        let mut longest = Duration::ZERO;
        for (number, step) in steps.iter().enumerate().rev() {
            let dependents = &self.dependents[self.steps[number].dependents.clone()];
            let next = dependents.iter().map(|&after| chains[usize::from(after)]);
            chains[number] = run_time(step) + next.max().unwrap_or_default();
            longest = longest.max(chains[number]);
            self.steps[number].longest_chain = longest;
        }
    }

    /// Returns the positions of a step's tasks among all tasks of the job.
    pub fn tasks_of(&self, step: u16) -> Range<usize> {
        self.steps[usize::from(step)].tasks.clone()
    }

    /// Returns whether a step has to wait for others.
    pub fn is_blocked(&self, step: u16) -> bool {
        self.steps[usize::from(step)].unmet_dependencies > 0
    }

    /// Returns the expected time of the longest chain of dependent steps from `first` on, zero if
    /// there is no such step.
    pub fn longest_chain(&self, first: u16) -> Duration {
        self.steps
            .get(usize::from(first))
            .map_or(Duration::ZERO, |step| step.longest_chain)
    }

    /// Records the success of a task of a step, and returns the steps that may start now.
    pub fn complete_task(&mut self, step: u16) -> StepList {
        let done = &mut self.steps[usize::from(step)];
        done.unfinished_tasks -= 1;
        if done.unfinished_tasks > 0 {
            return StepList::new();
        }
        let dependents = done.dependents.clone();
        let mut unblocked = StepList::new();
        for &after in &self.dependents[dependents] {
            let waiting = &mut self.steps[usize::from(after)];
            waiting.unmet_dependencies -= 1;
            if waiting.unmet_dependencies == 0 {
                unblocked.push(after);
            }
        }
        unblocked
    }

    /// Returns the number of steps and dependencies, to which the work of a plan is proportional.
    pub fn size(&self) -> usize {
        self.steps.len() + self.dependents.len()
    }

    /// Returns the number of dependencies on a step that its end has met, 0 before its end.
    pub fn released_dependencies(&self, step: u16) -> usize {
        let step = &self.steps[usize::from(step)];
        if step.unfinished_tasks == 0 {
            step.dependents.len()
        } else {
            0
        }
    }
}

/// Returns the pairs of a step and an earlier one that it depends on, the earlier one first.
fn dependencies(steps: &[Step]) -> impl Iterator<Item = (usize, usize)> {
    steps.iter().enumerate().flat_map(|(number, step)| {
        let earlier = step.depends_on.iter().map(|&before| usize::from(before));
        earlier
            .filter(move |before| *before < number)
            .map(move |before| (before, number))
    })
}
