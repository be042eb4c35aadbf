//! Membership of an entry: heartbeats, the lease, the control row, and requests that wait until
//! the membership allows an answer.

use super::{Action, Entry, JobRequest, WaiterId};
use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::job::{Answer, Id};
use crate::placement::Agent;
use crate::refusal::{Ran, Reason, Refusal};
use crate::time::{Monotonic, Now};

/// Time between reads of the control row.
const ROW_READ_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Heartbeat intervals without [`Event::Tick`](super::Event::Tick) after which this process counts
/// as having been paused.
const PAUSE_HEARTBEATS: u32 = 3;

/// Shortest time between a round of heartbeats and one that is sent ahead of schedule.
const MIN_EARLY_HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(2);

/// How long a parked request waits for a takeover or for a coordinator that does not answer.
const PARK_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// How long a leaving entry stays to answer inquiries after new coordinators took over its ids.
const LINGER: std::time::Duration = std::time::Duration::from_secs(1);

/// Delay before the first retry of a parked request. An event that may lead to an answer causes an
/// earlier retry.
const MIN_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

/// Longest delay between retries of a parked request; the delay doubles with each retry.
const MAX_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// A request that cannot be answered yet.
#[derive(Debug, Clone)]
pub(super) struct ParkedRequest {
    waiter: WaiterId,
    request: JobRequest,
    next_retry: Monotonic,
    retry_delay: std::time::Duration,
    deadline: Monotonic,
}

impl Entry {
    /// Returns when the heartbeats or the row read were sent that last confirmed the epoch of this
    /// entry as the current one, `None` if that is longer ago than a lease lasts.
    ///
    /// An entry that is not a member can have this confirmation too, which allows it to finish
    /// the jobs that it holds.
    pub(super) fn epoch_confirmed_at(&self, now: Now) -> Option<Monotonic> {
        let me = self.is_member().then_some(self.me.name.as_str());
        self.lease
            .epoch_confirmed_at(me, &self.row, &self.timing, now.mono)
    }

    /// Returns whether this entry holds a lease that allows it to accept jobs and to answer that
    /// no task of a job ran.
    pub(super) fn has_valid_lease(&self, now: Now) -> bool {
        self.is_member()
            && !self.clocks.is_out_of_agreement()
            && self.epoch_confirmed_at(now).is_some()
    }

    /// Compares the wall clock of this entry with those of the other members, and reports a
    /// change of the result. The entry has no valid lease while its clock differs too much.
    pub(super) fn update_clock_agreement(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.clocks.update(&self.row, &self.timing, now.mono) {
            let is_apart = self.clocks.is_out_of_agreement();
            actions.push(Action::LogClockDisagreement { is_apart });
        }
    }

    /// Returns whether the control row lists this process, with this incarnation, as a member.
    pub(super) fn is_member(&self) -> bool {
        let present = self.row.member(&self.me.name);
        present.is_some_and(|member| self.is_this_process(member))
    }

    /// Returns how long the control row keeps a former set of members: as long as any entry still
    /// accepts an id that a member of that set may have accepted too.
    fn past_members_retention(&self) -> std::time::Duration {
        let timing = &self.timing;
        timing.retention_window
            + timing.max_time_without_row_read
            + timing.lease_margin
            + timing.max_id_time_ahead * 4
    }

    /// Returns whether operators allow tasks to start on the agent and in its data centre.
    pub(super) fn is_in_service(&self, agent: &Agent) -> bool {
        !self.row.data_centres_out.contains(&agent.hello.data_centre)
            && !self.row.backends_out.contains(&agent.hello.agent)
    }

    /// Keeps a request for later retries, or refuses it if too many are kept already.
    pub(super) fn park_request(
        &mut self,
        waiter: WaiterId,
        request: JobRequest,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if self.parked_requests.len() >= self.bounds.max_waiters {
            let refusal = super::takeover::too_many_parked_refusal();
            return super::submit::push_answer(
                waiter,
                request.id(),
                Answer::Refused(refusal),
                actions,
            );
        }
        self.parked_requests.push(ParkedRequest {
            waiter,
            request,
            next_retry: now.mono.plus(MIN_RETRY_DELAY),
            retry_delay: MIN_RETRY_DELAY,
            deadline: now.mono.plus(PARK_TIMEOUT),
        });
    }

    /// Makes every parked request due for a retry.
    pub(super) fn make_parked_due(&mut self, now: Now) {
        for parked in &mut self.parked_requests {
            parked.next_retry = now.mono;
        }
    }

    /// Makes the parked requests about one job due for a retry.
    pub(super) fn make_parked_due_for(&mut self, id: &Id, now: Now) {
        for parked in &mut self.parked_requests {
            if parked.request.id() == *id {
                parked.next_retry = now.mono;
            }
        }
    }

