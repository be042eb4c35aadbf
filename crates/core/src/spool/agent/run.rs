//! Life cycle of one task on the agent, from its arrival to its end.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::TaskName;
use super::super::log_line::{LogLine, key_label};
use super::super::message::{DeclineReason, End, Outcome, RunNeighbours, Start};
use super::{Action, Agent, ConnectionKey, Evidence, Progress, RunKey};
use crate::time::{Monotonic, Now};

/// Interval between two stop requests for the same run.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Phase of a task on the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The task waits for free capacity; the backend server does not know of it.
    Queued,
    /// The start request is in flight.
    Starting,
    /// The start request got no answer; the server's run lists will show whether the task runs.
    Unconfirmed,
    /// The backend server runs the task.
    Running,
    /// The task is being stopped. Its resources stay reserved until it certainly does not run.
    Stopping,
}

/// One task on the agent.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task as its entry sent it.
    pub start: Start,
    /// Connection that the task came over, `None` once that is closed.
    pub connection: Option<ConnectionKey>,
    /// Name of the entry that sent the task.
    pub entry: String,
    /// When the task arrived.
    pub arrived_at: Monotonic,
    /// Latest start at which the task still meets the latency objective of its queue.
    pub latest_start: Monotonic,
    /// Current phase.
    pub phase: Phase,
    /// When the run entered its current phase.
    pub phase_since: Monotonic,
    /// Start number, which identifies this run at the backend server; 0 while queued.
    pub start_number: u64,
    /// Incarnation of the server that the start request names, `None` while queued.
    pub incarnation: Option<Arc<str>>,
    /// Fencing token of the start request; 0 while queued.
    pub fencing_token: u64,
    /// When the start request was sent.
    pub start_sent_at: Monotonic,
    /// When the start request got its answer or was given up, `None` while it is on its way. Until
    /// then it may reach whichever process listens at the server's address.
    pub start_settled_at: Option<Monotonic>,
    /// Whether the server's run lists have shown the run as running.
    pub is_listed: bool,
    /// Since when lists with gaps have not shown the run, `None` while whole lists or its own row
    /// tell of it.
    pub hidden_since: Option<Monotonic>,
    /// Share of the work that is done.
    pub progress: Progress,
    /// When the last stop request was sent.
    pub stop_sent_at: Option<Monotonic>,
    /// When the backend server first answered a stop request. From then on it refuses a start of
    /// this run.
    pub stop_answered_at: Option<Monotonic>,
    /// Whether an incarnation that has ended since may have run the task. Then lists without the run do
    /// not show that it never started.
    pub may_have_run: bool,
    /// End to report to the entry once the stop is confirmed by lists that never showed the run.
    pub end_if_stopped: End,
}

/// A run that the backend server lists and this agent process does not know: a task of an earlier
/// process, or one that this agent has given up. The agent stops it and starts no task before it
/// is gone, since its resources are not in the agent's accounts.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnknownRun {
    pub name: TaskName,
    pub start_number: u64,
    pub found_at: Monotonic,
    pub stop_sent_at: Option<Monotonic>,
}

impl Agent {
    pub(super) fn set_phase(&mut self, key: RunKey, phase: Phase, now: Monotonic) {
        if let Some(run) = self.runs.get_mut(key) {
            run.phase = phase;
            run.phase_since = now;
        }
    }

    /// Stops a run and reports `end` once that is confirmed. A queued run ends at once.
    pub(super) fn stop_run(&mut self, key: RunKey, end: End, reason: &'static str, now: Now) {
        self.stop_run_with_details(key, end, reason, |line| line, now);
    }

