//! Hand-over of ids whose coordinator changed.
//!
//! A coordinator without a record of an id asks every previous coordinator that may have
//! accepted it. The promise that it gets is an epoch: an entry that answers "no record" at epoch
//! `a` never accepts the id under an epoch below `a`, because its epoch never falls. The answer
//! therefore counts exactly if `a` is above the last epoch in which that entry coordinated the
//! id, however late or often it arrives, and the previous coordinator keeps nothing for it.

use smallvec::SmallVec;

use super::submit::{Admission, no_lease};
use super::{Action, Entry, Waiter};
use crate::control::Member;
use crate::job::{Answer, Id};
use crate::refusal::{Ran, Reason, Refusal};
use crate::rendezvous;
use crate::time::{Monotonic, Now, Wall};

/// How long the findings about an id are kept.
const KEEP: std::time::Duration = std::time::Duration::from_secs(5);

/// Time after which an inquiry without a final answer is sent again.
const ASK_AGAIN: std::time::Duration = std::time::Duration::from_millis(100);

/// What a previous coordinator is known to have said about an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// Nothing yet.
    Open,
    /// It had no record of the id when it was at this epoch.
    Released(u64),
    /// It has a record of the id.
    Holds,
    /// The incarnation did not answer.
    Lost,
}

#[derive(Debug, Clone)]
struct Asked {
    member: Member,
    finding: Finding,
    next: Monotonic,
}

/// What is known about one id that may have been accepted elsewhere.
#[derive(Debug, Clone)]
pub(super) struct Inquiry {
    asked: SmallVec<[Asked; 2]>,
    /// Highest epoch in or below which nobody can have accepted the id.
    clear: u64,
    until: Monotonic,
}

impl Entry {
    /// Decides whether this entry may start an id that it has no record of.
    pub(super) fn admit(&mut self, id: &Id, now: Now, actions: &mut Vec<Action>) -> Admission {
        if let Err(refusal) = self.check_created(id, now) {
            return Admission::Refuse(refusal);
        }
        if !self.may_decide(now) {
            return Admission::Refuse(no_lease());
        }
        if self.catalogue_version != self.row.catalogue {
            return Admission::Wait;
        }
        if id.created() > now.wall.plus(self.timing.max_clock_difference) {
            return Admission::Wait;
        }
        if self.by_id.len() >= self.bounds.max_jobs {
            return Admission::Refuse(Refusal::new(
                Reason::TableFull,
                Ran::Unknown,
                "the table of remembered jobs is full; send the same id again later",
            ));
        }
        self.locate(id, now, actions)
    }

    /// Decides who may have a record of an id that this entry coordinates and does not know.
    pub(super) fn locate(&mut self, id: &Id, now: Now, actions: &mut Vec<Action>) -> Admission {
        if !self.may_decide(now) {
            return Admission::Refuse(no_lease());
        }
        let known = self.inquiries.get(id).map_or(0, |inquiry| inquiry.clear);
        let clear = known.max(self.clear_epoch(id));
        let previous = self.previous_coordinators(id, clear);
        if previous.is_empty() {
            return Admission::Start;
        }
        self.verdict(id, &previous, now, actions)
    }

