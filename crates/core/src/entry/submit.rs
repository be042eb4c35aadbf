//! Acceptance of jobs: routing to the coordinator, joining, admission.

use std::hash::Hasher;

use bytes::Bytes;
use rand::Rng;
use slotmap::new_key_type;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use super::{Action, Entry, Origin, Question, Step, StepKind, Waiter};
use crate::control::Member;
use crate::job::{Answer, Id, Spec};
use crate::placement;
use crate::refusal::{Ran, Reason, Refusal};
use crate::rendezvous;
use crate::time::{Monotonic, Now};

new_key_type! {
    /// Key of a job's record.
    pub struct Key;
}

/// Draws of an id before one that another entry coordinates is taken.
const ID_DRAWS: u32 = 1_000;

/// Draws of an id before one that an earlier coordinator must be asked about is taken.
const UNMOVED_DRAWS: u32 = 100;

/// Steps kept of one job's trace.
const TRACE_STEPS: usize = 2_048;

/// State of one task at its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for an agent; the number of attempts made so far.
    Queued {
        /// Attempts that ended with a definite "not started".
        attempts: u32,
    },
    /// Sent to an agent.
    Dispatched {
        /// The agent.
        agent: placement::Key,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ended with an output.
    Done(Bytes),
}

/// Record of a job at its coordinator, kept for the window after its creation.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job; its inputs are dropped at the end.
    pub spec: Spec,
    /// Digest of kind and inputs, to tell a resubmission from a reused id.
    pub digest: u64,
    /// State of each task; empty after the end.
    pub tasks: Vec<TaskState>,
    /// Tasks that have not ended with an output.
    pub open: u32,
    /// When the job times out.
    pub deadline: Monotonic,
    /// Who waits for the answer.
    pub waiters: SmallVec<[Waiter; 2]>,
    /// Whether a task is known to have started.
    pub started: bool,
    /// The end, once it has come.
    pub answer: Option<Answer>,
    /// What happened.
    pub trace: Vec<Step>,
}

impl Job {
    /// Returns whether the job has its answer.
    pub fn is_ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Adds a step to the trace, up to the bound.
    pub(super) fn note(&mut self, now: Now, kind: StepKind) {
        if self.trace.len() < TRACE_STEPS {
            self.trace.push(Step { at: now.wall, kind });
        }
    }
}

/// Whether this entry may start a job that it does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may.
    Start,
    /// Not yet: ask again later.
    Wait,
    /// It may not: a previous coordinator has the record.
    Forward(Member),
    /// It may not.
    Refuse(Refusal),
}

impl Entry {
    pub(super) fn submit(
        &mut self,
        waiter: Waiter,
        mut spec: Spec,
        origin: Origin,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if origin == Origin::NewId {
            spec.id = self.draw_id(now);
        }
        if let Err(refusal) = self.check_created(&spec.id, now) {
            return answer(waiter, spec.id, Answer::Refused(refusal), actions);
        }
        let forwarded = origin == Origin::Forwarded;
        self.ask(waiter, Question::Submit(spec), forwarded, now, actions);
    }

    /// Draws an id that this entry coordinates, so that the job needs no forward hop, and that it
    /// coordinated before, so that the job need not wait for a takeover.
    fn draw_id(&mut self, now: Now) -> Id {
        let mut id = Id::new(now.wall, self.rng.random());
        for draw in 0..ID_DRAWS {
            let coordinator = rendezvous::coordinator(&self.row.members, &id);
            let mine = coordinator.is_none_or(|member| self.is_me(member));
            if mine && (draw >= UNMOVED_DRAWS || self.is_unmoved(&id)) {
                break;
            }
            id = Id::new(now.wall, self.rng.random());
        }
        id
    }

    /// Answers a question here or passes it on to the job's coordinator.
    pub(super) fn ask(
        &mut self,
        waiter: Waiter,
        question: Question,
        forwarded: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let id = question.id();
        if self.by_id.contains_key(&id) {
            return self.answer_here(waiter, question, now, actions);
        }
        let Some(coordinator) = rendezvous::coordinator(&self.row.members, &id) else {
            return answer(waiter, id, Answer::Refused(no_lease()), actions);
        };
        if self.is_me(coordinator) {
            return self.answer_here(waiter, question, now, actions);
        }
        if forwarded {
            return actions.push(Action::Misdirected { waiter });
        }
        let to = coordinator.clone();
        self.forward(waiter, to, question, actions);
    }

    fn forward(
        &mut self,
        waiter: Waiter,
        to: Member,
        question: Question,
        actions: &mut Vec<Action>,
    ) {
        self.forwards.insert(waiter, question.clone());
        actions.push(Action::Forward {
            waiter,
            to,
            question,
        });
    }

