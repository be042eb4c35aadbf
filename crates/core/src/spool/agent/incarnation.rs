//! Which incarnation of the backend server lives, and which runs ended with the one before.
//!
//! An announcement only claims that an incarnation lives: it may be late, or come from another
//! writer. The server itself tells by its answer to a poll that names the incarnation, so a claim
//! takes effect with that answer and ends no run before.

use std::sync::Arc;
use std::time::Duration;

use super::super::log_line::LogLine;
use super::super::message::End;
use super::announcement::{Announced, ClockReading};
use super::backend::Backend;
use super::progress::RecentEnds;
use super::reconcile::Listing;
use super::{
    Action, Agent, Announcement, Claims, Doubt, Evidence, Health, LongPoll, Phase, RunKey,
};
use crate::time::{Monotonic, Now};

/// Interval between two checks of the same claim: longer than an unanswered call takes to fail.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Most claims kept. The oldest makes way for a new one; its writer announces itself again.
const MAX_CLAIMS: usize = 4;

/// An announcement of an incarnation that has not answered a poll yet.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    announcement: Announcement,
    received_at: Monotonic,
    /// When the server was last asked for this incarnation.
    checked_at: Option<Monotonic>,
}

impl Backend {
    fn is_incarnation(&self, incarnation: &str, started_at_ms: u64) -> bool {
        *self.incarnation == *incarnation && self.started_at_ms == started_at_ms
    }
}

impl Agent {
    /// Handles an announcement. One of the known incarnation updates its state unless there is a
    /// [`Doubt`]; one of another incarnation has to be confirmed by the server. Returns whether to
    /// acknowledge the announcement. One that is not believed may still be the server's, which then
    /// has to send it again.
    pub fn handle_announcement(&mut self, announcement: Announcement, now: Now) -> bool {
        self.handle_expiries(now);
        let is_known = self.backend.as_ref().is_some_and(|backend| {
            backend.is_incarnation(&announcement.incarnation, announcement.started_at_ms)
        });
        let is_acknowledged = if is_known {
            match self.update_backend(announcement, now) {
                Ok(()) | Err(Doubt::Outdated) => true,
                Err(Doubt::AheadOfClock | Doubt::Contradiction) => false,
            }
        } else {
            self.add_claim(announcement, now.mono);
            true
        };
        self.send_due_reports(now.mono);
        is_acknowledged
    }

    /// Applies an announcement of the known incarnation.
    ///
    /// # Errors
    /// Returns why the announcement is not believed.
    fn update_backend(&mut self, announcement: Announcement, now: Now) -> Result<(), Doubt> {
        let Some(backend) = self.backend.as_mut() else {
            return Ok(());
        };
        let line = LogLine::warn("Ignored an announcement of the backend server.")
            .with("service", &announcement.profile.service)
            .with("ready", announcement.ready)
            .with("cpu", announcement.profile.capacity.cpu_millicores)
            .with("clock_ms", announcement.clock_ms)
            .with("sequence", announcement.sequence)
            .with("born", announcement.started_at_ms);
        let before = backend.reported_state();
        let profile_before = backend.announced.profile().clone();
        let clock = backend.clock_reading;
        let recorded = backend.announced.record(announcement, clock, now.mono);
        let after = backend.reported_state();
        if let Err(doubt) = recorded {
            self.log(line.with("doubt", <&str>::from(doubt)));
            self.actions.push(Action::CountDoubt(doubt));
        }
        if before != after {
            let line = LogLine::new("The backend server announced a change.")
                .with("service", &after.service)
                .with("ready", after.ready)
                .with("cpu", after.capacity.cpu_millicores);
            self.log(line);
            self.handle_server_change(Some(&profile_before), now);
            self.schedule_load_reports(now.mono);
        }
        recorded
    }

