//! Invariants that are checked at every step of a run.

use std::collections::{BTreeSet, HashMap, HashSet};

use ibisspool_core::control::Row;
use ibisspool_core::entry::Entry;
use ibisspool_core::job::{Answer, Id, Spec, Task};
use ibisspool_core::refusal::Ran;

/// An invariant that holds in every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No task starts twice.
    AtMostOneStart,
    /// A complete answer contains every output of its job.
    CompleteAnswerIsWhole,
    /// No task of a job that was answered as "not run" starts, before or after the answer.
    NotRunIsTrue,
    /// Once a change is in force, no task starts under an earlier epoch or in a data centre that
    /// the change took out of service.
    ChangeInForceHolds,
    /// The epoch of a process never decreases.
    EpochNeverFalls,
}

/// An operator's change of the data centres that are in service.
#[derive(Debug, Clone)]
struct Change {
    epoch: u64,
    data_centres_out: BTreeSet<String>,
    in_force: bool,
}

/// Checks the invariants against what has happened so far in a run.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    specs: HashMap<Id, Spec>,
    /// The agent that started each task.
    started: HashMap<Task, String>,
    answered_not_run: HashSet<Id>,
    changes: Vec<Change>,
    /// Attempt and epoch of the newest dispatch of each task to each agent.
    newest_dispatches: HashMap<(Task, String), (u32, u64)>,
    /// Epoch of each process, by name and incarnation.
    epochs: HashMap<String, u64>,
    /// Jobs with a complete answer.
    pub complete_jobs: HashSet<Id>,
    /// Number of operators' changes that came into force.
    pub changes_in_force: usize,
    /// The first violation of an invariant, with a description.
    pub violation: Option<(Invariant, String)>,
}

impl InvariantChecker {
    pub fn started_tasks(&self) -> usize {
        self.started.len()
    }

    fn record_violation(&mut self, promise: Invariant, what: String) {
        self.violation.get_or_insert((promise, what));
    }

    pub fn record_submission(&mut self, spec: &Spec) {
        self.specs.insert(spec.id, spec.clone());
    }

    /// Records a dispatch that reached an agent.
    pub fn record_dispatch(&mut self, agent: &str, task: Task, attempt: u32, epoch: u64) {
        let sent = self
            .newest_dispatches
            .entry((task, agent.to_owned()))
            .or_insert((attempt, epoch));
        if attempt > sent.0 {
            *sent = (attempt, epoch);
        }
    }

    /// Checks the start of a task at an agent.
    pub fn check_start(&mut self, agent: &str, data_centre: &str, task: Task) {
        if let Some(first) = self.started.insert(task, agent.to_owned()) {
            self.record_violation(
                Invariant::AtMostOneStart,
                format!("{task:?} started at {first} and again at {agent}"),
            );
        }
        if self.answered_not_run.contains(&task.job) {
            self.record_violation(
                Invariant::NotRunIsTrue,
                format!("{task:?} started at {agent} after \"not run\""),
            );
        }
        let epoch = self
            .newest_dispatches
            .get(&(task, agent.to_owned()))
            .map_or(0, |dispatch| dispatch.1);
        let last_in_force = self.changes.iter().rev().find(|change| change.in_force);
        let Some(change) = last_in_force.cloned() else {
            return;
        };
        if epoch < change.epoch {
            self.record_violation(
                Invariant::ChangeInForceHolds,
                format!(
                    "{task:?} of epoch {epoch} started at {agent} with epoch {} in force",
                    change.epoch
                ),
            );
        }
        let newest_epoch = self.changes.last().map_or(0, |change| change.epoch);
        if newest_epoch == change.epoch && change.data_centres_out.contains(data_centre) {
            self.record_violation(
                Invariant::ChangeInForceHolds,
                format!("{task:?} started at {agent}, in a data centre out of service"),
            );
        }
    }

    /// Checks an answer about a job that the entry `by` has decided.
    pub fn check_answer(&mut self, id: Id, answer: &Answer, by: &str) {
        match answer {
            Answer::Complete(outputs) => {
                let is_whole = self.specs.get(&id).is_some_and(|s| s.inputs == *outputs);
                if !is_whole {
                    self.record_violation(
                        Invariant::CompleteAnswerIsWhole,
                        format!("{by} answered {id} with {outputs:?}"),
                    );
                }
                self.complete_jobs.insert(id);
            }
            Answer::Refused(refusal) if refusal.ran == Ran::No => {
                if self.started.keys().any(|task| task.job == id) {
                    self.record_violation(
                        Invariant::NotRunIsTrue,
                        format!(
                            "{by} answered \"not run\" for {id}, which had started: {}",
                            refusal.reason
                        ),
                    );
                }
                self.answered_not_run.insert(id);
            }
            Answer::Refused(_) => {}
        }
        if self.complete_jobs.contains(&id) && self.answered_not_run.contains(&id) {
            self.record_violation(
                Invariant::NotRunIsTrue,
                format!("{id} was answered both as complete and as \"not run\""),
            );
        }
    }

    /// Records the row that an operator's change has written.
    pub fn record_change(&mut self, row: &Row) {
        self.changes.push(Change {
            epoch: row.epoch,
            data_centres_out: row.data_centres_out.clone(),
            in_force: false,
        });
    }

    /// Checks an entry after it has handled an event.
    pub fn check_entry(&mut self, process: &str, entry: &Entry) {
        for change in &mut self.changes {
            if !change.in_force && entry.is_in_force(change.epoch) {
                change.in_force = true;
                self.changes_in_force += 1;
            }
        }
        self.check_epoch(process, entry.epoch());
    }

    /// Checks the epoch of a process; `process` contains the name and incarnation.
    pub fn check_epoch(&mut self, process: &str, epoch: u64) {
        let last = self.epochs.entry(process.to_owned()).or_insert(epoch);
        let before = *last;
        *last = epoch;
        if epoch < before {
            self.record_violation(
                Invariant::EpochNeverFalls,
                format!("the epoch of {process} decreased from {before} to {epoch}"),
            );
        }
    }
}