    /// Does what is due at this time: heartbeats, reads of the control row, removal of silent
    /// members, and retries of parked requests.
    pub(super) fn tick_membership(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.reset_silence_after_pause(now);
        self.drop_lapsed_epochs(now);
        self.update_linger(now);
        self.update_clock_agreement(now, actions);
        if now.mono >= self.next_heartbeat {
            self.send_heartbeats(now, actions);
        }
        if now.mono >= self.next_row_read {
            self.next_row_read = now.mono.plus(ROW_READ_INTERVAL);
            actions.push(Action::ReadRow);
        }
        self.remove_silent_member(now, actions);
        self.expire_inquiries(now);
        self.retry_parked_requests(now, actions);
    }

    /// Restarts the silence timers of all members if this process was paused. Their answers could
    /// not be read during the pause, so that live members would be removed as silent.
    fn reset_silence_after_pause(&mut self, now: Now) {
        if now.mono.since(self.last_tick) > self.timing.heartbeat_interval * PAUSE_HEARTBEATS {
            for last_heard in self.last_heard.values_mut() {
                *last_heard = now.mono;
            }
        }
        self.last_tick = now.mono;
    }

    /// Sends heartbeats to the other members and to the members of earlier epochs whose leases may
    /// still be held.
    fn send_heartbeats(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.last_heartbeat = now.mono;
        self.next_heartbeat = now.mono.plus(self.timing.heartbeat_interval);
        let former_members = self
            .takeover
            .rows_with_possible_leases()
            .flat_map(|row| &row.members);
        let mut others: Vec<&Member> = self.row.members.iter().chain(former_members).collect();
        others.sort_unstable_by_key(|member| (&member.name, member.incarnation));
        others.dedup();
        others.retain(|member| !self.is_this_process(member));
        actions.extend(others.into_iter().map(|to| Action::SendHeartbeat {
            to: to.clone(),
            epoch: self.row.epoch,
        }));
    }

    /// Sends heartbeats ahead of schedule to renew the lease.
    ///
    /// An order may carry only a stamp of the agent that arrived before the heartbeats that the
    /// lease rests on were sent. A renewed lease therefore allows orders with newer stamps.
    pub(super) fn send_early_heartbeats(&mut self, now: Now, actions: &mut Vec<Action>) {
        if now.mono.since(self.last_heartbeat) >= MIN_EARLY_HEARTBEAT_INTERVAL {
            self.send_heartbeats(now, actions);
        }
    }

    /// Proposes a control row without the first member that has not answered for too long.
    fn remove_silent_member(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        for member in &self.row.members {
            let last_heard = *self
                .last_heard
                .entry(member.name.clone())
                .or_insert(now.mono);
            if member.name == self.me.name
                || now.mono.since(last_heard) <= self.timing.member_silence_timeout
            {
                continue;
            }
            let change = format!("remove-{}-{}", member.name, member.incarnation);
            let row = self.row.without_member(
                &member.name,
                member.incarnation,
                &change,
                now.wall,
                self.past_members_retention(),
            );
            if let Some(row) = row {
                self.last_heard.insert(member.name.clone(), now.mono);
                return actions.push(Action::WriteRow {
                    expect: self.row_version,
                    row,
                });
            }
        }
    }

    /// Retries each parked request that is due, and refuses those whose deadline has passed.
    pub(super) fn retry_parked_requests(&mut self, now: Now, actions: &mut Vec<Action>) {
        for parked in std::mem::take(&mut self.parked_requests) {
            if now.mono >= parked.deadline {
                let refusal = Refusal::new(
                    Reason::CoordinatorLost,
                    Ran::Unknown,
                    "the job's coordinator did not answer; send the same id again",
                )
                .with_retry_after_ms(1_000);
                let id = parked.request.id();
                super::submit::push_answer(parked.waiter, id, Answer::Refused(refusal), actions);
            } else if now.mono >= parked.next_retry {
                self.retry_request(parked, now, actions);
            } else {
                self.parked_requests.push(parked);
            }
        }
    }

    /// Routes a parked request again. If that parks the request once more, the request keeps its
    /// deadline and waits twice as long.
    fn retry_request(&mut self, parked: ParkedRequest, now: Now, actions: &mut Vec<Action>) {
        let parked_before = self.parked_requests.len();
        self.route_request(parked.waiter, parked.request, false, now, actions);
        if let Some(parked_again) = self.parked_requests.get_mut(parked_before) {
            parked_again.deadline = parked.deadline;
            parked_again.retry_delay = (parked.retry_delay * 2).min(MAX_RETRY_DELAY);
            parked_again.next_retry = now.mono.plus(parked_again.retry_delay);
        }
    }

    /// Reads the control row at once if `epoch`, which another process has reported, is newer than
    /// the epoch of this entry.
    pub(super) fn read_row_if_behind(&mut self, epoch: u64, now: Now, actions: &mut Vec<Action>) {
        if epoch > self.row.epoch && epoch > self.requested_epoch {
            self.requested_epoch = epoch;
            self.next_row_read = now.mono.plus(ROW_READ_INTERVAL);
            actions.push(Action::ReadRow);
        }
    }