    /// Tries again after the entry that a question was forwarded to did not answer it.
    pub(super) fn forward_lost(&mut self, waiter: Waiter, now: Now, actions: &mut Vec<Action>) {
        if let Some(question) = self.forwards.remove(&waiter) {
            self.inquiries.remove(&question.id());
            self.park(waiter, question, now, actions);
        }
    }

    fn answer_here(
        &mut self,
        waiter: Waiter,
        question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.by_id.get(&question.id()).copied() {
            return self.answer_known(waiter, key, question, now, actions);
        }
        let admission = match &question {
            Question::Submit(_) | Question::Cancel(_) => self.admit(&question.id(), now, actions),
            Question::Get(id) | Question::Trace(id) => self.locate(id, now, actions),
        };
        match admission {
            Admission::Refuse(refusal) => {
                answer(waiter, question.id(), Answer::Refused(refusal), actions);
            }
            Admission::Wait => self.park(waiter, question, now, actions),
            Admission::Forward(holder) => self.forward(waiter, holder, question, actions),
            Admission::Start => self.answer_unknown(waiter, question, now, actions),
        }
    }

    /// Answers a question about a job that this entry has a record of.
    fn answer_known(
        &mut self,
        waiter: Waiter,
        key: Key,
        question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match question {
            Question::Submit(spec) => self.join(waiter, key, &spec, now, actions),
            Question::Get(id) => self.wait_for(waiter, key, id, actions),
            Question::Cancel(id) => {
                self.cancel(key, now, actions);
                self.wait_for(waiter, key, id, actions);
            }
            Question::Trace(id) => {
                let steps = self.jobs[key].trace.clone();
                actions.push(Action::Traced { waiter, id, steps });
            }
        }
    }

    /// Answers a question about a job that no entry has a record of.
    fn answer_unknown(
        &mut self,
        waiter: Waiter,
        question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match question {
            Question::Submit(spec) => match self.check_spec(&spec) {
                Ok(()) => self.accept(waiter, spec, now),
                Err(refusal) => self.tombstone(waiter, spec.id, refusal, now, actions),
            },
            Question::Get(id) | Question::Trace(id) => {
                answer(waiter, id, Answer::Refused(not_found()), actions);
            }
            Question::Cancel(id) => {
                let refusal = Refusal::new(
                    Reason::Cancelled,
                    Ran::No,
                    "the job was cancelled before it was submitted; submit a new id to run it",
                );
                self.tombstone(waiter, id, refusal, now, actions);
            }
        }
    }

    fn join(&mut self, waiter: Waiter, key: Key, spec: &Spec, now: Now, actions: &mut Vec<Action>) {
        let job = &mut self.jobs[key];
        let reused = job.digest != 0 && job.digest != digest(spec);
        if reused {
            let refusal = Refusal::new(
                Reason::IdReused,
                Ran::Unknown,
                "this id was used for another kind or other inputs; make a new id for a new job",
            );
            return answer(waiter, spec.id, Answer::Refused(refusal), actions);
        }
        job.note(now, StepKind::Joined);
        self.wait_for(waiter, key, spec.id, actions);
    }

    fn wait_for(&mut self, waiter: Waiter, key: Key, id: Id, actions: &mut Vec<Action>) {
        let job = &mut self.jobs[key];
        match &job.answer {
            Some(end) => answer(waiter, id, end.clone(), actions),
            None if job.waiters.len() >= self.bounds.max_waiters_per_job => {
                let refusal = Refusal::new(
                    Reason::TableFull,
                    self.ran_so_far(key),
                    "too many callers wait for this job; send the same id again later",
                )
                .with_retry_after_ms(1_000);
                answer(waiter, id, Answer::Refused(refusal), actions);
            }
            None => job.waiters.push(waiter),
        }
    }

    /// Returns what can be said of a running job; that nothing ran can only be said at its end.
    fn ran_so_far(&self, key: Key) -> Ran {
        if self.jobs[key].started {
            Ran::Yes
        } else {
            Ran::Unknown
        }
    }

    fn cancel(&mut self, key: Key, now: Now, actions: &mut Vec<Action>) {
        if self.jobs[key].is_ended() {
            return;
        }
        let refusal = Refusal::new(
            Reason::Cancelled,
            self.ran(key),
            "the job was cancelled; submit a new id to run it",
        );
        self.finish(key, Answer::Refused(refusal), now, actions);
    }

    /// Refuses ids whose creation time does not lie within the window.
    pub(super) fn check_created(&self, id: &Id, now: Now) -> Result<(), Refusal> {
        let created = id.created();
        if created > now.wall.plus(self.timing.max_id_time_ahead) {
            return Err(Refusal::new(
                Reason::IdFromFuture,
                Ran::Unknown,
                "the id's creation time lies ahead of this entry's clock; set the caller's clock and make a new id",
            ));
        }
        if now.wall.since(created) > self.timing.retention_window {
            return Err(Refusal::new(
                Reason::IdTooOld,
                Ran::Unknown,
                "the id is older than the window in which jobs are remembered; make a new id if the work may run again",
            ));
        }
        Ok(())
    }

