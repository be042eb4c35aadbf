//! Which waiting task starts next, over all entries.
//!
//! Load pattern: bursts in which short urgent tasks of several entries meet long ones on the same
//! server. The task whose objective leaves the least time goes first; one that has missed it
//! yields to those that can still meet theirs.

use std::sync::Arc;

use super::super::job::TaskName;
use super::super::message::{Declined, End};
use super::super::note::Note;
use super::{Action, Agent, Phase, Run, RunKey};
use crate::time::{Mono, Now};

/// Order of starts: on time before late, then by the latest start, then by rank of the queue.
fn urgency(run: &Run, now: Mono) -> (bool, Mono, u8) {
    let late = run.latest_start < now;
    (late, run.latest_start, run.start.priority)
}

impl Agent {
    /// Starts what has room, most urgent first, and hands back what waited too long.
    pub(super) fn start_queued(&mut self, now: Now) {
        let mut queued = self.queued();
        if queued.is_empty() {
            return;
        }
        queued.sort_by_key(|&key| urgency(&self.runs[key], now.mono));
        let may_start = self.may_start(now.mono);
        for key in queued {
            let run = &self.runs[key];
            if may_start && self.is_link_alive(run, now.mono) && self.has_room(run, now.mono) {
                self.start_run(key, now);
            } else if now.mono.since(run.arrived) >= run.start.patience {
                self.finish(key, End::NotStarted(Declined::Busy), now);
            }
        }
    }

    /// Returns the runs that wait for room.
    pub(super) fn queued(&self) -> Vec<RunKey> {
        self.runs
            .iter()
            .filter(|(_key, run)| run.phase == Phase::Queued)
            .map(|(key, _run)| key)
            .collect()
    }

    fn has_room(&self, run: &Run, now: Mono) -> bool {
        let started = self.started_runs();
        self.free().fits(&run.start.needs) && self.health.open(started, now) > 0
    }

    /// Returns the number of runs that the server may know of.
    pub(super) fn started_runs(&self) -> usize {
        self.by_number.len()
    }

    /// Returns whether the server may get a start at all.
    fn may_start(&self, now: Mono) -> bool {
        self.swept
            && self.strays.is_empty()
            && !self.is_stop_stuck(now)
            && self.backend.as_ref().is_some_and(|backend| !backend.down)
    }

    fn start_run(&mut self, key: RunKey, now: Now) {
        let Some(until) = self.lease_end(now.mono) else {
            return;
        };
        let Some(incarnation) = self.backend.as_ref().map(|b| Arc::clone(&b.incarnation)) else {
            return;
        };
        self.last_number = now.wall.0.max(self.last_number + 1);
        let number = self.last_number;
        let token = self.token;
        self.by_number.insert(number, key);
        let run = &mut self.runs[key];
        run.phase = Phase::Starting;
        run.since = now.mono;
        run.started = now.mono;
        run.progress = (0, now.mono);
        run.number = number;
        self.reserved = self.reserved.with(&run.start.needs);
        let name: TaskName = run.start.name;
        let note = Note::new("Starting a task.")
            .with("job", name)
            .with("run", number)
            .with("waited_ms", now.mono.since(run.arrived).as_millis())
            .with("late", run.latest_start < now.mono)
            .with("entry", &run.entry);
        let spec = Arc::clone(&run.start.spec);
        self.note(note);
        self.lease_sent(now.mono);
        self.actions.push(Action::Start {
            key,
            name,
            number,
            spec,
            until,
            token,
            incarnation,
        });
    }
}
