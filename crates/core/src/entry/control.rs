//! Membership, lease and takeover at an entry.

use super::{Action, Entry, Question, Waiter};
use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::job::{Answer, Id};
use crate::placement::Agent;
use crate::refusal::{Ran, Reason, Refusal};
use crate::time::{Monotonic, Now};

/// Time between reads of the control row.
const READ_EVERY: std::time::Duration = std::time::Duration::from_secs(1);

/// Heartbeat intervals without a tick after which this process counts as paused.
const PAUSED_BEATS: u32 = 3;

/// Shortest time between heartbeats that are sent ahead of time.
const HASTENED_BEAT: std::time::Duration = std::time::Duration::from_millis(2);

/// How long a question waits for a takeover or for a coordinator that does not answer.
const PARK: std::time::Duration = std::time::Duration::from_secs(5);

/// How long a leaving entry answers inquiries after its keys were taken over.
const STAY: std::time::Duration = std::time::Duration::from_secs(1);

/// First pause before a parked question is asked again, if nothing happens that may answer it.
const RETRY: std::time::Duration = std::time::Duration::from_millis(10);

/// Longest pause before a parked question is asked again.
const RETRY_MOST: std::time::Duration = std::time::Duration::from_millis(200);

/// A question that cannot be answered yet.
#[derive(Debug, Clone)]
pub(super) struct Parked {
    waiter: Waiter,
    question: Question,
    next: Monotonic,
    pause: std::time::Duration,
    until: Monotonic,
}

impl Entry {
    /// Returns when the question was sent that last showed this epoch to be the present one.
    ///
    /// An entry that is no member has such evidence too; it lets it finish the jobs it holds.
    pub(super) fn lease_basis(&self, now: Now) -> Option<Monotonic> {
        let me = self.is_member().then_some(self.me.name.as_str());
        self.lease
            .epoch_confirmed_at(me, &self.row, &self.timing, now.mono)
    }

    /// Returns whether this entry may accept jobs and say that nothing ran.
    pub(super) fn may_decide(&self, now: Now) -> bool {
        self.is_member() && !self.clocks.is_out_of_agreement() && self.lease_basis(now).is_some()
    }

    /// Gives up the lease while this entry's wall clock cannot be relied on.
    pub(super) fn compare_clocks(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.clocks.update(&self.row, &self.timing, now.mono) {
            let apart = self.clocks.is_out_of_agreement();
            actions.push(Action::ClockApart { apart });
        }
    }

    /// Returns whether this very process is a member.
    pub(super) fn is_member(&self) -> bool {
        let present = self.row.member(&self.me.name);
        present.is_some_and(|member| self.is_me(member))
    }

    /// Returns how long the row keeps an earlier set of members: as long as any entry takes an id
    /// that the set may have accepted.
    fn past_kept(&self) -> std::time::Duration {
        let timing = &self.timing;
        timing.retention_window
            + timing.max_time_without_row_read
            + timing.lease_margin
            + timing.max_id_time_ahead * 4
    }

    /// Returns whether operators let tasks start on the agent.
    pub(super) fn in_service(&self, agent: &Agent) -> bool {
        !self.row.data_centres_out.contains(&agent.hello.data_centre)
            && !self.row.backends_out.contains(&agent.hello.agent)
    }

    /// Keeps a question for a later try.
    pub(super) fn park(
        &mut self,
        waiter: Waiter,
        question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if self.parked.len() >= self.bounds.max_waiters {
            let refusal = super::takeover::too_many();
            return super::submit::answer(waiter, question.id(), Answer::Refused(refusal), actions);
        }
        self.parked.push(Parked {
            waiter,
            question,
            next: now.mono.plus(RETRY),
            pause: RETRY,
            until: now.mono.plus(PARK),
        });
    }

    /// Makes all parked questions due.
    pub(super) fn wake_parked(&mut self, now: Now) {
        for parked in &mut self.parked {
            parked.next = now.mono;
        }
    }

