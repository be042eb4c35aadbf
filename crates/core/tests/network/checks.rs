//! The promises, checked at every step of a run.

use std::collections::{BTreeSet, HashMap, HashSet};

use ibisspool_core::control::Row;
use ibisspool_core::entry::Entry;
use ibisspool_core::job::{Answer, Id, Spec, Task};
use ibisspool_core::refusal::Ran;

/// What a run must never break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No task starts twice.
    StartOnce,
    /// A complete answer holds every output of its job.
    WholeAnswer,
    /// Nothing of a job that ended "not run" starts, before or after.
    NotRun,
    /// Once a change is in force, nothing starts under an earlier epoch.
    InForce,
    /// The epoch of a process never falls.
    EpochRises,
}

/// An operator's change of the data centres in service.
#[derive(Debug, Clone)]
struct Change {
    epoch: u64,
    data_centres_out: BTreeSet<String>,
    in_force: bool,
}

/// What has happened so far in a run, as far as a promise speaks of it.
#[derive(Debug, Default)]
pub struct Checks {
    specs: HashMap<Id, Spec>,
    started: HashMap<Task, String>,
    not_run: HashSet<Id>,
    changes: Vec<Change>,
    sent: HashMap<(Task, String), (u32, u64)>,
    epochs: HashMap<String, u64>,
    /// Jobs with a complete answer.
    pub complete: HashSet<Id>,
    /// Operator changes in force.
    pub in_force: usize,
    /// The first broken promise.
    pub violation: Option<(Promise, String)>,
}

impl Checks {
    pub fn starts(&self) -> usize {
        self.started.len()
    }

    fn broken(&mut self, promise: Promise, what: String) {
        self.violation.get_or_insert((promise, what));
    }

    pub fn submitted(&mut self, spec: &Spec) {
        self.specs.insert(spec.id, spec.clone());
    }

    /// Notes a dispatch that reached an agent process.
    pub fn dispatched(&mut self, agent: &str, task: Task, attempt: u32, epoch: u64) {
        let sent = self
            .sent
            .entry((task, agent.to_owned()))
            .or_insert((attempt, epoch));
        if attempt > sent.0 {
            *sent = (attempt, epoch);
        }
    }

    pub fn start(&mut self, agent: &str, data_centre: &str, task: Task) {
        if let Some(first) = self.started.insert(task, agent.to_owned()) {
            self.broken(
                Promise::StartOnce,
                format!("{task:?} started at {first} and again at {agent}"),
            );
        }
        if self.not_run.contains(&task.job) {
            self.broken(
                Promise::NotRun,
                format!("{task:?} started at {agent} after \"not run\""),
            );
        }
        let epoch = self
            .sent
            .get(&(task, agent.to_owned()))
            .map_or(0, |sent| sent.1);
        let last = self.changes.iter().rev().find(|change| change.in_force);
        let Some(change) = last.cloned() else {
            return;
        };
        if epoch < change.epoch {
            self.broken(
                Promise::InForce,
                format!(
                    "{task:?} of epoch {epoch} started at {agent} with epoch {} in force",
                    change.epoch
                ),
            );
        }
        let newest = self.changes.last().map_or(0, |change| change.epoch);
        if newest == change.epoch && change.data_centres_out.contains(data_centre) {
            self.broken(
                Promise::InForce,
                format!("{task:?} started at {agent}, in a data centre out"),
            );
        }
    }

    pub fn answer(&mut self, id: Id, answer: &Answer, by: &str) {
        match answer {
            Answer::Complete(outputs) => {
                let whole = self.specs.get(&id).is_some_and(|s| s.inputs == *outputs);
                if !whole {
                    self.broken(
                        Promise::WholeAnswer,
                        format!("{by} answered {id} with {outputs:?}"),
                    );
                }
                self.complete.insert(id);
            }
            Answer::Refused(refusal) if refusal.ran == Ran::No => {
                if self.started.keys().any(|task| task.job == id) {
                    self.broken(
                        Promise::NotRun,
                        format!("{by} said \"not run\" of {id}: {}", refusal.reason),
                    );
                }
                self.not_run.insert(id);
            }
            Answer::Refused(_) => {}
        }
        if self.complete.contains(&id) && self.not_run.contains(&id) {
            self.broken(
                Promise::NotRun,
                format!("{id} was answered whole and \"not run\""),
            );
        }
    }

    pub fn written(&mut self, row: &Row) {
        self.changes.push(Change {
            epoch: row.epoch,
            data_centres_out: row.data_centres_out.clone(),
            in_force: false,
        });
    }

    /// Looks at an entry process after one of its steps.
    pub fn entry(&mut self, process: &str, entry: &Entry) {
        for change in &mut self.changes {
            if !change.in_force && entry.is_in_force(change.epoch) {
                change.in_force = true;
                self.in_force += 1;
            }
        }
        self.epoch(process, entry.epoch());
    }

    /// Notes the epoch of a process, named with its incarnation.
    pub fn epoch(&mut self, process: &str, epoch: u64) {
        let last = self.epochs.entry(process.to_owned()).or_insert(epoch);
        let before = *last;
        *last = epoch;
        if epoch < before {
            self.broken(
                Promise::EpochRises,
                format!("the epoch of {process} fell from {before} to {epoch}"),
            );
        }
    }
}
