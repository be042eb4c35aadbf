//! Takeover of ids whose coordinator changed with the members.
//!
//! A coordinator without a record of an id asks every previous coordinator that may have accepted
//! the id. An answer "no record" contains the epoch of the entry that answers. An entry that
//! answers at epoch `a` never accepts the id under an epoch before `a`, because its epoch never
//! decreases. The answer therefore counts if and only if `a` is after the last epoch in which that
//! entry coordinated the id. It may arrive late or repeatedly, and the previous coordinator keeps
//! no state for it.

use smallvec::SmallVec;

use super::submit::{Admission, no_lease_refusal};
use super::{Action, Entry, WaiterId};
use crate::control::Member;
use crate::job::{Answer, Id};
use crate::refusal::{Ran, Reason, Refusal};
use crate::rendezvous;
use crate::time::{Monotonic, Now, Wall};

/// How long the answers about an id are kept.
const INQUIRY_RETENTION: std::time::Duration = std::time::Duration::from_secs(5);

/// Time after which an inquiry is sent again if its answer is missing or settles nothing.
const INQUIRY_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// What is known from a previous coordinator about an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InquiryState {
    /// No answer has arrived.
    Pending,
    /// The entry had no record of the id when it was at this epoch.
    NoRecord(u64),
    /// The entry has a record of the id.
    HasRecord,
    /// The process with this incarnation did not answer.
    Unreachable,
}

/// A previous coordinator of an id and its answer.
#[derive(Debug, Clone)]
struct InquiryTarget {
    member: Member,
    state: InquiryState,
    /// When the inquiry may be sent again.
    next_send: Monotonic,
}

/// What is known about one id that another entry may have accepted.
#[derive(Debug, Clone)]
pub(super) struct Inquiry {
    targets: SmallVec<[InquiryTarget; 2]>,
    /// Highest epoch up to which no entry can have accepted the id.
    cleared_epoch: u64,
    expires_at: Monotonic,
}

impl Entry {
    /// Decides whether this entry may accept an id that it has no record of.
    pub(super) fn admit(&mut self, id: &Id, now: Now, actions: &mut Vec<Action>) -> Admission {
        if let Err(refusal) = self.check_id_age(id, now) {
            return Admission::Refuse(refusal);
        }
        if !self.has_valid_lease(now) {
            return Admission::Refuse(no_lease_refusal());
        }
        if self.catalogue_version != self.row.catalogue {
            return Admission::Wait;
        }
        if id.created() > now.wall.plus(self.timing.max_clock_difference) {
            return Admission::Wait;
        }
        if self.key_by_job_id.len() >= self.bounds.max_jobs {
            return Admission::Refuse(Refusal::new(
                Reason::TableFull,
                Ran::Unknown,
                "the table of remembered jobs is full; send the same id again later",
            ));
        }
        self.locate_record(id, now, actions)
    }