    fn check_spec(&self, spec: &Spec) -> Result<(), Refusal> {
        let refuse = |reason, detail: String| Err(Refusal::new(reason, Ran::No, detail));
        let Some(kind) = self.catalogue.kind(&spec.kind) else {
            return refuse(
                Reason::UnknownKind,
                format!(
                    "the catalogue has no kind `{}`; see `ibisspool catalogue list`",
                    spec.kind
                ),
            );
        };
        let most = kind
            .max_tasks
            .map_or(self.bounds.max_tasks_per_job, |most| most as usize);
        if spec.inputs.len() > most {
            return refuse(
                Reason::TooLarge,
                format!(
                    "the job has {} tasks; `{}` allows {most}",
                    spec.inputs.len(),
                    spec.kind
                ),
            );
        }
        let most = kind
            .max_input_bytes
            .map_or(self.bounds.max_input_bytes, |most| most as usize);
        if let Some(index) = spec.inputs.iter().position(|input| input.len() > most) {
            return refuse(
                Reason::TooLarge,
                format!(
                    "the input of task {index} is over the {most} bytes that `{}` allows",
                    spec.kind
                ),
            );
        }
        if spec.timeout.is_zero() || spec.timeout.as_millis() > u128::from(kind.max_timeout_ms) {
            return refuse(
                Reason::TimeoutOutOfRange,
                format!(
                    "timeout_ms must be 1 to {} for `{}`",
                    kind.max_timeout_ms, spec.kind
                ),
            );
        }
        if !self
            .fleet
            .serves(&spec.kind, |agent| self.in_service(agent))
        {
            return Err(Refusal::new(
                Reason::NoBackend,
                Ran::No,
                format!(
                    "no backend server in service announces the kind `{}`; try a new id later",
                    spec.kind
                ),
            )
            .with_retry_after_ms(1_000));
        }
        if self.queue.len() + spec.inputs.len() > self.bounds.max_queued_tasks {
            return Err(Refusal::new(
                Reason::QueueFull,
                Ran::No,
                "the queue of this entry is full; send a new id later",
            )
            .with_retry_after_ms(1_000));
        }
        self.check_load(spec)
    }

    fn accept(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        let step = StepKind::Accepted {
            entry: self.me.name.clone(),
            epoch: self.row.epoch,
            tasks: spec.inputs.len() as u32,
        };
        let deadline = now.mono.plus(spec.timeout);
        let id = spec.id;
        let mut job = Job {
            digest: digest(&spec),
            tasks: vec![TaskState::Queued { attempts: 0 }; spec.inputs.len()],
            open: spec.inputs.len() as u32,
            deadline,
            waiters: SmallVec::from_slice(&[waiter]),
            started: false,
            answer: None,
            trace: Vec::new(),
            spec,
        };
        job.note(now, step);
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.deadlines.insert((deadline, key));
        self.enqueue(key, now);
    }

    /// Remembers that nothing of the id ever starts, and says so.
    fn tombstone(
        &mut self,
        waiter: Waiter,
        id: Id,
        refusal: Refusal,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let answer_now = Answer::Refused(refusal);
        let spec = Spec {
            id,
            kind: String::new(),
            inputs: Vec::new(),
            timeout: std::time::Duration::ZERO,
            idempotent: false,
        };
        let mut job = Job {
            spec,
            digest: 0,
            tasks: Vec::new(),
            open: 0,
            deadline: now.mono,
            waiters: SmallVec::new(),
            started: false,
            answer: Some(answer_now.clone()),
            trace: Vec::new(),
        };
        if let Answer::Refused(refusal) = &answer_now {
            job.note(now, StepKind::refused(refusal));
        }
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.expire_later(key, now);
        answer(waiter, id, answer_now, actions);
    }
}

/// Answers a caller.
pub(super) fn answer(waiter: Waiter, id: Id, answer: Answer, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { waiter, id, answer });
}

fn not_found() -> Refusal {
    Refusal::new(
        Reason::NotFound,
        Ran::Unknown,
        "the coordinator knows no job of this id; it was never submitted or was forgotten after the window",
    )
}

pub(super) fn no_lease() -> Refusal {
    Refusal::new(
        Reason::NoLease,
        Ran::Unknown,
        "this entry cannot confirm its lease; send the same id again, best to another entry",
    )
    .with_retry_after_ms(1_000)
}

/// Returns a digest of what the job asks for; never 0, which marks a tombstone.
fn digest(spec: &Spec) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.write(spec.kind.as_bytes());
    for input in &spec.inputs {
        hasher.write_u64(input.len() as u64);
        hasher.write(input);
    }
    hasher.finish().max(1)
}
