//! Progress of operators' changes: checking, writing, and confirming that they are in force.

use std::time::Duration;

use super::{
    ChangeBase, ChangeResult, ConfirmingChange, PendingChange, PlannedChange, RejectionReason,
    State, WriteStage, WritingChange, answer_change, reject_change,
};
use crate::catalogue::Catalogue;
use crate::control::Member;
use crate::entry::{Action, Entry};
use crate::time::Now;

/// Delay before a write without an answer is repeated the first time; it doubles each time.
const MIN_WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay between repeated writes.
const MAX_WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which a read of the catalogue without an answer is repeated.
const CATALOGUE_READ_INTERVAL: Duration = Duration::from_secs(1);

impl Entry {
    /// Advances all changes of operators as far as possible, after each event.
    pub(in crate::entry) fn advance_changes(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.resolve_row_write(now, actions);
        self.retry_write(now, actions);
        while self.operator.writing.is_none() {
            let Some(pending) = self.operator.waiting.pop_front() else {
                break;
            };
            if !self.begin_change(pending, now, actions) {
                break;
            }
        }
        self.report_confirmed_changes(now, actions);
    }

    /// Checks the next waiting change and starts to write it, unless it was written before or is
    /// answered at once. Returns whether the change left the queue, so that the next one is first.
    fn begin_change(
        &mut self,
        mut pending: PendingChange,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        if let Some(change) = self.row.operator_change(&pending.proposal.id) {
            let epoch = change.epoch;
            self.operator
                .confirming
                .push(ConfirmingChange { pending, epoch });
            return true;
        }
        if self.leaving || self.epoch_confirmed_at(now).is_none() {
            let detail =
                "this entry has no lease or is leaving; repeat the command at another entry"
                    .to_owned();
            reject_change(&pending, (RejectionReason::NoLease, detail), actions);
            return true;
        }
        if self.catalogue_version != self.row.catalogue {
            return self.wait_for_catalogue(pending, now, actions);
        }
        let PlannedChange { changes, catalogue } = match self.plan_change(&pending.proposal) {
            Ok(plan) => plan,
            Err(rejection) => {
                reject_change(&pending, rejection, actions);
                return true;
            }
        };
        pending.changes = changes;
        if pending.proposal.dry_run {
            answer_change(&pending, ChangeResult::DryRun, actions);
        } else if pending.changes.is_empty() {
            let epoch = self.row.epoch;
            self.operator
                .confirming
                .push(ConfirmingChange { pending, epoch });
        } else if let Some(catalogue) = catalogue {
            self.write_catalogue(pending, catalogue, now, actions);
        } else {
            self.write_row(pending, None, now, actions);
        }
        true
    }

    /// Puts a change back in front of the queue because this entry lacks the catalogue that the
    /// control row names, or rejects it after its deadline. Returns whether it left the queue.
    fn wait_for_catalogue(
        &mut self,
        pending: PendingChange,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        if now.mono >= pending.deadline {
            let detail =
                "the catalogue in force cannot be read; try again when the table service answers";
            let rejection = (RejectionReason::StoreUnavailable, detail.to_owned());
            reject_change(&pending, rejection, actions);
            return true;
        }
        self.operator.waiting.push_front(pending);
        false
    }

    /// Starts to write the new catalogue under the next version that this entry does not know to
    /// be used.
    fn write_catalogue(
        &mut self,
        pending: PendingChange,
        catalogue: Catalogue,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let version = self.row.catalogue.max(self.operator.last_tried_version) + 1;
        self.operator.last_tried_version = version;
        actions.push(Action::WriteCatalogue {
            version,
            catalogue: catalogue.clone(),
        });
        self.operator.writing = Some(WritingChange {
            pending,
            base: ChangeBase::of(&self.row),
            stage: WriteStage::Catalogue {
                version,
                catalogue,
                next_write: now.mono.plus(MIN_WRITE_RETRY_DELAY),
                retry_delay: MIN_WRITE_RETRY_DELAY,
            },
        });
    }