    /// Finds the entry with the record of an id that this entry coordinates and has no record of.
    pub(super) fn locate_record(
        &mut self,
        id: &Id,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Admission {
        if !self.has_valid_lease(now) {
            return Admission::Refuse(no_lease_refusal());
        }
        let learned = self
            .inquiries
            .get(id)
            .map_or(0, |inquiry| inquiry.cleared_epoch);
        let cleared_epoch = learned.max(self.cleared_epoch(id));
        let previous = self.previous_coordinators(id, cleared_epoch);
        if previous.is_empty() {
            return Admission::Unrecorded;
        }
        self.resolve_history(id, &previous, now, actions)
    }

    /// Decides by the answers of the previous coordinators, and asks those without a final answer.
    /// Each coordinator comes with the last epoch in which it may have accepted the id.
    fn resolve_history(
        &mut self,
        id: &Id,
        previous: &[(Member, u64)],
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Admission {
        if self.inquiries.len() >= self.bounds.max_waiters && !self.inquiries.contains_key(id) {
            return Admission::Refuse(too_many_parked_refusal());
        }
        let inquiry = self.inquiries.entry(*id).or_insert_with(|| Inquiry {
            targets: SmallVec::new(),
            cleared_epoch: 0,
            expires_at: now.mono.plus(INQUIRY_RETENTION),
        });
        let (mut is_any_unresolved, mut is_any_lost) = (false, false);
        for (member, last_epoch) in previous {
            let target = inquiry.target_mut(member, now.mono);
            match target.state {
                InquiryState::HasRecord => return Admission::Forward(member.clone()),
                InquiryState::NoRecord(at) if at > *last_epoch => continue,
                InquiryState::Unreachable if !self.row.members.contains(member) => {
                    is_any_lost = true;
                    continue;
                }
                _ => is_any_unresolved = true,
            }
            if now.mono >= target.next_send {
                target.next_send = now.mono.plus(INQUIRY_RETRY_INTERVAL);
                actions.push(Action::Inquire {
                    to: member.clone(),
                    id: *id,
                    epoch: self.row.epoch,
                });
            }
        }
        match (is_any_unresolved, is_any_lost) {
            (true, _) => Admission::Wait,
            (false, true) => Admission::Refuse(history_lost_refusal()),
            (false, false) => Admission::Unrecorded,
        }
    }

    /// Returns the other entries that may have accepted the id in an epoch after `cleared_epoch`,
    /// each with the last such epoch.
    fn previous_coordinators(&self, id: &Id, cleared_epoch: u64) -> SmallVec<[(Member, u64); 2]> {
        let mut previous: SmallVec<[(Member, u64); 2]> = SmallVec::new();
        for past in self
            .row
            .past
            .iter()
            .filter(|past| past.epoch > cleared_epoch)
        {
            let Some(member) = rendezvous::coordinator(&past.members, id) else {
                continue;
            };
            if self.is_this_process(member) {
                continue;
            }
            match previous.iter_mut().find(|(known, _epoch)| known == member) {
                Some((_member, epoch)) => *epoch = past.epoch.max(*epoch),
                None => previous.push((member.clone(), past.epoch)),
            }
        }
        previous
    }

    /// Returns whether no other entry can have accepted an id that this entry coordinates.
    pub(super) fn has_no_previous_coordinator(&self, id: &Id) -> bool {
        self.previous_coordinators(id, self.cleared_epoch(id))
            .is_empty()
    }

    /// Returns the highest past epoch up to which no entry can have accepted the id, 0 if there is
    /// none. The id was created after the leases of that epoch had lapsed, by the wall clock of
    /// any entry.
    fn cleared_epoch(&self, id: &Id) -> u64 {
        let clock_margin = self.timing.max_clock_difference * 2;
        self.leases_lapsed_at
            .iter()
            .rev()
            .find(|(_epoch, at)| id.created() > at.plus(clock_margin))
            .map_or(0, |(epoch, _at)| *epoch)
    }

    /// Drops the earlier epochs whose leases have all lapsed, and records the time.
    pub(super) fn drop_lapsed_epochs(&mut self, now: Now) {
        if self.takeover.drop_lapsed_epochs(&self.timing, now.mono) {
            self.record_lapse_times(now);
        }
    }

    /// Adopts the knowledge of another entry that all leases of epochs before `below` have lapsed.
    /// An entry that joined after several members were replaced cannot find out by itself, because
    /// the members of those epochs do not answer any more.
    pub(super) fn learn_lapsed_epochs(&mut self, below: u64, now: Now) {
        if self.takeover.apply_lapsed_below(below) {
            self.record_lapse_times(now);
        }
    }

    /// Records the present time for each past epoch whose leases are first known to have lapsed,
    /// and makes the parked requests due, which this may settle.
    fn record_lapse_times(&mut self, now: Now) {
        let lowest_leasable = self
            .takeover
            .rows_with_possible_leases()
            .map(|row| row.epoch)
            .min();
        for past in &self.row.past {
            if lowest_leasable.is_none_or(|lowest| past.epoch < lowest) {
                self.leases_lapsed_at.entry(past.epoch).or_insert(now.wall);
            }
        }
        let past = &self.row.past;
        self.leases_lapsed_at
            .retain(|epoch, _at| past.iter().any(|past| past.epoch == *epoch));
        self.make_parked_due(now);
    }

    /// Changes "no task ran" to "unknown" in an answer if this entry has no valid lease: without
    /// one, another entry may have accepted the same id.
    pub(super) fn downgrade_without_lease(&self, answer: Answer, now: Now) -> Answer {
        match answer {
            Answer::Refused(mut refusal)
                if refusal.ran == Ran::No && !self.has_valid_lease(now) =>
            {
                refusal.ran = Ran::Unknown;
                Answer::Refused(refusal)
            }
            other => other,
        }
    }

    /// Answers another entry that asks whether this one has a record of an id.
    pub(super) fn answer_inquiry(
        &mut self,
        waiter: WaiterId,
        id: &Id,
        epoch: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.read_row_if_behind(epoch, now, actions);
        actions.push(Action::AnswerInquiry {
            waiter,
            findings: Findings {
                holds: self.key_by_job_id.contains_key(id),
                epoch: self.row.epoch,
                clear: self.cleared_epoch(id),
            },
        });
    }

    /// Keeps the answer of a previous coordinator and retries the requests that wait for it. Of
    /// several "no record" answers the one with the latest epoch counts, since they may arrive out
    /// of order.
    pub(super) fn handle_inquiry_answer(
        &mut self,
        member: &Member,
        id: &Id,
        findings: Findings,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(inquiry) = self.inquiries.get_mut(id) else {
            return;
        };
        inquiry.cleared_epoch = inquiry.cleared_epoch.max(findings.clear);
        let target = inquiry.target_mut(member, now.mono);
        target.state = match (findings.holds, target.state) {
            (true, _) => InquiryState::HasRecord,
            (false, InquiryState::NoRecord(at)) => InquiryState::NoRecord(at.max(findings.epoch)),
            (false, _) => InquiryState::NoRecord(findings.epoch),
        };
        self.read_row_if_behind(findings.epoch, now, actions);
        self.make_parked_due_for(id, now);
    }

    /// Records that a previous coordinator did not answer, unless it has answered before.
    pub(super) fn handle_inquiry_loss(&mut self, member: &Member, id: &Id, now: Now) {
        let Some(inquiry) = self.inquiries.get_mut(id) else {
            return;
        };
        let target = inquiry.target_mut(member, now.mono);
        if target.state == InquiryState::Pending {
            target.state = InquiryState::Unreachable;
            self.make_parked_due_for(id, now);
        }
    }

    pub(super) fn expire_inquiries(&mut self, now: Now) {
        self.inquiries
            .retain(|_id, inquiry| now.mono < inquiry.expires_at);
    }

    /// Returns whether the member is this process, with this incarnation.
    pub(super) fn is_this_process(&self, member: &Member) -> bool {
        member.name == self.me.name && member.incarnation == self.me.incarnation
    }
}

impl Inquiry {
    /// Returns the state of the inquiry to `member`, which is pending at first.
    fn target_mut(&mut self, member: &Member, now: Monotonic) -> &mut InquiryTarget {
        let at = self
            .targets
            .iter()
            .position(|target| target.member == *member);
        let at = at.unwrap_or_else(|| {
            self.targets.push(InquiryTarget {
                member: member.clone(),
                state: InquiryState::Pending,
                next_send: now,
            });
            self.targets.len() - 1
        });
        &mut self.targets[at]
    }
}

/// Answer of an entry to an inquiry about an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Findings {
    /// Whether the entry has a record of the id.
    pub holds: bool,
    /// Epoch of the entry. If it has no record, it never accepts the id under an earlier epoch.
    pub epoch: u64,
    /// Highest epoch up to which no entry can have accepted the id, 0 if the answering entry
    /// knows of none.
    pub clear: u64,
}

/// Wall time at which the leases of each earlier epoch were first known to have lapsed, by epoch.
pub(super) type LapseTimes = std::collections::BTreeMap<u64, Wall>;

fn history_lost_refusal() -> Refusal {
    Refusal::new(
        Reason::HistoryLost,
        Ran::Unknown,
        "the job's previous coordinator is gone; check whether its work was done before you submit it under a new id",
    )
}

/// Returns the refusal of a request that cannot be parked because too many are.
pub(super) fn too_many_parked_refusal() -> Refusal {
    Refusal::new(
        Reason::TableFull,
        Ran::Unknown,
        "too many requests wait for a coordinator; send the same id again later",
    )
    .with_retry_after_ms(1_000)
}
