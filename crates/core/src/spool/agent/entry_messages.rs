//! Handling of the messages that entries send to the agent.

use super::super::log_line::LogLine;
use super::super::message::{
    DeclineReason, DispatchId, End, Kind, Order, Start, StartKinds, Timestamp,
};
use super::{Agent, ConnectionKey, Evidence, Phase, Profile, Progress, Run};
use crate::time::{Monotonic, Now};

impl Agent {
    /// Handles a message of an entry. A message whose echoed timestamp is older than
    /// `safety.entry_silence_limit` does not extend the time for which the entry counts as alive,
    /// and its tasks are declined unless an earlier message still keeps the entry alive. So are tasks
    /// of a message that echoes no report of the server's present profile.
    pub fn handle_order(&mut self, connection: ConnectionKey, order: Order, now: Now) {
        self.handle_order_with_kinds(connection, order, None, now);
    }

    /// Handles a message of an entry and the optional part behind it, which also asks for what runs
    /// beside the entry's tasks. See [`Agent::handle_order`].
    pub fn handle_order_with_kinds(
        &mut self,
        connection: ConnectionKey,
        order: Order,
        kinds: Option<StartKinds>,
        now: Now,
    ) {
        self.handle_expiries(now);
        if !self.record_entry_message(connection, &order, now) {
            return;
        }
        if let Some((version, data_centres)) = order.out_of_service
            && version > self.out_of_service.0
        {
            let line = LogLine::new("Received a new list of data centres out of service.")
                .with("version", version)
                .with("data_centres", data_centres.join(","));
            self.out_of_service = (version, data_centres);
            self.log(line);
            self.decline_queued_that_cannot_run(now);
        }
        for ticket in order.cancels {
            self.cancel(connection, ticket, now);
        }
        if !order.starts.is_empty() {
            self.schedule_load_reports(now.mono);
        }
        self.set_wants_neighbours(connection, kinds.is_some(), now.mono);
        let mut kinds = kinds.unwrap_or_default().kinds.into_iter();
        for start in order.starts {
            self.record_task_cpu(start.needs.cpu_millicores);
            let kind = kinds.next().unwrap_or(Kind::OTHER);
            self.accept_or_decline(connection, start, kind, order.echoed_timestamp, now);
        }
        self.start_queued_runs(now);
        self.set_reduced_reporting(connection, order.reduced_reporting, now.mono);
        self.send_due_reports(now.mono);
    }

    /// Records the sequence number of a message, and counts the entry as alive for
    /// `safety.entry_silence_limit` after the echoed timestamp. Returns whether the connection is
    /// still known.
    ///
    /// The time counts from when the agent sent that stamp, not from when the message arrived: a
    /// message that was delayed on the way must not extend the permission to run tasks. A stamp that
    /// the agent's clock does not show yet is none of its own.
    fn record_entry_message(&mut self, key: ConnectionKey, order: &Order, now: Now) -> bool {
        let silence = self.safety.entry_silence_limit;
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        connection.last_sequence = order.sequence;
        if let Some(echo) = order.echoed_timestamp
            && echo.0 <= now.mono.0
        {
            let until = Monotonic(echo.0).plus(silence);
            if until > now.mono {
                connection.alive_until = connection.alive_until.max(until);
            }
        }
        true
    }

    fn cancel(&mut self, connection: ConnectionKey, ticket: DispatchId, now: Now) {
        let found = self
            .runs
            .iter()
            .find(|(_key, run)| run.connection == Some(connection) && run.start.ticket == ticket)
            .map(|(key, run)| (key, run.phase));
        let Some((key, phase)) = found else {
            return;
        };
        let end = if phase == Phase::Queued {
            End::NotStarted(DeclineReason::Cancelled)
        } else {
            End::Lost
        };
        self.stop_run(key, end, "cancelled", now);
    }

