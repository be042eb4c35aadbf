//! The path of a change: written, settled, in force.

use std::time::Duration;

use super::{
    Active, Base, Confirming, End, NotAccepted, Pending, Plan, Stage, State, tell,
    tell_not_accepted,
};
use crate::catalogue::Catalogue;
use crate::control::Member;
use crate::entry::{Action, Entry};
use crate::time::Now;

/// Time after which a write without an answer is repeated the first time; doubled each time.
const WRITE_AGAIN: Duration = Duration::from_millis(500);

/// Longest time between repeated writes.
const WRITE_AGAIN_MAX: Duration = Duration::from_secs(1);

/// Time between reads of a catalogue that was not answered.
const READ_AGAIN: Duration = Duration::from_secs(1);

impl Entry {
    /// Carries the changes of operators on as far as they can go now.
    pub(in crate::entry) fn advance_changes(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.settle_row(now, actions);
        self.write_again(now, actions);
        while self.operator.active.is_none() {
            let Some(pending) = self.operator.waiting.pop_front() else {
                break;
            };
            if !self.begin(pending, now, actions) {
                break;
            }
        }
        self.confirm_changes(now, actions);
    }

    /// Begins a change; returns whether the next one may be looked at.
    fn begin(&mut self, mut pending: Pending, now: Now, actions: &mut Vec<Action>) -> bool {
        if let Some(change) = self.row.operator_change(&pending.proposal.id) {
            let epoch = change.epoch;
            self.operator.confirming.push(Confirming { pending, epoch });
            return true;
        }
        if self.leaving || self.lease_basis(now).is_none() {
            let detail = "this entry has no lease or is leaving; ask another entry".to_owned();
            tell_not_accepted(&pending, (NotAccepted::NoLease, detail), actions);
            return true;
        }
        if self.catalogue_version != self.row.catalogue {
            return self.wait_for_catalogue(pending, now, actions);
        }
        let Plan { changes, catalogue } = match self.plan(&pending.proposal) {
            Ok(plan) => plan,
            Err(objection) => {
                tell_not_accepted(&pending, objection, actions);
                return true;
            }
        };
        pending.changes = changes;
        if pending.proposal.dry_run {
            tell(&pending, End::DryRun, actions);
        } else if pending.changes.is_empty() {
            let epoch = self.row.epoch;
            self.operator.confirming.push(Confirming { pending, epoch });
        } else if let Some(catalogue) = catalogue {
            self.write_catalogue(pending, catalogue, now, actions);
        } else {
            self.write_row(pending, None, now, actions);
        }
        true
    }

    fn wait_for_catalogue(
        &mut self,
        pending: Pending,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        if now.mono >= pending.deadline {
            let detail =
                "the catalogue in force cannot be read; try again when the table service answers";
            let objection = (NotAccepted::StoreUnavailable, detail.to_owned());
            tell_not_accepted(&pending, objection, actions);
            return true;
        }
        self.operator.waiting.push_front(pending);
        false
    }

    /// Writes the catalogue under the next version that nobody is known to have used.
    fn write_catalogue(
        &mut self,
        pending: Pending,
        catalogue: Catalogue,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let version = self.row.catalogue.max(self.operator.tried_version) + 1;
        self.operator.tried_version = version;
        actions.push(Action::WriteCatalogue {
            version,
            catalogue: catalogue.clone(),
        });
        self.operator.active = Some(Active {
            pending,
            base: Base::of(&self.row),
            stage: Stage::Catalogue {
                version,
                catalogue,
                again: now.mono.plus(WRITE_AGAIN),
                pause: WRITE_AGAIN,
            },
        });
    }

    fn write_row(
        &mut self,
        pending: Pending,
        version: Option<u64>,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let row = self.changed_row(&pending.proposal, version, now);
        let expect = self.row_version;
        actions.push(Action::WriteRow {
            expect,
            row: row.clone(),
        });
        self.operator.active = Some(Active {
            pending,
            base: Base::of(&self.row),
            stage: Stage::Row {
                expect,
                row,
                again: now.mono.plus(WRITE_AGAIN),
                pause: WRITE_AGAIN,
            },
        });
    }

    /// Goes on with the control row once the catalogue stands under its version.
    pub(in crate::entry) fn catalogue_written(
        &mut self,
        version: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.operator.take_catalogue(version) else {
            return;
        };
        if active.base != Base::of(&self.row) {
            return self.tell_conflict(&active.pending, actions);
        }
        self.write_row(active.pending, Some(version), now, actions);
    }

    /// Learns from a read of the catalogue's row whether a write without an answer took effect.
    pub(in crate::entry) fn catalogue_found(
        &mut self,
        version: u64,
        found: &Catalogue,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(Active {
            stage: Stage::Catalogue { catalogue, .. },
            ..
        }) = &self.operator.active
        else {
            return;
        };
        if catalogue == found {
            self.catalogue_written(version, now, actions);
        } else {
            self.catalogue_taken(version, now, actions);
        }
    }

    /// Tries the next version after another change took this one.
    pub(in crate::entry) fn catalogue_taken(
        &mut self,
        version: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.operator.take_catalogue(version) else {
            return;
        };
        if active.base != Base::of(&self.row) {
            return self.tell_conflict(&active.pending, actions);
        }
        if let Stage::Catalogue { catalogue, .. } = active.stage {
            self.write_catalogue(active.pending, catalogue, now, actions);
        }
    }