    /// Makes the parked questions about a job due.
    pub(super) fn wake_parked_of(&mut self, id: &Id, now: Now) {
        for parked in &mut self.parked {
            if parked.question.id() == *id {
                parked.next = now.mono;
            }
        }
    }

    pub(super) fn tick_control(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        self.settle_takeover(now);
        self.note_left(now);
        self.compare_clocks(now, actions);
        if now.mono >= self.next_beat {
            self.beat(now, actions);
        }
        if now.mono >= self.next_read {
            self.next_read = now.mono.plus(READ_EVERY);
            actions.push(Action::ReadRow);
        }
        self.remove_silent(now, actions);
        self.expire_inquiries(now);
        self.retry_parked(now, actions);
    }

    /// After a pause, the others' silence says nothing about them.
    fn notice_pause(&mut self, now: Now) {
        if now.mono.since(self.last_tick) > self.timing.heartbeat_interval * PAUSED_BEATS {
            for heard in self.heard.values_mut() {
                *heard = now.mono;
            }
        }
        self.last_tick = now.mono;
    }

    fn beat(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.last_beat = now.mono;
        self.next_beat = now.mono.plus(self.timing.heartbeat_interval);
        let earlier = self
            .takeover
            .rows_with_possible_leases()
            .flat_map(|row| &row.members);
        let mut others: Vec<&Member> = self.row.members.iter().chain(earlier).collect();
        others.sort_unstable_by_key(|member| (&member.name, member.incarnation));
        others.dedup();
        others.retain(|member| !self.is_me(member));
        actions.extend(others.into_iter().map(|to| Action::Beat {
            to: to.clone(),
            epoch: self.row.epoch,
        }));
    }

    /// Asks for a newer lease at once, so that newer stamps may be echoed.
    pub(super) fn hasten_beat(&mut self, now: Now, actions: &mut Vec<Action>) {
        if now.mono.since(self.last_beat) >= HASTENED_BEAT {
            self.beat(now, actions);
        }
    }

    fn remove_silent(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.is_member() {
            return;
        }
        for member in &self.row.members {
            let heard = *self.heard.entry(member.name.clone()).or_insert(now.mono);
            if member.name == self.me.name
                || now.mono.since(heard) <= self.timing.member_silence_timeout
            {
                continue;
            }
            let change = format!("remove-{}-{}", member.name, member.incarnation);
            let row = self.row.without_member(
                &member.name,
                member.incarnation,
                &change,
                now.wall,
                self.past_kept(),
            );
            if let Some(row) = row {
                self.heard.insert(member.name.clone(), now.mono);
                return actions.push(Action::WriteRow {
                    expect: self.row_version,
                    row,
                });
            }
        }
    }

    /// Asks again each parked question that is due, and gives up those that waited too long.
    pub(super) fn retry_parked(&mut self, now: Now, actions: &mut Vec<Action>) {
        for parked in std::mem::take(&mut self.parked) {
            if now.mono >= parked.until {
                let refusal = Refusal::new(
                    Reason::CoordinatorLost,
                    Ran::Unknown,
                    "the job's coordinator did not answer; send the same id again",
                )
                .with_retry_after_ms(1_000);
                let id = parked.question.id();
                super::submit::answer(parked.waiter, id, Answer::Refused(refusal), actions);
            } else if now.mono >= parked.next {
                self.retry(parked, now, actions);
            } else {
                self.parked.push(parked);
            }
        }
    }

    fn retry(&mut self, parked: Parked, now: Now, actions: &mut Vec<Action>) {
        let before = self.parked.len();
        self.ask(parked.waiter, parked.question, false, now, actions);
        if let Some(again) = self.parked.get_mut(before) {
            again.until = parked.until;
            again.pause = (parked.pause * 2).min(RETRY_MOST);
            again.next = now.mono.plus(again.pause);
        }
    }