    /// Starts to write the control row that makes a change; `version` is that of the new
    /// catalogue, if the change has one.
    fn write_row(
        &mut self,
        pending: PendingChange,
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
        self.operator.writing = Some(WritingChange {
            pending,
            base: ChangeBase::of(&self.row),
            stage: WriteStage::Row {
                expect,
                row,
                next_write: now.mono.plus(MIN_WRITE_RETRY_DELAY),
                retry_delay: MIN_WRITE_RETRY_DELAY,
            },
        });
    }

    /// Writes the control row after the new version of the catalogue was written.
    pub(in crate::entry) fn proceed_to_row_write(
        &mut self,
        version: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(writing) = self.operator.take_catalogue_write(version) else {
            return;
        };
        if writing.base != ChangeBase::of(&self.row) {
            return self.reject_as_conflict(&writing.pending, actions);
        }
        self.write_row(writing.pending, Some(version), now, actions);
    }

    /// Finds out from a read of a catalogue version whether the write of that version, which got
    /// no answer, took effect.
    pub(in crate::entry) fn resolve_catalogue_write(
        &mut self,
        version: u64,
        found: &Catalogue,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(WritingChange {
            stage: WriteStage::Catalogue { catalogue, .. },
            ..
        }) = &self.operator.writing
        else {
            return;
        };
        if catalogue == found {
            self.proceed_to_row_write(version, now, actions);
        } else {
            self.skip_catalogue_version(version, now, actions);
        }
    }

    /// Writes the catalogue under the next version because another change has used this one.
    pub(in crate::entry) fn skip_catalogue_version(
        &mut self,
        version: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(writing) = self.operator.take_catalogue_write(version) else {
            return;
        };
        if writing.base != ChangeBase::of(&self.row) {
            return self.reject_as_conflict(&writing.pending, actions);
        }
        if let WriteStage::Catalogue { catalogue, .. } = writing.stage {
            self.write_catalogue(writing.pending, catalogue, now, actions);
        }
    }

    /// Finds out from the adopted control row whether the write of a row took effect, or cannot
    /// take effect any more because the version of the row has changed.
    fn resolve_row_write(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(writing) = self.operator.writing.take() else {
            return;
        };
        let WriteStage::Row {
            expect, ref row, ..
        } = writing.stage
        else {
            self.operator.writing = Some(writing);
            return;
        };
        if let Some(change) = self.row.operator_change(&writing.pending.proposal.id) {
            let epoch = change.epoch;
            let pending = writing.pending;
            self.operator
                .confirming
                .push(ConfirmingChange { pending, epoch });
        } else if self.row_version == expect {
            self.operator.writing = Some(writing);
        } else if writing.base == ChangeBase::of(&self.row) {
            // Only the members changed, so the change can be applied to the new row.
            let version = (row.catalogue != self.row.catalogue).then_some(row.catalogue);
            self.write_row(writing.pending, version, now, actions);
        } else {
            self.reject_as_conflict(&writing.pending, actions);
        }
    }

    fn reject_as_conflict(&self, pending: &PendingChange, actions: &mut Vec<Action>) {
        let other = self.row.changes.last();
        let other = other.map_or("another change", |change| &change.id);
        let detail = format!(
            "another operator's change {other} was made first; see `ibisspool status` and repeat your change if it is still right"
        );
        reject_change(pending, (RejectionReason::Conflict, detail), actions);
    }

