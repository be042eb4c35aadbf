//! The lease under which an entry may make decisions, and the wait after a change of epoch until
//! no lease of an earlier epoch can be held.
//!
//! An entry holds the lease of its epoch if it has confirmed that epoch within the last
//! [`Timing::lease_duration`], counted from when the confirming request was sent. A confirmation is
//! a read of the control row at that epoch, or heartbeat answers from a majority of the members
//! that they are at that epoch too. The method follows Gray and Cheriton, "Leases", 1989.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::control::{Member, Row};
use crate::settings::Timing;
use crate::time::Monotonic;

/// Confirmations on which the lease of the present epoch rests.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    /// Send times of the latest heartbeats that confirmed the present epoch, by member name.
    confirmations: BTreeMap<String, Monotonic>,
    /// Send time of the latest row read that found the present epoch.
    confirming_read: Option<Monotonic>,
    /// Send time of the latest row read, whatever epoch it found.
    last_row_read: Option<Monotonic>,
}

impl Lease {
    /// Creates a lease without confirmations, which is not valid.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the confirmations of the previous epoch. The time of the last row read is kept, since
    /// `Timing::max_time_without_row_read` applies across epochs.
    pub fn drop_confirmations(&mut self) {
        self.confirmations.clear();
        self.confirming_read = None;
    }

    /// Records that a row read, sent at `sent`, found the present epoch.
    pub fn confirm_by_read(&mut self, sent: Monotonic) {
        self.confirming_read = self.confirming_read.max(Some(sent));
        self.record_row_read(sent);
    }

    /// Records a row read, sent at `sent`, that may have found any epoch. A lease lapses if there
    /// is no such read for `Timing::max_time_without_row_read`.
    pub fn record_row_read(&mut self, sent: Monotonic) {
        self.last_row_read = self.last_row_read.max(Some(sent));
    }

    /// Records that a member at the present epoch answered a heartbeat sent at `sent`.
    pub fn confirm_by_peer(&mut self, name: &str, sent: Monotonic) {
        let confirmed = self.confirmations.entry(name.to_owned()).or_insert(sent);
        *confirmed = (*confirmed).max(sent);
    }

    /// Returns when the confirming request was sent on which the valid lease of the member `me`
    /// rests, `None` if `me` is not a member or holds no valid lease.
    pub fn confirmed_at(
        &self,
        me: &str,
        row: &Row,
        timing: &Timing,
        now: Monotonic,
    ) -> Option<Monotonic> {
        row.member(me)?;
        self.epoch_confirmed_at(Some(me), row, timing, now)
    }

    /// Returns when the request was sent that last confirmed the epoch of `row` as the present one,
    /// `None` if that is longer ago than a lease lasts. `me` is the name of this entry if it is a
    /// member; it then counts towards the majority itself.
    pub fn epoch_confirmed_at(
        &self,
        me: Option<&str>,
        row: &Row,
        timing: &Timing,
        now: Monotonic,
    ) -> Option<Monotonic> {
        let last_row_read = self.last_row_read?;
        if now.since(last_row_read) > timing.max_time_without_row_read {
            return None;
        }
        let basis = self
            .latest_majority_confirmation(me, row, now)
            .max(self.confirming_read)?;
        (now.since(basis) <= timing.lease_duration).then_some(basis)
    }

    /// Returns the latest time such that a majority of the members answered heartbeats sent then or
    /// later.
    fn latest_majority_confirmation(
        &self,
        me: Option<&str>,
        row: &Row,
        now: Monotonic,
    ) -> Option<Monotonic> {
        let mut sent_times: SmallVec<[Monotonic; 16]> = row
            .members
            .iter()
            .filter_map(|member| {
                if Some(member.name.as_str()) == me {
                    Some(now)
                } else {
                    self.confirmations.get(&member.name).copied()
                }
            })
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        sent_times.get(row.majority() - 1).copied()
    }
}

/// Tracks earlier epochs until no entry can hold a lease of them. Until then a decision of the
/// present epoch could contradict one made under such a lease.
#[derive(Debug, Clone, Default)]
pub struct EpochTracker {
    pending: Vec<PendingEpoch>,
}

#[derive(Debug, Clone)]
struct PendingEpoch {
    /// Lowest epoch of which the members of `row` may hold a lease.
    first_epoch: u64,
    /// Control row of the last of these epochs.
    row: Row,
    /// When this process learnt that a later epoch exists.
    successor_seen_at: Monotonic,
    /// When each member was first known to be at a later epoch, by name.
    confirmations: BTreeMap<String, Monotonic>,
}