    /// Fetches the row when another process knows a newer epoch.
    pub(super) fn hear_epoch(&mut self, epoch: u64, now: Now, actions: &mut Vec<Action>) {
        if epoch > self.row.epoch && epoch > self.asked_epoch {
            self.asked_epoch = epoch;
            self.next_read = now.mono.plus(READ_EVERY);
            actions.push(Action::ReadRow);
        }
    }

    pub(super) fn beat_answered(
        &mut self,
        member: &Member,
        epoch: u64,
        sent: Monotonic,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.takeover
            .record_confirmation(&member.name, member.incarnation, epoch, now.mono);
        let asked = self
            .row
            .member(&member.name)
            .is_some_and(|m| m.incarnation == member.incarnation);
        if asked {
            self.heard.insert(member.name.clone(), now.mono);
        }
        if asked && epoch == self.row.epoch {
            self.lease.confirm_by_peer(&member.name, sent);
        }
        self.hear_epoch(epoch, now, actions);
    }

    pub(super) fn row_read(
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
            self.adopt(row, now, actions);
        }
        self.row_version = version;
        self.lease.confirm_by_read(sent);
        self.keep_membership(now, actions);
    }

    fn adopt(&mut self, row: Row, now: Now, actions: &mut Vec<Action>) {
        let mut first = self.row.epoch;
        for past in &row.past {
            if past.epoch < first {
                continue;
            }
            let before = Row {
                epoch: past.epoch,
                members: past.members.clone(),
                ..Row::default()
            };
            self.watch_end_of(first, before, now);
            first = past.epoch + 1;
        }
        // The present members held all epochs since the last change of members.
        if row.epoch > first {
            let before = Row {
                epoch: row.epoch - 1,
                members: row.members.clone(),
                ..Row::default()
            };
            self.watch_end_of(first, before, now);
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
        self.heard
            .retain(|name, _at| members.iter().any(|m| m.name == *name));
        self.wake_parked(now);
        self.beat(now, actions);
        self.announce_entries(actions);
    }

    /// Watches when no lease of the epochs from `first` to the row's can be held any more. This entry's own word counts
    /// only if that row names this very process.
    fn watch_end_of(&mut self, first: u64, before: Row, now: Now) {
        let named = before.member(&self.me.name).is_some_and(|m| self.is_me(m));
        let me = if named { self.me.name.as_str() } else { "" };
        self.takeover.track_from(first, before, me, now.mono);
    }

    /// Joins the members, or leaves them before a planned stop.
    fn keep_membership(&mut self, now: Now, actions: &mut Vec<Action>) {
        let present = self.is_member();
        self.joined |= present;
        // A process that was replaced under its name only finishes what it holds.
        self.leaving |= self.joined && !present && self.row.member(&self.me.name).is_some();
        let (me, window) = (&self.me, self.past_kept());
        let row = match (present, self.leaving) {
            (false, false) => {
                let change = format!("join-{}-{}", me.name, me.incarnation);
                Some(self.row.with_member(me.clone(), &change, now.wall, window))
            }
            (true, true) => {
                let change = format!("leave-{}-{}", me.name, me.incarnation);
                self.row
                    .without_member(&me.name, me.incarnation, &change, now.wall, window)
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

    pub(super) fn catalogue_read(&mut self, version: u64, catalogue: Catalogue) {
        if version == self.row.catalogue {
            self.queue.apply_catalogue(&catalogue);
            self.catalogue = catalogue;
            self.catalogue_version = version;
        }
    }

    /// Notes how long a leaving entry has been out of the members. It stays for a while to tell
    /// its successors that it holds no record of the ids that they ask for.
    fn note_left(&mut self, now: Now) {
        if !self.leaving || self.is_member() {
            return;
        }
        let left = *self.left.get_or_insert(now.mono);
        let timing = &self.timing;
        let stay =
            timing.lease_duration + timing.lease_margin + timing.max_clock_difference * 2 + STAY;
        self.released = now.mono.since(left) >= stay;
    }

    pub(super) fn stop(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.keep_membership(now, actions);
    }
}