    /// Counts the answer of a member as evidence for this entry's lease and for the end of the
    /// leases of earlier epochs.
    pub(super) fn handle_heartbeat_answer(
        &mut self,
        member: &Member,
        epoch: u64,
        sent: Monotonic,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.takeover
            .record_confirmation(&member.name, member.incarnation, epoch, now.mono);
        let is_current_member = self
            .row
            .member(&member.name)
            .is_some_and(|m| m.incarnation == member.incarnation);
        if is_current_member {
            self.last_heard.insert(member.name.clone(), now.mono);
        }
        if is_current_member && epoch == self.row.epoch {
            self.lease.confirm_by_peer(&member.name, sent);
        }
        self.read_row_if_behind(epoch, now, actions);
    }

    /// Handles the control row that a read or write, sent at `sent`, has returned. A row of an
    /// older epoch is ignored, since answers can overtake each other.
    pub(super) fn handle_row(
        &mut self,
        sent: Monotonic,
        version: u64,
        row: Row,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if row.epoch < self.row.epoch {
            return;
        }
        self.lease.record_row_read(sent);
        if row.epoch > self.row.epoch {
            self.adopt_row(row, now, actions);
        }
        self.row_version = version;
        self.lease.confirm_by_read(sent);
        self.reconcile_membership(now, actions);
    }

    /// Replaces the control row by one of a newer epoch, and starts to wait until the leases of
    /// all epochs in between have lapsed.
    fn adopt_row(&mut self, row: Row, now: Now, actions: &mut Vec<Action>) {
        let mut first_epoch = self.row.epoch;
        for past in &row.past {
            if past.epoch < first_epoch {
                continue;
            }
            let former_row = Row {
                epoch: past.epoch,
                members: past.members.clone(),
                ..Row::default()
            };
            self.watch_lease_lapse(first_epoch, former_row, now);
            first_epoch = past.epoch + 1;
        }
        // The current members were the members of all epochs since the last change of members.
        if row.epoch > first_epoch {
            let former_row = Row {
                epoch: row.epoch - 1,
                members: row.members.clone(),
                ..Row::default()
            };
            self.watch_lease_lapse(first_epoch, former_row, now);
        }
        self.takeover
            .record_replaced_members(&row.members, now.mono);
        self.lease.drop_confirmations();
        self.row = row;
        if self.catalogue_version != self.row.catalogue {
            actions.push(Action::ReadCatalogue {
                version: self.row.catalogue,
            });
        }
        let members = &self.row.members;
        self.last_heard
            .retain(|name, _at| members.iter().any(|m| m.name == *name));
        self.make_parked_due(now);
        self.send_heartbeats(now, actions);
        self.announce_entries_to_all(actions);
    }

    /// Starts to wait until no entry can hold a lease of the epochs from `first_epoch` to that of
    /// `former_row`, which all have the members of `former_row`. This entry counts itself as having
    /// given up its lease only if it was one of them with its present incarnation.
    fn watch_lease_lapse(&mut self, first_epoch: u64, former_row: Row, now: Now) {
        let was_member = former_row
            .member(&self.me.name)
            .is_some_and(|m| self.is_this_process(m));
        let me = if was_member {
            self.me.name.as_str()
        } else {
            ""
        };
        self.takeover
            .track_from(first_epoch, former_row, me, now.mono);
    }

    /// Proposes a control row with this entry if it is not a member yet, or one without this entry
    /// if it is leaving.
    fn reconcile_membership(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_member = self.is_member();
        self.joined |= is_member;
        // Another process has joined under the same name and replaced this one, which must not
        // join again and push its successor out. It leaves once its jobs are finished.
        self.leaving |= self.joined && !is_member && self.row.member(&self.me.name).is_some();
        let (me, retention) = (&self.me, self.past_members_retention());
        let row = match (is_member, self.leaving) {
            (false, false) => {
                let change = format!("join-{}-{}", me.name, me.incarnation);
                Some(
                    self.row
                        .with_member(me.clone(), &change, now.wall, retention),
                )
            }
            (true, true) => {
                let change = format!("leave-{}-{}", me.name, me.incarnation);
                self.row
                    .without_member(&me.name, me.incarnation, &change, now.wall, retention)
            }
            _ => None,
        };
        if let Some(row) = row {
            actions.push(Action::WriteRow {
                expect: self.row_version,
                row,
            });
        }
    }

    /// Adopts a catalogue that was read, unless the control row names another version by now.
    pub(super) fn adopt_catalogue(&mut self, version: u64, catalogue: Catalogue) {
        if version == self.row.catalogue {
            self.queue.apply_catalogue(&catalogue);
            self.catalogue = catalogue;
            self.catalogue_version = version;
        }
    }

    /// Records whether a leaving entry has stayed long enough after it left the members. It stays
    /// to tell the new coordinators of its ids whether it has records of them; they would have to
    /// refuse the ids if it were gone.
    fn update_linger(&mut self, now: Now) {
        if !self.leaving || self.is_member() {
            return;
        }
        let left_at = *self.left_at.get_or_insert(now.mono);
        let timing = &self.timing;
        let linger =
            timing.lease_duration + timing.lease_margin + timing.max_clock_difference * 2 + LINGER;
        self.has_lingered = now.mono.since(left_at) >= linger;
    }

    /// Starts a planned stop: the entry leaves the members and stops taking new jobs.
    pub(super) fn begin_leaving(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.reconcile_membership(now, actions);
    }
}
