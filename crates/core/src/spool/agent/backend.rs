//! The backend server: its announcements, its lease, and its answers to start requests.

use std::sync::Arc;
use std::time::Duration;

use super::super::log_line::LogLine;
use super::super::message::{DeclineReason, End, ServerState};
use super::announcement::{Announced, ClockReading};
use super::{Action, Agent, Evidence, Phase, Run, RunKey};
use crate::time::{Monotonic, Now};

/// Longest time for which one long poll may wait for an end; short enough to renew the lease twice
/// within the lease.
const MAX_POLL_WAIT: Duration = Duration::from_millis(200);

/// Calls without an answer in a row after which the server counts as unreachable.
const FAILURES_TO_UNREACHABLE: u32 = 2;

/// Least distance, in milliseconds of wall time, of the fencing token from the newest start number
/// that a raise of the token starts from.
const MIN_TOKEN_DISTANCE_MS: u64 = 4_000;

/// One long poll of the server's run lists, which also acknowledges ends and renews the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LongPoll {
    /// Incarnation of the server that the poll is meant for. Another incarnation counts its clock
    /// from its own start, so the same lease end would lie far in its future.
    pub incarnation: Arc<str>,
    /// Fencing token.
    pub token: u64,
    /// The agent has processed all ends up to this sequence number; the server may forget them.
    pub acknowledged_end: u64,
    /// New end of the lease in milliseconds on the server's clock; `None` lets the lease expire.
    pub lease_until_ms: Option<u64>,
    /// How long the server may delay its answer while no task ends.
    pub max_wait: Duration,
}

/// Result of a start request to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs.
    Started,
    /// The task does not run and will not: the fencing token was too low.
    Fenced,
    /// The task does not run and will not: the server refused it.
    Refused,
    /// Another incarnation listens at the server's address, so the request was not sent.
    OtherIncarnation,
    /// The connection was refused, so the request was not sent. Other tasks may still run.
    ConnectionRefused,
    /// No connection could be made, so the request was not sent. Other tasks may still run.
    NotSent,
    /// No answer came. The task may run, or may start later.
    Silent,
}

/// What the agent knows of the server.
#[derive(Debug, Clone)]
pub(super) struct Backend {
    pub incarnation: Arc<str>,
    pub started_at_ms: u64,
    pub announced: Announced,
    /// When the agent handled the answer that showed that this incarnation lives.
    pub adopted_at: Monotonic,
    /// Set by [`FAILURES_TO_UNREACHABLE`] failed calls in a row, cleared by the next answer.
    pub is_unreachable: bool,
    pub consecutive_failures: u32,
    /// When the last call failed or got no answer, `None` once run lists that were requested later
    /// have arrived.
    pub unanswered_at: Option<Monotonic>,
    /// Last reading of the server's clock.
    pub clock_reading: Option<ClockReading>,
    /// Sequence number up to which the agent has processed the ends.
    pub acknowledged_end: u64,
    /// When the last message that renews the lease was sent.
    pub lease_renewed_at: Option<Monotonic>,
    /// Until when the server may hold a lease of the longest duration, from a start request whose
    /// lease end was counted on the clock of the incarnation before.
    pub long_lease_until: Option<Monotonic>,
}

impl Backend {
    pub fn reported_state(&self) -> ServerState {
        let profile = self.announced.profile();
        ServerState {
            service: Arc::clone(&profile.service),
            capacity: profile.capacity,
            labels: profile.labels.clone(),
            ready: self.announced.is_ready(),
        }
    }
}

impl Agent {
    /// Raises the fencing token when the server's incarnation has changed. A request still in
    /// flight to the incarnation before carries a lease end on a clock that has started again,
    /// which would be far too late; the new incarnation refuses such a request by its lower token.
    pub(super) fn fence_off_previous_incarnation(&mut self) {
        self.fencing_token = self.fencing_token.saturating_add(1);
    }

    /// Handles the deregistration of an incarnation of the backend server: if it is the known one,
    /// it gets no new tasks.
    pub fn handle_deregistration(&mut self, incarnation: &str, now: Now) {
        let is_current = |backend: &&mut Backend| *backend.incarnation == *incarnation;
        if let Some(backend) = self.backend.as_mut().filter(is_current) {
            backend.announced.record_deregistration();
            self.log(LogLine::new("The backend server deregistered."));
            self.decline_queued_that_cannot_run(now);
        }
    }