impl EpochTracker {
    /// Creates a tracker without pending epochs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to track the epoch of `row`, whose successor became known at `now`.
    pub fn track(&mut self, row: Row, me: &str, now: Monotonic) {
        self.track_from(row.epoch, row, me, now);
    }

    /// Starts to track all epochs from `first_epoch` to that of `row`, which have the same members.
    pub fn track_from(&mut self, first_epoch: u64, row: Row, me: &str, now: Monotonic) {
        let confirmations = BTreeMap::from([(me.to_owned(), now)]);
        self.pending.push(PendingEpoch {
            first_epoch,
            row,
            successor_seen_at: now,
            confirmations,
        });
    }

    /// Records that an incarnation of a member reported at `now` to be at `epoch`.
    pub fn record_confirmation(
        &mut self,
        name: &str,
        incarnation: u64,
        epoch: u64,
        now: Monotonic,
    ) {
        for pending in &mut self.pending {
            let is_member = pending
                .row
                .member(name)
                .is_some_and(|m| m.incarnation == incarnation);
            if is_member && epoch > pending.row.epoch {
                pending.confirmations.entry(name.to_owned()).or_insert(now);
            }
        }
    }

    /// Records that earlier members have ended whose address a later member uses. An address
    /// belongs to one process at a time, so the earlier process can hold no lease after `now`.
    pub fn record_replaced_members(&mut self, members: &[Member], now: Monotonic) {
        for pending in &mut self.pending {
            let replaced = pending.row.members.iter().filter(|old| {
                let takes_over = |new: &&Member| {
                    new.address == old.address && new.incarnation != old.incarnation
                };
                members.iter().any(|new| takes_over(&new))
            });
            for old in replaced {
                pending.confirmations.entry(old.name.clone()).or_insert(now);
            }
        }
    }

    /// Stops tracking each epoch whose leases have all lapsed by `now`; returns whether there was
    /// any.
    pub fn drop_lapsed_epochs(&mut self, timing: &Timing, now: Monotonic) -> bool {
        let pending_before = self.pending.len();
        self.pending
            .retain(|pending| !pending.has_lapsed(timing, now));
        self.pending.len() < pending_before
    }

    /// Returns the highest epoch such that no entry can hold a lease of any epoch below it. `epoch`
    /// is the present one.
    pub fn lapsed_below(&self, epoch: u64) -> u64 {
        let first_epochs = self.pending.iter().map(|pending| pending.first_epoch);
        first_epochs.min().unwrap_or(epoch)
    }

    /// Applies the finding of another entry that no lease of an epoch below `below` can be held.
    /// Such a finding stays true. Returns whether it ends the tracking of any epoch.
    pub fn apply_lapsed_below(&mut self, below: u64) -> bool {
        let pending_before = self.pending.len();
        self.pending.retain(|pending| pending.row.epoch >= below);
        for pending in &mut self.pending {
            pending.first_epoch = pending.first_epoch.max(below);
        }
        self.pending.len() < pending_before
    }

    /// Returns whether no entry can hold a lease of an epoch below `epoch`.
    pub fn is_in_force(&self, epoch: u64) -> bool {
        self.pending
            .iter()
            .all(|pending| pending.first_epoch >= epoch)
    }

    /// Returns the control rows of earlier epochs of which a lease may still be held.
    pub fn rows_with_possible_leases(&self) -> impl Iterator<Item = &Row> {
        self.pending.iter().map(|pending| &pending.row)
    }
}

impl PendingEpoch {
    /// Returns whether no lease of these epochs can be held any more. That is so if they had no
    /// members; if so many members moved to a later epoch that the others are no majority, and a
    /// lease has run out since; or if the store grace and a lease have run out since the epochs
    /// ended.
    fn has_lapsed(&self, timing: &Timing, now: Monotonic) -> bool {
        if self.row.members.is_empty()
            || now.since(self.successor_seen_at)
                > timing.max_time_without_row_read + timing.lease_duration + timing.lease_margin
        {
            return true;
        }
        let mut confirmed_at: SmallVec<[Monotonic; 16]> = self
            .confirmations
            .iter()
            .filter(|(name, _at)| self.row.member(name).is_some())
            .map(|(_name, at)| *at)
            .collect();
        confirmed_at.sort_unstable();
        let Some(decisive) = confirmed_at.get(self.row.blocking_size() - 1) else {
            return false;
        };
        now.since(*decisive) > timing.lease_duration + timing.lease_margin
    }
}
