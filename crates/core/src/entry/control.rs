//! Membership, lease and takeover at an entry.

use super::submit::{Admission, no_lease};
use super::{Action, Entry, Question, Waiter};
use crate::catalogue::Catalogue;
use crate::control::{Member, Row};
use crate::job::{Answer, Id};
use crate::placement::Agent;
use crate::refusal::{Ran, Reason, Refusal};
use crate::rendezvous;
use crate::time::{Mono, Now};

/// Time between reads of the control row.
const READ_EVERY: std::time::Duration = std::time::Duration::from_secs(1);

/// Heartbeat intervals without a tick after which this process counts as paused.
const PAUSED_BEATS: u32 = 3;

/// Shortest time between heartbeats that are sent ahead of time.
const HASTENED_BEAT: std::time::Duration = std::time::Duration::from_millis(2);

/// How long a question waits for a takeover or for a coordinator that does not answer.
const PARK: std::time::Duration = std::time::Duration::from_secs(5);

/// A question that cannot be answered yet.
#[derive(Debug, Clone)]
pub(super) struct Parked {
    waiter: Waiter,
    question: Question,
    until: Mono,
}

impl Entry {
    /// Returns when the question was sent on which a valid lease rests.
    pub(super) fn lease_basis(&self, now: Now) -> Option<Mono> {
        self.lease
            .basis(&self.me.name, &self.row, &self.timing, now.mono)
    }

    /// Returns whether operators let tasks start on the agent.
    pub(super) fn in_service(&self, agent: &Agent) -> bool {
        !self.row.data_centres_out.contains(&agent.hello.data_centre)
            && !self.row.backends_out.contains(&agent.hello.agent)
    }

    /// Decides whether this entry may start an id that it has no record of.
    pub(super) fn admit(&mut self, id: &Id, now: Now) -> Admission {
        if self.lease_basis(now).is_none() {
            return Admission::Refuse(no_lease());
        }
        if self.catalogue_version != self.row.catalogue {
            return Admission::Wait;
        }
        if self.by_id.len() >= self.bounds.jobs {
            return Admission::Refuse(Refusal::new(
                Reason::TableFull,
                Ran::Unknown,
                "the table of remembered jobs is full; send the same id again later",
            ));
        }
        if self
            .takeover
            .leasable()
            .any(|row| !self.is_mine(&row.members, id))
        {
            return Admission::Wait;
        }
        let barrier = self.timing.skew + self.timing.lease;
        let moved = self.row.past.iter().any(|past| {
            id.created() <= past.ended.plus(barrier) && !self.is_mine(&past.members, id)
        });
        if moved {
            return Admission::Refuse(Refusal::new(
                Reason::HistoryLost,
                Ran::Unknown,
                "the job's previous coordinator is gone; check whether its work was done before you send a new id",
            ));
        }
        Admission::Start
    }

    fn is_mine(&self, members: &[Member], id: &Id) -> bool {
        rendezvous::coordinator(members, id)
            .is_none_or(|m| m.name == self.me.name && m.incarnation == self.me.incarnation)
    }

    /// Keeps a question for a later try.
    pub(super) fn park(&mut self, waiter: Waiter, question: Question, now: Now) {
        self.parked.push(Parked {
            waiter,
            question,
            until: now.mono.plus(PARK),
        });
    }

    pub(super) fn tick_control(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        self.takeover.settle(&self.timing, now.mono);
        if now.mono >= self.next_beat {
            self.beat(now, actions);
        }
        if now.mono >= self.next_read {
            self.next_read = now.mono.plus(READ_EVERY);
            actions.push(Action::ReadRow);
        }
        self.remove_silent(now, actions);
        self.retry_parked(now, actions);
    }

    /// After a pause, the others' silence says nothing about them.
    fn notice_pause(&mut self, now: Now) {
        if now.mono.since(self.last_tick) > self.timing.heartbeat * PAUSED_BEATS {
            for heard in self.heard.values_mut() {
                *heard = now.mono;
            }
        }
        self.last_tick = now.mono;
    }

    fn beat(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.last_beat = now.mono;
        self.next_beat = now.mono.plus(self.timing.heartbeat);
        let others = self
            .row
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        actions.extend(others.map(|to| Action::Beat {
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
        if self.row.member(&self.me.name).is_none() {
            return;
        }
        for member in &self.row.members {
            let heard = *self.heard.entry(member.name.clone()).or_insert(now.mono);
            if member.name == self.me.name || now.mono.since(heard) <= self.timing.silence {
                continue;
            }
            let change = format!("remove-{}-{}", member.name, member.incarnation);
            let row = self.row.without_member(
                &member.name,
                member.incarnation,
                &change,
                now.wall,
                self.timing.window,
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

    fn retry_parked(&mut self, now: Now, actions: &mut Vec<Action>) {
        for parked in std::mem::take(&mut self.parked) {
            let Parked {
                waiter,
                question,
                until,
            } = parked;
            if now.mono < until {
                let before = self.parked.len();
                self.ask(waiter, question, false, now, actions);
                if let Some(again) = self.parked.get_mut(before) {
                    again.until = until;
                }
                continue;
            }
            let refusal = Refusal::new(
                Reason::CoordinatorLost,
                Ran::Unknown,
                "the job's coordinator did not answer; send the same id again",
            )
            .with_retry_after_ms(1_000);
            super::submit::answer(waiter, question.id(), Answer::Refused(refusal), actions);
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
        sent: Mono,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.heard.insert(member.name.clone(), now.mono);
        self.takeover
            .confirm(&member.name, member.incarnation, epoch, now.mono);
        let asked = self
            .row
            .member(&member.name)
            .is_some_and(|m| m.incarnation == member.incarnation);
        if asked && epoch == self.row.epoch {
            self.lease.confirm_by_peer(&member.name, sent);
        }
        self.hear_epoch(epoch, now, actions);
    }

    pub(super) fn row_read(
        &mut self,
        sent: Mono,
        version: u64,
        row: Row,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if row.epoch < self.row.epoch {
            return;
        }
        self.lease.note_read(sent);
        if row.epoch > self.row.epoch {
            self.adopt(row, now, actions);
        }
        self.row_version = version;
        self.lease.confirm_by_read(sent);
        self.keep_membership(now, actions);
    }

    fn adopt(&mut self, row: Row, now: Now, actions: &mut Vec<Action>) {
        let ended = row.past.iter().filter(|past| past.epoch >= self.row.epoch);
        for past in ended {
            let before = Row {
                epoch: past.epoch,
                members: past.members.clone(),
                ..Row::default()
            };
            self.takeover.begin(before, &self.me.name, now.mono);
        }
        if row.members == self.row.members {
            self.takeover
                .begin(self.row.clone(), &self.me.name, now.mono);
        }
        self.lease.reset();
        self.row = row;
        if self.catalogue_version != self.row.catalogue {
            actions.push(Action::ReadCatalogue {
                version: self.row.catalogue,
            });
        }
        let members = &self.row.members;
        self.heard
            .retain(|name, _at| members.iter().any(|m| m.name == *name));
        self.beat(now, actions);
        self.announce_entries(actions);
    }

    /// Joins the members, or leaves them before a planned stop.
    fn keep_membership(&mut self, now: Now, actions: &mut Vec<Action>) {
        let present = self
            .row
            .member(&self.me.name)
            .is_some_and(|m| *m == self.me);
        let (me, window) = (&self.me, self.timing.window);
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
            self.queue.configure(&catalogue);
            self.catalogue = catalogue;
            self.catalogue_version = version;
        }
    }

    pub(super) fn stop(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.keep_membership(now, actions);
    }
}