    /// Ends as lost the runs that were sent to the server and for which `is_gone` holds: those that
    /// certainly neither run nor will run there. A start request that has not settled is on its way
    /// and may still reach whichever process listens next.
    pub(super) fn finish_lost_runs<F>(&mut self, is_gone: F, evidence: Evidence, now: Now)
    where
        F: Fn(&Run) -> bool,
    {
        let started = self.runs_by_start_number.values().copied();
        let keys: Vec<RunKey> = started.filter(|key| is_gone(&self.runs[*key])).collect();
        for key in keys {
            self.finish_run(key, End::Lost, evidence, now);
        }
    }

    /// Returns the next long poll to send to the server, `None` while no server is known or
    /// announced.
    pub fn next_poll(&mut self, now: Now) -> Option<LongPoll> {
        self.handle_expiries(now);
        if let Some(check) = self.next_claim_check(now.mono) {
            return Some(check);
        }
        let token = self.fencing_token;
        let lease_until_ms = self.lease_end_ms(now.mono);
        let backend = self.backend.as_ref()?;
        // After a call without an answer the server may be another process under the same id, with
        // a clock and numbers of ends of its own. Until it has answered, a poll only reads the run
        // lists. So a server whose answers are lost also keeps its lease no longer than its last
        // answer allows.
        let has_answered = backend.unanswered_at.is_none();
        let renews_lease =
            self.started_run_count() > 0 && has_answered && !self.has_overdue_stop(now.mono);
        let hold = LongPoll {
            incarnation: Arc::clone(&backend.incarnation),
            token,
            acknowledged_end: if has_answered {
                backend.acknowledged_end
            } else {
                0
            },
            lease_until_ms: lease_until_ms.filter(|_| renews_lease),
            max_wait: if self.has_read_run_lists && has_answered {
                MAX_POLL_WAIT
            } else {
                Duration::ZERO
            },
        };
        if hold.lease_until_ms.is_some() {
            self.record_lease_renewal(now.mono);
        }
        Some(hold)
    }

    /// Returns the end of a lease that starts now, in milliseconds on the server's clock. `None`
    /// until the server's clock has been read.
    ///
    /// The server's clock now shows at least the last reading plus the time since, less 2% for a
    /// slow clock. Counting the lease from that lower bound can make it shorter than intended,
    /// never longer.
    pub(super) fn lease_end_ms(&self, now: Monotonic) -> Option<u64> {
        let reading = self.backend.as_ref()?.clock_reading?;
        Some((reading.earliest(now) + self.safety.lease).as_millis() as u64)
    }

    pub(super) fn record_lease_renewal(&mut self, now: Monotonic) {
        if let Some(backend) = self.backend.as_mut() {
            backend.lease_renewed_at = Some(now);
        }
    }

    /// Handles the result of a start request.
    pub fn handle_start_answer(&mut self, key: RunKey, answer: StartAnswer, now: Now) {
        self.handle_expiries(now);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (name, sent_at) = (run.start.name, run.start_sent_at);
        run.start_settled_at.get_or_insert(now.mono);
        let has_newest_token = run.fencing_token == self.fencing_token;
        let is_stopping = run.phase == Phase::Stopping;
        if !has_newest_token && matches!(answer, StartAnswer::Started | StartAnswer::Silent) {
            self.allow_for_long_lease(now.mono);
            self.actions.push(Action::PollNow);
        }
        if matches!(answer, StartAnswer::Silent | StartAnswer::OtherIncarnation) {
            self.record_unanswered_call(now.mono);
            self.actions.push(Action::PollNow);
        }
        if is_stopping || self.runs[key].is_listed {
            // A stop request has been sent meanwhile, and its confirmation ends the run; or the
            // server's own lists have shown the run, which outweighs this answer.
            return;
        }
        let phase = self.runs[key].phase;
        match answer {
            StartAnswer::Started => {
                if phase != Phase::Running {
                    self.set_phase(key, Phase::Running, now.mono);
                }
                return;
            }
            StartAnswer::Fenced if has_newest_token => self.raise_fencing_token(),
            StartAnswer::Fenced | StartAnswer::Refused | StartAnswer::OtherIncarnation => {}
            StartAnswer::ConnectionRefused => self.record_failed_call(true, now),
            StartAnswer::NotSent => self.record_failed_call(false, now),
            StartAnswer::Silent => {
                if phase == Phase::Starting {
                    self.set_phase(key, Phase::Unconfirmed, now.mono);
                    self.log(LogLine::warn("A start request got no answer.").with("job", name));
                }
                return;
            }
        }
        let line = LogLine::new("A task could not be started at the backend server.")
            .with("job", name)
            .with("answer", format_args!("{answer:?}"));
        self.log(line);
        if answer == StartAnswer::Refused {
            self.record_failed_task(name, false, now);
        }
        let (reason, evidence) = match answer {
            StartAnswer::ConnectionRefused | StartAnswer::NotSent => {
                (DeclineReason::Unreachable, Evidence::NotConnected)
            }
            StartAnswer::OtherIncarnation => (DeclineReason::Closed, Evidence::ServerChanged),
            _ => (DeclineReason::Unreachable, Evidence::StartRefused(sent_at)),
        };
        self.finish_run(key, End::NotStarted(reason), evidence, now);
        self.send_due_reports(now.mono);
    }

