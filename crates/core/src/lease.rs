//! The lease under which an entry may decide, and when a change of epoch has taken effect.
//!
//! An entry holds the lease of its epoch while, within the last lease length counted from when
//! the question was sent, it read the control row at that epoch or a majority of the members
//! answered that they are at that epoch too (after Gray and Cheriton, "Leases", 1989).

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::control::{Member, Row};
use crate::settings::Timing;
use crate::time::Mono;

/// Evidence for the lease of one epoch.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    answers: BTreeMap<String, Mono>,
    read: Option<Mono>,
    last_read: Option<Mono>,
}

impl Lease {
    /// Makes a lease without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the evidence for the former epoch; the last read of the row still counts for the
    /// store grace.
    pub fn reset(&mut self) {
        self.answers.clear();
        self.read = None;
    }

    /// Records that a read of the row, asked for at `sent`, found the present epoch.
    pub fn confirm_by_read(&mut self, sent: Mono) {
        self.read = self.read.max(Some(sent));
        self.note_read(sent);
    }

    /// Records a read of the row, whatever it found, for the store grace.
    pub fn note_read(&mut self, sent: Mono) {
        self.last_read = self.last_read.max(Some(sent));
    }

    /// Records that a member answered a heartbeat, sent at `sent`, at the present epoch.
    pub fn confirm_by_peer(&mut self, name: &str, sent: Mono) {
        let answer = self.answers.entry(name.to_owned()).or_insert(sent);
        *answer = (*answer).max(sent);
    }

    /// Returns when the question was sent on which a valid lease of the member `me` rests, `None`
    /// without a lease.
    pub fn basis(&self, me: &str, row: &Row, timing: &Timing, now: Mono) -> Option<Mono> {
        row.member(me)?;
        self.evidence(Some(me), row, timing, now)
    }

    /// Returns when the question was sent that last showed the epoch of `row` to be the present
    /// one, `None` if that is longer ago than a lease lasts. `me` is the asker if it is a member;
    /// its own vote counts then.
    pub fn evidence(
        &self,
        me: Option<&str>,
        row: &Row,
        timing: &Timing,
        now: Mono,
    ) -> Option<Mono> {
        let read = self.last_read?;
        if now.since(read) > timing.store_grace {
            return None;
        }
        let basis = self.by_majority(me, row, now).max(self.read)?;
        (now.since(basis) <= timing.lease).then_some(basis)
    }

    fn by_majority(&self, me: Option<&str>, row: &Row, now: Mono) -> Option<Mono> {
        let mut sent: SmallVec<[Mono; 16]> = row
            .members
            .iter()
            .filter_map(|member| {
                if Some(member.name.as_str()) == me {
                    Some(now)
                } else {
                    self.answers.get(&member.name).copied()
                }
            })
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(row.majority() - 1).copied()
    }
}

/// Watches when no entry can hold a lease of an earlier epoch any more.
#[derive(Debug, Clone, Default)]
pub struct Takeover {
    pending: Vec<Pending>,
}

#[derive(Debug, Clone)]
struct Pending {
    /// Lowest epoch that the members of `before` may hold a lease of.
    first: u64,
    before: Row,
    heard: Mono,
    answers: BTreeMap<String, Mono>,
}

impl Takeover {
    /// Makes a watch with nothing pending.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to watch the end of the epoch of `before`, whose successor was heard of at `now`.
    pub fn begin(&mut self, before: Row, me: &str, now: Mono) {
        self.begin_from(before.epoch, before, me, now);
    }

    /// Starts to watch the end of all epochs from `first` to that of `before`, which have the same
    /// members.
    pub fn begin_from(&mut self, first: u64, before: Row, me: &str, now: Mono) {
        let answers = BTreeMap::from([(me.to_owned(), now)]);
        self.pending.push(Pending {
            first,
            before,
            heard: now,
            answers,
        });
    }

    /// Records that the incarnation of a member said at `now` that it is at `epoch`.
    pub fn confirm(&mut self, name: &str, incarnation: u64, epoch: u64, now: Mono) {
        for pending in &mut self.pending {
            let asked = pending
                .before
                .member(name)
                .is_some_and(|m| m.incarnation == incarnation);
            if asked && epoch > pending.before.epoch {
                pending.answers.entry(name.to_owned()).or_insert(now);
            }
        }
    }

    /// Records that the processes whose addresses later members have taken over are gone. An
    /// address belongs to one process at a time, so they can hold no lease after `now`.
    pub fn bury(&mut self, members: &[Member], now: Mono) {
        for pending in &mut self.pending {
            let replaced = pending.before.members.iter().filter(|old| {
                let takes_over = |new: &&Member| {
                    new.address == old.address && new.incarnation != old.incarnation
                };
                members.iter().any(|new| takes_over(&new))
            });
            for old in replaced {
                pending.answers.entry(old.name.clone()).or_insert(now);
            }
        }
    }

    /// Drops every earlier epoch whose leases have all lapsed by `now`; returns whether any did.
    pub fn settle(&mut self, timing: &Timing, now: Mono) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| !pending.lapsed(timing, now));
        self.pending.len() < before
    }

    /// Returns the highest epoch below which no entry can hold a lease; `epoch` is the present one.
    pub fn lapsed_below(&self, epoch: u64) -> u64 {
        let firsts = self.pending.iter().map(|pending| pending.first);
        firsts.min().unwrap_or(epoch)
    }

    /// Takes over from another entry that no lease below the epoch can be held any more, which
    /// stays true once it is; returns whether that ends the watch of any epoch.
    pub fn learn(&mut self, below: u64) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.before.epoch >= below);
        for pending in &mut self.pending {
            pending.first = pending.first.max(below);
        }
        self.pending.len() < before
    }

    /// Returns whether no entry can hold a lease of an epoch below `epoch`.
    pub fn in_force(&self, epoch: u64) -> bool {
        self.pending.iter().all(|pending| pending.first >= epoch)
    }

    /// Returns the rows of earlier epochs whose leases may still be held.
    pub fn leasable(&self) -> impl Iterator<Item = &Row> {
        self.pending.iter().map(|pending| &pending.before)
    }
}

impl Pending {
    fn lapsed(&self, timing: &Timing, now: Mono) -> bool {
        if self.before.members.is_empty()
            || now.since(self.heard) > timing.store_grace + timing.lease + timing.lease_margin
        {
            return true;
        }
        let mut times: SmallVec<[Mono; 16]> = self
            .answers
            .iter()
            .filter(|(name, _at)| self.before.member(name).is_some())
            .map(|(_name, at)| *at)
            .collect();
        times.sort_unstable();
        let Some(last) = times.get(self.before.blocking() - 1) else {
            return false;
        };
        now.since(*last) > timing.lease + timing.lease_margin
    }
}