    /// Stops a run as [`Self::stop_run`] does; `details` adds fields to the log line.
    pub(super) fn stop_run_with_details<F>(
        &mut self,
        key: RunKey,
        end: End,
        reason: &'static str,
        details: F,
        now: Now,
    ) where
        F: FnOnce(LogLine) -> LogLine,
    {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Queued => {
                let end = match end {
                    End::Lost => End::NotStarted(DeclineReason::Stale),
                    end => end,
                };
                self.finish_run(key, end, Evidence::NeverSent, now);
            }
            Phase::Stopping => {}
            Phase::Starting | Phase::Unconfirmed | Phase::Running => {
                run.end_if_stopped = if run.may_have_run { End::Lost } else { end };
                run.phase = Phase::Stopping;
                run.phase_since = now.mono;
                let line = LogLine::new("Stopping a task.")
                    .with("job", run.start.name)
                    .with("run", run.start_number)
                    .with("reason", reason)
                    .with("age_ms", now.mono.since(run.start_sent_at).as_millis());
                self.log(details(line));
                self.send_stop(key, now);
            }
        }
    }

    fn send_stop(&mut self, key: RunKey, now: Now) {
        let token = self.fencing_token;
        if let Some(run) = self.runs.get_mut(key) {
            run.stop_sent_at = Some(now.mono);
            let (name, number) = (run.start.name, run.start_number);
            self.actions.push(Action::Stop {
                name,
                number,
                token,
            });
        }
    }

    /// Sends each stop request again until the server's run lists confirm that the run is gone.
    pub(super) fn retry_stops(&mut self, now: Now) {
        let is_due = |sent: Option<Monotonic>| {
            sent.is_none_or(|at| now.mono.since(at) >= STOP_RETRY_INTERVAL)
        };
        let due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_key, run)| run.phase == Phase::Stopping && is_due(run.stop_sent_at))
            .map(|(key, _run)| key)
            .collect();
        for key in due {
            self.send_stop(key, now);
        }
        let token = self.fencing_token;
        for unknown in self
            .unknown_runs
            .iter_mut()
            .filter(|unknown| is_due(unknown.stop_sent_at))
        {
            unknown.stop_sent_at = Some(now.mono);
            self.actions.push(Action::Stop {
                name: unknown.name,
                number: unknown.start_number,
                token,
            });
        }
    }

    /// Returns whether a stop has been unconfirmed for longer than `safety.unconfirmed_stop_limit`.
    /// Then the agent no longer renews the lease, so that the server ends the run when the lease
    /// expires.
    pub(super) fn has_overdue_stop(&self, now: Monotonic) -> bool {
        let is_overdue = |since: Monotonic| now.since(since) > self.safety.unconfirmed_stop_limit;
        self.unknown_runs
            .iter()
            .any(|unknown| is_overdue(unknown.found_at))
            || self
                .runs
                .values()
                .any(|run| run.phase == Phase::Stopping && is_overdue(run.phase_since))
    }

    /// Handles the backend server's answer to a stop request for the run with the start number
    /// `number`. A start request that arrives after that answer is refused by the server.
    ///
    /// An answer to a request with an earlier fencing token may come from the incarnation before,
    /// so it does not count; the stop request is sent again.
    pub fn handle_stop_answer(&mut self, number: u64, token: u64, now: Now) {
        if token != self.fencing_token {
            return;
        }
        if let Some(&key) = self.runs_by_start_number.get(&number)
            && let Some(run) = self.runs.get_mut(key)
        {
            run.stop_answered_at.get_or_insert(now.mono);
            // Only the run lists confirm that the run is gone. The long poll in flight may have no
            // other end to return and so may take until its timeout.
            self.actions.push(Action::PollNow);
        }
    }

    /// Removes a run that certainly does not run any more, frees its resources and records the
    /// outcome for its entry.
    pub(super) fn finish_run(&mut self, key: RunKey, end: End, evidence: Evidence, now: Now) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let ran = if run.phase == Phase::Queued {
            Duration::ZERO
        } else {
            self.reserved = self.reserved.without(&run.start.needs);
            self.runs_by_start_number.remove(&run.start_number);
            now.mono.since(run.start_sent_at)
        };
        let line = LogLine::new("A task ended.")
            .with("job", run.start.name)
            .with("run", run.start_number)
            .with("end", format_args!("{end:?}"))
            .with("ran_ms", ran.as_millis())
            .with(
                "waited_ms",
                (now.mono.since(run.arrived_at).saturating_sub(ran)).as_millis(),
            )
            .with("entry", &run.entry)
            .with(
                "connection",
                run.connection
                    .map_or_else(|| "closed".to_owned(), key_label),
            )
            .with("evidence", <&str>::from(evidence));
        let line = match evidence.requested_at() {
            Some(at) => line.with("evidence_age_us", now.mono.since(at).as_micros()),
            None => line,
        };
        self.log(line);
        self.actions.push(Action::CountEnd(evidence));
        let shares = self.remove_neighbour(key, now.mono);
        if let Some(connection) = run.connection.and_then(|key| self.connections.get_mut(key)) {
            if let Some(shares) = shares
                && end == End::Done
                && connection.wants_neighbours
            {
                connection.ended_neighbours.push(RunNeighbours {
                    ticket: run.start.ticket,
                    shares,
                });
            }
            connection.outcomes.push(Outcome {
                ticket: run.start.ticket,
                end,
                ran,
            });
        }
        self.schedule_load_reports(now.mono);
    }
}