    /// Raises the fencing token after the server refused it because an earlier agent used a higher
    /// one, for instance on a wall clock that ran ahead. Each call adds twice the distance between
    /// token and start numbers, so that few calls are needed until the server accepts the token.
    pub fn raise_fencing_token(&mut self) {
        let distance_ms = self
            .fencing_token
            .saturating_sub(self.last_start_number)
            .max(MIN_TOKEN_DISTANCE_MS);
        self.fencing_token = self
            .fencing_token
            .saturating_add(distance_ms.saturating_mul(2));
        let line = LogLine::warn("Raised the fencing token.").with("token", self.fencing_token);
        self.log(line);
    }

    /// Handles a long poll that failed; `refused` if the connection was refused.
    pub fn handle_failed_poll(&mut self, refused: bool, now: Now) {
        self.handle_expiries(now);
        self.record_failed_call(refused, now);
        self.send_due_reports(now.mono);
    }

    /// Records a call to the server that got no answer; `refused` if the connection was refused.
    ///
    /// A refusal is not the server's own word: a full backlog, a closed listener or a party between
    /// agent and server refuses for a server that lives. So runs end with their lease, or by the
    /// lists of the next incarnation.
    fn record_failed_call(&mut self, refused: bool, now: Now) {
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        backend.consecutive_failures += 1;
        let is_first = backend.unanswered_at.is_none();
        backend.unanswered_at = Some(now.mono);
        if backend.consecutive_failures >= FAILURES_TO_UNREACHABLE && !backend.is_unreachable {
            backend.is_unreachable = true;
            let line = LogLine::warn("The backend server is unreachable.").with("refused", refused);
            self.log(line);
            self.decline_queued_that_cannot_run(now);
            self.schedule_load_reports(now.mono);
        }
        if is_first {
            self.actions.push(Action::PollNow);
        }
    }

    fn record_unanswered_call(&mut self, now: Monotonic) {
        if let Some(backend) = self.backend.as_mut() {
            backend.unanswered_at = Some(now);
        }
    }

    /// Allows for a lease of the longest duration, since a start request that named an end on the
    /// clock of an earlier incarnation may have been accepted just now.
    pub(super) fn allow_for_long_lease(&mut self, now: Monotonic) {
        let until = now.plus(self.safety.longest_lease_duration());
        if let Some(backend) = self.backend.as_mut() {
            backend.long_lease_until = backend.long_lease_until.max(Some(until));
        }
    }

    /// Ends the runs at the server whose lease has certainly expired, whatever the rate of its
    /// clock.
    ///
    /// The end of a lease was counted on the clock of the known incarnation. A run that it has not
    /// listed may be with the next one under the same id, whose clock has started again and which
    /// shortens the lease only to the longest one.
    pub(super) fn end_runs_of_expired_lease(&mut self, now: Now) {
        let Some(backend) = self.backend.as_ref() else {
            return;
        };
        let Some(renewed_at) = backend.lease_renewed_at else {
            return;
        };
        let has_long_lease = backend
            .long_lease_until
            .is_some_and(|until| now.mono <= until);
        let elapsed = now.mono.since(renewed_at);
        if has_long_lease || elapsed <= self.safety.max_lease_duration() {
            return;
        }
        let has_longest_expired = elapsed > self.safety.longest_lease_duration();
        let is_expired = |run: &Run| run.is_listed || has_longest_expired;
        let mut started = self.runs_by_start_number.values();
        if started.any(|key| is_expired(&self.runs[*key])) {
            self.log(LogLine::warn("The lease of the backend server expired."));
            self.finish_lost_runs(is_expired, Evidence::LeaseExpired(renewed_at), now);
        }
    }
}