    /// Repeats a write whose answer is missing, or answers the operator after the deadline.
    fn retry_write(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(mut writing) = self.operator.writing.take() else {
            return;
        };
        let is_expired = now.mono >= writing.pending.deadline;
        match &mut writing.stage {
            WriteStage::Catalogue { .. } if is_expired => {
                let detail = "the table service did not confirm the write of the catalogue; nothing was changed, try again when the table service answers";
                let rejection = (RejectionReason::StoreUnavailable, detail.to_owned());
                reject_change(&writing.pending, rejection, actions);
            }
            WriteStage::Row { .. } if is_expired => {
                let detail = format!(
                    "the table service did not answer, so the change may or may not take effect; repeat the command with --change {} to find out",
                    writing.pending.proposal.id
                );
                answer_change(
                    &writing.pending,
                    ChangeResult::Unsettled { detail },
                    actions,
                );
            }
            WriteStage::Catalogue {
                version,
                catalogue,
                next_write,
                retry_delay,
            } if now.mono >= *next_write => {
                // The read shows whether an earlier write of this version took effect.
                *retry_delay = (*retry_delay * 2).min(MAX_WRITE_RETRY_DELAY);
                *next_write = now.mono.plus(*retry_delay);
                actions.push(Action::WriteCatalogue {
                    version: *version,
                    catalogue: catalogue.clone(),
                });
                actions.push(Action::ReadCatalogue { version: *version });
                self.operator.writing = Some(writing);
            }
            WriteStage::Row {
                expect,
                row,
                next_write,
                retry_delay,
            } if now.mono >= *next_write => {
                *retry_delay = (*retry_delay * 2).min(MAX_WRITE_RETRY_DELAY);
                *next_write = now.mono.plus(*retry_delay);
                actions.push(Action::WriteRow {
                    expect: *expect,
                    row: row.clone(),
                });
                self.operator.writing = Some(writing);
            }
            WriteStage::Catalogue { .. } | WriteStage::Row { .. } => {
                self.operator.writing = Some(writing);
            }
        }
    }

    /// Answers the operators whose changes are in force, or whose deadline has passed.
    fn report_confirmed_changes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let has_catalogue = self.catalogue_version == self.row.catalogue;
        for confirming in std::mem::take(&mut self.operator.confirming) {
            let ConfirmingChange { pending, epoch } = &confirming;
            let epoch = *epoch;
            if has_catalogue && self.takeover.is_in_force(epoch) {
                let after_ms = now.mono.since(pending.asked_at).as_millis() as u64;
                answer_change(pending, ChangeResult::InForce { epoch, after_ms }, actions);
            } else if now.mono >= pending.deadline {
                let unconfirmed = self.members_behind(epoch);
                answer_change(
                    pending,
                    ChangeResult::Written { epoch, unconfirmed },
                    actions,
                );
            } else {
                self.operator.confirming.push(confirming);
            }
        }
    }

    /// Returns the names of the members that have not reported `epoch` or a later one, and that of
    /// this entry while it lacks the catalogue that the control row names.
    fn members_behind(&self, epoch: u64) -> Vec<String> {
        let lacks_catalogue = self.catalogue_version != self.row.catalogue;
        let is_behind = |name: &str| {
            if name == self.me.name {
                return lacks_catalogue;
            }
            self.operator.reported_epoch(name) < epoch
        };
        let names = self.row.members.iter().map(|member| member.name.clone());
        names.filter(|name| is_behind(name)).collect()
    }

    /// Repeats the read of the catalogue that the control row names, until it has succeeded.
    pub(in crate::entry) fn retry_catalogue_read(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.catalogue_version == self.row.catalogue {
            self.operator.next_catalogue_read = now.mono.plus(CATALOGUE_READ_INTERVAL);
        } else if now.mono >= self.operator.next_catalogue_read {
            self.operator.next_catalogue_read = now.mono.plus(CATALOGUE_READ_INTERVAL);
            let version = self.row.catalogue;
            actions.push(Action::ReadCatalogue { version });
        }
    }

    /// Records the epoch that a member reported in a heartbeat answer.
    pub(in crate::entry) fn record_member_epoch(&mut self, member: &Member, epoch: u64) {
        let known = self
            .operator
            .reported_epochs
            .entry(member.name.clone())
            .or_default();
        *known = (*known).max(epoch);
    }
}

impl State {
    /// Returns the highest epoch that a member has reported, 0 if it never answered.
    pub(super) fn reported_epoch(&self, name: &str) -> u64 {
        self.reported_epochs.get(name).copied().unwrap_or(0)
    }

    /// Removes and returns the change whose catalogue is being written under this version.
    fn take_catalogue_write(&mut self, written_version: u64) -> Option<WritingChange> {
        self.writing.take_if(
            |writing| matches!(writing.stage, WriteStage::Catalogue { version, .. } if version == written_version),
        )
    }
}