    /// Keeps an announcement until the server's answer to a poll confirms or refutes it.
    fn add_claim(&mut self, announcement: Announcement, now: Monotonic) {
        // A claim does not replace another one of the same incarnation: which of them are false shows
        // only with the server's answer.
        if self
            .claims
            .iter()
            .any(|claim| claim.announcement == announcement)
        {
            return;
        }
        let line = LogLine::new("Checking an announcement of another incarnation.")
            .with("incarnation", &announcement.incarnation)
            .with("born", announcement.started_at_ms);
        self.log(line);
        if self.claims.len() == MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim {
            announcement,
            received_at: now,
            checked_at: None,
        });
        self.actions.push(Action::PollNow);
    }

    /// Returns whether an announced incarnation has been neither confirmed nor refuted. Requests
    /// that are sent meanwhile may reach a server whose clock has started again.
    pub(super) fn has_open_claim(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Returns a poll that asks the server for the claim that was not checked for the longest time.
    /// It acknowledges no ends and renews no lease, so that it changes nothing at any incarnation.
    pub(super) fn next_claim_check(&mut self, now: Monotonic) -> Option<LongPoll> {
        let has_backend = self.backend.is_some();
        let is_due = |claim: &Claim| {
            !has_backend
                || claim
                    .checked_at
                    .is_none_or(|at| now.since(at) >= CLAIM_CHECK_INTERVAL)
        };
        let claim = self
            .claims
            .iter_mut()
            .filter(|claim| is_due(claim))
            .min_by_key(|claim| claim.checked_at)?;
        claim.checked_at = Some(now);
        Some(LongPoll {
            incarnation: Arc::clone(&claim.announcement.incarnation),
            token: self.fencing_token,
            acknowledged_end: 0,
            lease_until_ms: None,
            max_wait: Duration::ZERO,
        })
    }

    /// Handles the answer to a poll sent at `poll_sent_at` that the server is not `incarnation`.
    pub fn handle_misdirected_poll(
        &mut self,
        incarnation: &str,
        poll_sent_at: Monotonic,
        now: Now,
    ) {
        self.drop_claims(|claim| {
            *claim.announcement.incarnation == *incarnation && claim.received_at < poll_sent_at
        });
        let is_current = |backend: &Backend| *backend.incarnation == *incarnation;
        if self.backend.as_ref().is_some_and(is_current) {
            self.handle_failed_poll(false, now);
        } else {
            self.start_queued_runs(now);
            self.send_due_reports(now.mono);
        }
    }

    fn drop_claims<F>(&mut self, is_refuted: F)
    where
        F: Fn(&Claim) -> bool,
    {
        let (refuted, open) = std::mem::take(&mut self.claims)
            .into_iter()
            .partition(|claim| is_refuted(claim));
        self.claims = open;
        let refuted: Claims = refuted;
        for claim in refuted {
            let line = LogLine::warn("Ignored an announcement that the backend server refuted.")
                .with("incarnation", &claim.announcement.incarnation)
                .with("born", claim.announcement.started_at_ms);
            self.log(line);
        }
    }

    /// Returns whether a listing that was requested at `poll_sent_at` is the newest one of the
    /// living incarnation. Switches to the incarnation that the listing shows to live.
    ///
    /// A poll that was sent after the known incarnation had answered, and that another one
    /// answers, shows that the other one came later. The times of their starts do not show that:
    /// the server's wall clock may have been set back.
    pub(super) fn identify_backend(
        &mut self,
        listing: &Listing,
        poll_sent_at: Monotonic,
        now: Now,
    ) -> bool {
        if !listing.tells_start() {
            return false;
        }
        let known = self.backend.as_ref();
        if let Some(backend) =
            known.filter(|b| b.is_incarnation(&listing.incarnation, listing.started_at_ms))
        {
            // The server's clock only rises, so an answer to a later request counts whatever it shows:
            // the earlier reading was false.
            let is_outdated = backend.clock_reading.is_some_and(|reading| {
                listing.clock_ms < reading.clock_ms && poll_sent_at <= reading.received_at
            });
            if !is_outdated {
                self.drop_claims(|claim| claim.received_at < poll_sent_at);
            }
            return !is_outdated;
        }
        if known.is_some_and(|backend| poll_sent_at <= backend.adopted_at) {
            return false;
        }
        let clock = ClockReading {
            clock_ms: listing.clock_ms,
            requested_at: poll_sent_at,
            received_at: now.mono,
        };
        let is_confirmed = |claim: &Claim| {
            claim.announcement.incarnation == listing.incarnation
                && claim.announcement.started_at_ms == listing.started_at_ms
                && clock.allows(claim.announcement.clock_ms, now.mono)
        };
        // A server that tells the start of the known incarnation is no other incarnation, whatever the
        // poll named: the header with the name may not have reached it.
        let tells_no_other_start = known.is_some_and(|backend| {
            *backend.incarnation != *listing.incarnation
                && backend.started_at_ms == listing.started_at_ms
        });
        if tells_no_other_start {
            self.drop_claims(|claim| {
                claim.announcement.incarnation == listing.incarnation
                    && claim.received_at < poll_sent_at
            });
            return false;
        }
        let restarts_under_its_id =
            known.is_some_and(|backend| backend.incarnation == listing.incarnation);
        if self.claims.iter().any(is_confirmed) {
            let claims = std::mem::take(&mut self.claims);
            let (confirmed, open): (Claims, Claims) =
                claims.into_iter().partition(|claim| is_confirmed(claim));
            self.claims = open;
            self.adopt_announced(confirmed, listing, poll_sent_at, now);
            true
        } else if restarts_under_its_id && let Some(backend) = known {
            // The listing does not tell the capacity, which may differ from the one before. Until
            // the server announces it, no task starts.
            let unannounced = Announced::unannounced(backend.announced.profile().clone());
            self.adopt_incarnation(unannounced, listing, poll_sent_at, now);
            true
        } else {
            self.drop_claims(|claim| {
                claim.announcement.incarnation == listing.incarnation
                    && claim.received_at < poll_sent_at
            });
            false
        }
    }

    /// Switches to an incarnation that was announced as `claims` tell and whose answer to a poll sent
    /// at `poll_sent_at` is `listing`. Of contradicting claims, the profile told most often counts.
    fn adopt_announced(
        &mut self,
        claims: Claims,
        listing: &Listing,
        poll_sent_at: Monotonic,
        now: Now,
    ) {
        let mut announcements: Vec<Announcement> =
            claims.into_iter().map(|claim| claim.announcement).collect();
        let support = |index: &usize| {
            let profile = &announcements[*index].profile;
            announcements
                .iter()
                .filter(|a| a.profile == *profile)
                .count()
        };
        let Some(first) = (0..announcements.len()).rev().max_by_key(support) else {
            return;
        };
        let announced = Announced::new(announcements.remove(first));
        self.adopt_incarnation(announced, listing, poll_sent_at, now);
        for announcement in announcements {
            // A contradiction closes the server until it has repeated what it offers.
            let _doubt = self.update_backend(announcement, now);
        }
    }

    /// Switches to an incarnation whose answer to a poll sent at `poll_sent_at` is `listing`.
    fn adopt_incarnation(
        &mut self,
        announced: Announced,
        listing: &Listing,
        poll_sent_at: Monotonic,
        now: Now,
    ) {
        let line = LogLine::new("A new incarnation of the backend server started.")
            .with("incarnation", &listing.incarnation)
            .with("born", listing.started_at_ms)
            .with("service", &announced.profile().service)
            .with("ready", announced.is_ready())
            .with("cpu", announced.profile().capacity.cpu_millicores);
        self.log(line);
        let previous = self
            .backend
            .as_ref()
            .map(|backend| backend.announced.profile().clone());
        if previous.is_some() {
            self.finish_runs_of_previous_incarnation(listing, poll_sent_at, now);
            self.fence_off_previous_incarnation();
        }
        let has_kept_runs = self.started_run_count() > 0;
        self.unknown_runs.clear();
        self.has_read_run_lists = false;
        self.health = Health::default().with_outliers(self.policy.is_outlier);
        self.recent_ends = RecentEnds::default();
        self.backend = Some(Backend {
            incarnation: Arc::clone(&listing.incarnation),
            started_at_ms: listing.started_at_ms,
            announced,
            adopted_at: now.mono,
            is_unreachable: false,
            consecutive_failures: 0,
            unanswered_at: None,
            clock_reading: None,
            acknowledged_end: 0,
            lease_renewed_at: has_kept_runs.then_some(now.mono),
            long_lease_until: has_kept_runs
                .then(|| now.mono.plus(self.safety.longest_lease_duration())),
        });
        self.handle_server_change(previous.as_ref(), now);
        self.schedule_load_reports(now.mono);
    }

    /// Ends as lost the runs that the incarnation before took with it, as `listing` of the next one
    /// shows. It was requested at `poll_sent_at`.
    ///
    /// The next incarnation refuses a start that names another one. Under the same id it may have
    /// accepted starts before the agent knew of it: those it lists, and those still on their way
    /// when the lists were requested.
    fn finish_runs_of_previous_incarnation(
        &mut self,
        listing: &Listing,
        poll_sent_at: Monotonic,
        now: Now,
    ) {
        self.finish_lost_runs(
            |run| {
                let names_listed_incarnation =
                    run.incarnation.as_ref() == Some(&listing.incarnation);
                let had_settled = run.start_settled_at.is_some_and(|at| at < poll_sent_at);
                !names_listed_incarnation
                    || (had_settled && listing.rules_out_run(run.start_number))
            },
            Evidence::NextIncarnation(poll_sent_at),
            now,
        );
        let kept: Vec<RunKey> = self.runs_by_start_number.values().copied().collect();
        for key in kept {
            let run = &mut self.runs[key];
            // A stop that the incarnation before answered has no effect on the next one, which may
            // already have run the task and forgotten its end.
            run.stop_answered_at = None;
            run.stop_sent_at = None;
            run.may_have_run = true;
            run.end_if_stopped = End::Lost;
            let line = LogLine::new("A new incarnation may run a task that was sent before.")
                .with("job", run.start.name)
                .with("run", run.start_number)
                .with("listed", listing.contains_run(run.start_number))
                .with("stopping", run.phase == Phase::Stopping);
            self.log(line);
        }
    }
}