    /// Weighs what the previous coordinators said, and asks those who have not answered.
    fn verdict(
        &mut self,
        id: &Id,
        previous: &[(Member, u64)],
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Admission {
        if self.inquiries.len() >= self.bounds.max_waiters && !self.inquiries.contains_key(id) {
            return Admission::Refuse(too_many());
        }
        let inquiry = self.inquiries.entry(*id).or_insert_with(|| Inquiry {
            asked: SmallVec::new(),
            clear: 0,
            until: now.mono.plus(KEEP),
        });
        let (mut open, mut lost) = (false, false);
        for (member, epoch) in previous {
            let asked = inquiry.about(member, now.mono);
            match asked.finding {
                Finding::Holds => return Admission::Forward(member.clone()),
                Finding::Released(at) if at > *epoch => continue,
                Finding::Lost if !self.row.members.contains(member) => {
                    lost = true;
                    continue;
                }
                _ => open = true,
            }
            if now.mono >= asked.next {
                asked.next = now.mono.plus(ASK_AGAIN);
                actions.push(Action::Inquire {
                    to: member.clone(),
                    id: *id,
                    epoch: self.row.epoch,
                });
            }
        }
        match (open, lost) {
            (true, _) => Admission::Wait,
            (false, true) => Admission::Refuse(history_lost()),
            (false, false) => Admission::Start,
        }
    }

    /// Returns the other entries that may have accepted the id in an epoch above `clear`, each
    /// with the last such epoch.
    fn previous_coordinators(&self, id: &Id, clear: u64) -> SmallVec<[(Member, u64); 2]> {
        let mut previous: SmallVec<[(Member, u64); 2]> = SmallVec::new();
        for past in self.row.past.iter().filter(|past| past.epoch > clear) {
            let Some(member) = rendezvous::coordinator(&past.members, id) else {
                continue;
            };
            if self.is_me(member) {
                continue;
            }
            match previous.iter_mut().find(|(known, _epoch)| known == member) {
                Some((_member, epoch)) => *epoch = past.epoch.max(*epoch),
                None => previous.push((member.clone(), past.epoch)),
            }
        }
        previous
    }

    /// Returns whether this entry may start an id of its own without asking or waiting.
    pub(super) fn is_unmoved(&self, id: &Id) -> bool {
        self.previous_coordinators(id, self.clear_epoch(id))
            .is_empty()
    }

    /// Returns the highest past epoch in or below which nobody can have accepted the id, because
    /// it was made after that epoch's leases had lapsed by every clock.
    fn clear_epoch(&self, id: &Id) -> u64 {
        let barrier = self.timing.max_clock_difference * 2;
        self.in_force
            .iter()
            .rev()
            .find(|(_epoch, at)| id.created() > at.plus(barrier))
            .map_or(0, |(epoch, _at)| *epoch)
    }

    /// Drops the earlier epochs whose leases have lapsed, and notes when that was.
    pub(super) fn settle_takeover(&mut self, now: Now) {
        if self.takeover.drop_lapsed_epochs(&self.timing, now.mono) {
            self.note_lapsed(now);
        }
    }

    /// Takes over what another entry knows of earlier epochs. An entry that joined after several
    /// replacements could not learn it by itself: the members of those epochs are gone.
    pub(super) fn lapsed(&mut self, below: u64, now: Now) {
        if self.takeover.apply_lapsed_below(below) {
            self.note_lapsed(now);
        }
    }

    fn note_lapsed(&mut self, now: Now) {
        let lowest = self
            .takeover
            .rows_with_possible_leases()
            .map(|row| row.epoch)
            .min();
        for past in &self.row.past {
            if lowest.is_none_or(|lowest| past.epoch < lowest) {
                self.in_force.entry(past.epoch).or_insert(now.wall);
            }
        }
        let past = &self.row.past;
        self.in_force
            .retain(|epoch, _at| past.iter().any(|past| past.epoch == *epoch));
        self.wake_parked(now);
    }

    /// Weakens "nothing ran" to "unknown" unless this entry holds a lease.
    pub(super) fn without_lease(&self, answer: Answer, now: Now) -> Answer {
        match answer {
            Answer::Refused(mut refusal) if refusal.ran == Ran::No && !self.may_decide(now) => {
                refusal.ran = Ran::Unknown;
                Answer::Refused(refusal)
            }
            other => other,
        }
    }

    /// Answers another entry that asks for a record of an id.
    pub(super) fn inquired(
        &mut self,
        waiter: Waiter,
        id: &Id,
        epoch: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.hear_epoch(epoch, now, actions);
        actions.push(Action::AnswerInquiry {
            waiter,
            findings: Findings {
                holds: self.by_id.contains_key(id),
                epoch: self.row.epoch,
                clear: self.clear_epoch(id),
            },
        });
    }

    pub(super) fn inquiry_answered(
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
        inquiry.clear = inquiry.clear.max(findings.clear);
        let asked = inquiry.about(member, now.mono);
        asked.finding = match (findings.holds, asked.finding) {
            (true, _) => Finding::Holds,
            (false, Finding::Released(at)) => Finding::Released(at.max(findings.epoch)),
            (false, _) => Finding::Released(findings.epoch),
        };
        self.hear_epoch(findings.epoch, now, actions);
        self.wake_parked_of(id, now);
    }

    pub(super) fn inquiry_lost(&mut self, member: &Member, id: &Id, now: Now) {
        let Some(inquiry) = self.inquiries.get_mut(id) else {
            return;
        };
        let asked = inquiry.about(member, now.mono);
        if asked.finding == Finding::Open {
            asked.finding = Finding::Lost;
            self.wake_parked_of(id, now);
        }
    }

    pub(super) fn expire_inquiries(&mut self, now: Now) {
        self.inquiries
            .retain(|_id, inquiry| now.mono < inquiry.until);
    }

    /// Returns whether the member is this very process.
    pub(super) fn is_me(&self, member: &Member) -> bool {
        member.name == self.me.name && member.incarnation == self.me.incarnation
    }
}

impl Inquiry {
    fn about(&mut self, member: &Member, now: Monotonic) -> &mut Asked {
        let at = self.asked.iter().position(|asked| asked.member == *member);
        let at = at.unwrap_or_else(|| {
            self.asked.push(Asked {
                member: member.clone(),
                finding: Finding::Open,
                next: now,
            });
            self.asked.len() - 1
        });
        &mut self.asked[at]
    }
}

/// What an entry says about an id that another entry asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Findings {
    /// Whether it has a record of the id.
    pub holds: bool,
    /// Its epoch; without a record it never accepts the id under a lower one.
    pub epoch: u64,
    /// Epoch in or below which nobody can have accepted the id, 0 if it knows of none.
    pub clear: u64,
}

/// Wall time at which each earlier set of members could hold no lease any more, by its epoch.
pub(super) type InForce = std::collections::BTreeMap<u64, Wall>;

fn history_lost() -> Refusal {
    Refusal::new(
        Reason::HistoryLost,
        Ran::Unknown,
        "the job's previous coordinator is gone; check whether its work was done before you send a new id",
    )
}

/// Returns the refusal of a question that cannot wait because too many do.
pub(super) fn too_many() -> Refusal {
    Refusal::new(
        Reason::TableFull,
        Ran::Unknown,
        "too many questions wait for a coordinator; send the same id again later",
    )
    .with_retry_after_ms(1_000)
}
