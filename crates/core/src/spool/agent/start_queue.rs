//! Order in which queued tasks of all entries start.
//!
//! In a burst, short urgent tasks of several entries compete with long ones for the same server.
//! The task with the earliest latest start goes first. A task that has missed its latency
//! objective yields to those that can still meet theirs.

use std::sync::Arc;

use super::super::job::TaskName;
use super::super::log_line::LogLine;
use super::super::message::{DeclineReason, End};
use super::{Action, Agent, Evidence, Phase, Progress, Run, RunKey};
use crate::time::{Monotonic, Now};

/// Sort key of queued runs: on time before late, then by the latest start, then by the priority of
/// the queue.
fn start_order_key(run: &Run, now: Monotonic) -> (bool, Monotonic, u8) {
    let is_late = run.latest_start < now;
    (is_late, run.latest_start, run.start.priority)
}

impl Agent {
    /// Starts the queued runs that fit into the free resources, most urgent first, and declines
    /// those that have waited for longer than their entry allows.
    pub(super) fn start_queued_runs(&mut self, now: Now) {
        let mut queued = self.queued_runs();
        if queued.is_empty() {
            return;
        }
        queued.sort_by_key(|&key| start_order_key(&self.runs[key], now.mono));
        let can_start = self.can_start_any(now.mono);
        for key in queued {
            let run = &self.runs[key];
            if can_start && self.is_entry_alive(run, now.mono) && self.has_room_for(run, now.mono) {
                self.start_run(key, now);
            } else if now.mono.since(run.arrived_at) >= run.start.max_queue_time {
                self.finish_run(
                    key,
                    End::NotStarted(DeclineReason::Busy),
                    Evidence::NeverSent,
                    now,
                );
            }
        }
    }

    /// Returns the runs that wait for free resources.
    pub(super) fn queued_runs(&self) -> Vec<RunKey> {
        self.runs
            .iter()
            .filter(|(_key, run)| run.phase == Phase::Queued)
            .map(|(key, _run)| key)
            .collect()
    }

    fn has_room_for(&self, run: &Run, now: Monotonic) -> bool {
        let started = self.started_run_count();
        self.free_resources().can_hold(&run.start.needs) && self.health.open_slots(started, now) > 0
    }

    /// Returns the number of runs that the backend server may know of.
    pub(super) fn started_run_count(&self) -> usize {
        self.runs_by_start_number.len()
    }

    /// Returns whether the backend server may get any start request now. While another incarnation
    /// may have taken its place, a start would carry a lease end on the wrong clock.
    fn can_start_any(&self, now: Monotonic) -> bool {
        self.has_read_run_lists
            && self.unknown_runs.is_empty()
            && !self.has_overdue_stop(now)
            && !self.has_open_claim()
            && self
                .backend
                .as_ref()
                .is_some_and(|backend| !backend.is_unreachable && backend.unanswered_at.is_none())
    }

    fn start_run(&mut self, key: RunKey, now: Now) {
        let Some(lease_until_ms) = self.lease_end_ms(now.mono) else {
            return;
        };
        let Some(backend) = self.backend.as_ref() else {
            return;
        };
        let incarnation = Arc::clone(&backend.incarnation);
        let started_at_ms = backend.started_at_ms;
        // Start numbers follow the wall clock, so that they rise across restarts of the agent too.
        self.last_start_number = now.wall.0.max(self.last_start_number + 1);
        let number = self.last_start_number;
        let token = self.fencing_token;
        self.runs_by_start_number.insert(number, key);
        let run = &mut self.runs[key];
        run.phase = Phase::Starting;
        run.phase_since = now.mono;
        run.incarnation = Some(Arc::clone(&incarnation));
        run.fencing_token = token;
        run.start_sent_at = now.mono;
        run.progress = Progress::new(now.mono);
        run.start_number = number;
        self.reserved = self.reserved.with(&run.start.needs);
        if let Some(neighbours) = &mut self.neighbours {
            neighbours.start(key, now.mono);
        }
        let name: TaskName = run.start.name;
        let line = LogLine::new("Starting a task.")
            .with("job", name)
            .with("run", number)
            .with("waited_ms", now.mono.since(run.arrived_at).as_millis())
            .with("late", run.latest_start < now.mono)
            .with("entry", &run.entry);
        let spec = Arc::clone(&run.start.spec);
        self.log(line);
        self.record_lease_renewal(now.mono);
        self.actions.push(Action::Start {
            key,
            name,
            number,
            spec,
            until: lease_until_ms,
            token,
            incarnation,
            started_at_ms,
        });
    }
}