    /// Learns from the row whether the write took effect, or never can.
    fn settle_row(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(active) = self.operator.active.take() else {
            return;
        };
        let Stage::Row {
            expect, ref row, ..
        } = active.stage
        else {
            self.operator.active = Some(active);
            return;
        };
        if let Some(change) = self.row.operator_change(&active.pending.proposal.id) {
            let epoch = change.epoch;
            let pending = active.pending;
            self.operator.confirming.push(Confirming { pending, epoch });
        } else if self.row_version == expect {
            self.operator.active = Some(active);
        } else if active.base == Base::of(&self.row) {
            // Only the members changed, so the change is made upon the new row.
            let version = (row.catalogue != self.row.catalogue).then_some(row.catalogue);
            self.write_row(active.pending, version, now, actions);
        } else {
            self.tell_conflict(&active.pending, actions);
        }
    }

    fn tell_conflict(&self, pending: &Pending, actions: &mut Vec<Action>) {
        let other = self.row.changes.last();
        let other = other.map_or("another change", |change| &change.id);
        let detail = format!(
            "another operator's change {other} came first; look at `ibisspool status` and repeat yours if it still fits"
        );
        tell_not_accepted(pending, (NotAccepted::Conflict, detail), actions);
    }

    /// Repeats a write whose answer is missing, until the operator's time has run out.
    fn write_again(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(mut active) = self.operator.active.take() else {
            return;
        };
        let expired = now.mono >= active.pending.deadline;
        match &mut active.stage {
            Stage::Catalogue { .. } if expired => {
                let detail = "the table service did not take the catalogue; nothing was changed, try again when it answers";
                let objection = (NotAccepted::StoreUnavailable, detail.to_owned());
                tell_not_accepted(&active.pending, objection, actions);
            }
            Stage::Row { .. } if expired => {
                let detail = format!(
                    "the table service did not answer, so the change may or may not take effect; repeat the command with --change {} to learn it",
                    active.pending.proposal.id
                );
                tell(&active.pending, End::Unsettled { detail }, actions);
            }
            Stage::Catalogue {
                version,
                catalogue,
                again,
                pause,
            } if now.mono >= *again => {
                // Whether the lost write took effect shows in what stands under the version.
                *pause = (*pause * 2).min(WRITE_AGAIN_MAX);
                *again = now.mono.plus(*pause);
                actions.push(Action::WriteCatalogue {
                    version: *version,
                    catalogue: catalogue.clone(),
                });
                actions.push(Action::ReadCatalogue { version: *version });
                self.operator.active = Some(active);
            }
            Stage::Row {
                expect,
                row,
                again,
                pause,
            } if now.mono >= *again => {
                *pause = (*pause * 2).min(WRITE_AGAIN_MAX);
                *again = now.mono.plus(*pause);
                actions.push(Action::WriteRow {
                    expect: *expect,
                    row: row.clone(),
                });
                self.operator.active = Some(active);
            }
            Stage::Catalogue { .. } | Stage::Row { .. } => self.operator.active = Some(active),
        }
    }

    /// Reports the changes under which every entry decides, and those whose time has run out.
    fn confirm_changes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let adopted = self.catalogue_version == self.row.catalogue;
        for confirming in std::mem::take(&mut self.operator.confirming) {
            let Confirming { pending, epoch } = &confirming;
            let epoch = *epoch;
            if adopted && self.takeover.is_in_force(epoch) {
                let after_ms = now.mono.since(pending.since).as_millis() as u64;
                tell(pending, End::InForce { epoch, after_ms }, actions);
            } else if now.mono >= pending.deadline {
                let unconfirmed = self.members_behind(epoch);
                tell(pending, End::Written { epoch, unconfirmed }, actions);
            } else {
                self.operator.confirming.push(confirming);
            }
        }
    }

    /// Returns the members that have not said that they are at `epoch`, and this one while it
    /// lacks the catalogue.
    fn members_behind(&self, epoch: u64) -> Vec<String> {
        let lacks_catalogue = self.catalogue_version != self.row.catalogue;
        let behind = |name: &str| {
            if name == self.me.name {
                return lacks_catalogue;
            }
            self.operator.epoch_of(name) < epoch
        };
        let names = self.row.members.iter().map(|member| member.name.clone());
        names.filter(|name| behind(name)).collect()
    }

    /// Reads the catalogue in force again if an earlier read was not answered.
    pub(in crate::entry) fn read_catalogue_again(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.catalogue_version == self.row.catalogue {
            self.operator.next_catalogue_read = now.mono.plus(READ_AGAIN);
        } else if now.mono >= self.operator.next_catalogue_read {
            self.operator.next_catalogue_read = now.mono.plus(READ_AGAIN);
            let version = self.row.catalogue;
            actions.push(Action::ReadCatalogue { version });
        }
    }

    pub(in crate::entry) fn note_epoch(&mut self, member: &Member, epoch: u64) {
        let known = self.operator.epochs.entry(member.name.clone()).or_default();
        *known = (*known).max(epoch);
    }
}

impl State {
    /// Returns the epoch that a member said last, 0 if it never answered.
    pub(super) fn epoch_of(&self, name: &str) -> u64 {
        self.epochs.get(name).copied().unwrap_or(0)
    }

    fn take_catalogue(&mut self, awaited: u64) -> Option<Active> {
        self.active.take_if(
            |active| matches!(active.stage, Stage::Catalogue { version, .. } if version == awaited),
        )
    }
}