    /// Queues a task, or declines it if its entry counts as silent, the server cannot run it, or the
    /// entry chose the server by a profile that it no longer has. `echo` is the timestamp that the
    /// entry echoed in the message with the task.
    fn accept_or_decline(
        &mut self,
        key: ConnectionKey,
        start: Start,
        kind: Kind,
        echo: Option<Timestamp>,
        now: Now,
    ) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let decline = if connection.alive_until <= now.mono {
            Some((DeclineReason::Stale, Evidence::NeverSent))
        } else if !self.knows_profile(key, echo.filter(|echo| echo.0 <= now.mono.0)) {
            Some((DeclineReason::Closed, Evidence::ServerChanged))
        } else if !self.can_run(&start) {
            Some((DeclineReason::Closed, Evidence::NeverSent))
        } else {
            None
        };
        let entry = connection.entry.clone();
        let latest_start = if start.slack_us < 0 {
            Monotonic(now.mono.0.saturating_sub(start.slack_us.unsigned_abs()))
        } else {
            Monotonic(now.mono.0.saturating_add(start.slack_us.unsigned_abs()))
        };
        let cpu = start.needs.cpu_millicores;
        let run = self.runs.insert(Run {
            start,
            connection: Some(key),
            entry,
            arrived_at: now.mono,
            latest_start,
            phase: Phase::Queued,
            phase_since: now.mono,
            start_number: 0,
            incarnation: None,
            fencing_token: 0,
            start_sent_at: now.mono,
            start_settled_at: None,
            is_listed: false,
            hidden_since: None,
            progress: Progress::new(now.mono),
            stop_sent_at: None,
            stop_answered_at: None,
            may_have_run: false,
            end_if_stopped: End::Lost,
        });
        if let Some(neighbours) = &mut self.neighbours {
            neighbours.add_queued(run, kind, cpu);
        }
        if let Some((reason, evidence)) = decline {
            self.finish_run(run, End::NotStarted(reason), evidence, now);
        }
    }

    /// Returns whether the backend server offers the task's service and enough total capacity.
    fn can_run(&self, start: &Start) -> bool {
        self.is_accepting_tasks()
            && self.backend.as_ref().is_some_and(|backend| {
                let profile = backend.announced.profile();
                profile.service == start.service && profile.capacity.can_hold(&start.needs)
            })
    }

    /// Returns whether new tasks may start here at all: the server is ready and reachable, its data
    /// centre is in service and the agent is not draining.
    pub(super) fn is_accepting_tasks(&self) -> bool {
        let is_out_of_service = self.out_of_service.1.contains(&self.hello.data_centre);
        let is_ready = self
            .backend
            .as_ref()
            .is_some_and(|backend| backend.announced.is_ready() && !backend.is_unreachable);
        is_ready && !is_out_of_service && !self.is_draining
    }

    /// Declines the queued runs that may not start here any more after the server had the profile
    /// `previous`, so that their entries can place them elsewhere: all if the profile has changed or
    /// the server is closed, otherwise those of another service or too large.
    pub(super) fn handle_server_change(&mut self, previous: Option<&Profile>, now: Now) {
        let present = self.backend.as_ref().map(|b| b.announced.profile());
        if present != previous {
            for key in self.queued_runs() {
                self.finish_run(
                    key,
                    End::NotStarted(DeclineReason::Closed),
                    Evidence::ServerChanged,
                    now,
                );
            }
        }
        self.decline_queued_that_cannot_run(now);
    }

    /// Declines the queued runs that the server can't run, as it is closed, of another service or too
    /// small.
    pub(super) fn decline_queued_that_cannot_run(&mut self, now: Now) {
        for key in self.queued_runs() {
            if !self.can_run(&self.runs[key].start) {
                self.finish_run(
                    key,
                    End::NotStarted(DeclineReason::Closed),
                    Evidence::NeverSent,
                    now,
                );
            }
        }
        if !self.is_accepting_tasks() {
            self.schedule_load_reports(now.mono);
        }
    }
}
