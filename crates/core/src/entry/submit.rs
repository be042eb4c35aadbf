//! Requests about jobs: routing to the coordinator, and submission, waiting, cancelling and traces
//! there.

use std::hash::Hasher;

use bytes::Bytes;
use rand::Rng;
use slotmap::new_key_type;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use super::{Action, Entry, JobRequest, Origin, Step, StepKind, WaiterId};
use crate::control::Member;
use crate::job::{Answer, Id, Spec};
use crate::placement;
use crate::refusal::{Ran, Reason, Refusal};
use crate::rendezvous;
use crate::time::{Monotonic, Now};

new_key_type! {
    /// Key of a job's record at its coordinator.
    pub struct JobKey;
}

/// Random ids that are tried before one that another entry coordinates is accepted.
const MAX_ID_DRAWS: u32 = 1_000;

/// Random ids that are tried before one that had another coordinator in an earlier epoch is
/// accepted. That coordinator has to be asked whether it has a record of the id.
const MAX_UNMOVED_ID_DRAWS: u32 = 100;

/// Most steps in the trace of one job; later steps are dropped.
const MAX_TRACE_STEPS: usize = 2_048;

/// State of a task at the coordinator of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits for an agent.
    Queued {
        /// Attempts so far. They ended as "not started" or, in an idempotent job, failed.
        attempts: u32,
    },
    /// The task was sent to an agent, which has not reported an outcome yet.
    Dispatched {
        /// The agent.
        agent: placement::AgentKey,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The task ended with an output.
    Done(Bytes),
}

/// Record of a job at its coordinator. A record without a kind is a tombstone: the id was refused
/// or cancelled before it was accepted, and never runs.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// The job as submitted; the inputs are dropped when the job ends.
    pub spec: Spec,
    /// Digest of kind and inputs, which tells a repeated submission from a reused id; 0 in a
    /// tombstone.
    pub digest: u64,
    /// State of each task; empty after the job has ended.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that have not ended with an output.
    pub unfinished_tasks: u32,
    /// When the job times out.
    pub deadline: Monotonic,
    /// Requests that wait for the answer.
    pub waiters: SmallVec<[WaiterId; 2]>,
    /// Whether a task is known to have started.
    pub started: bool,
    /// The answer, once the job has ended.
    pub answer: Option<Answer>,
    /// What happened to the job, oldest step first.
    pub trace: Vec<Step>,
}

impl JobRecord {
    /// Returns whether the job has ended and has its answer.
    pub fn is_ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Adds a step to the trace unless it is full.
    pub(super) fn record_step(&mut self, now: Now, kind: StepKind) {
        if self.trace.len() < MAX_TRACE_STEPS {
            self.trace.push(Step { at: now.wall, kind });
        }
    }
}

/// Decision on a request about an id that this entry coordinates and has no record of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Admission {
    /// No entry has a record of the id, so this entry may accept it.
    Unrecorded,
    /// Nothing can be said yet; the request has to be retried.
    Wait,
    /// A previous coordinator has the record and gets the request.
    Forward(Member),
    /// The request is refused.
    Refuse(Refusal),
}

impl Entry {
    /// Handles a submitted job: checks or creates its id and routes the job to its coordinator.
    pub(super) fn submit(
        &mut self,
        waiter: WaiterId,
        mut spec: Spec,
        origin: Origin,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if origin == Origin::NewId {
            spec.id = self.generate_id(now);
        }
        if let Err(refusal) = self.check_id_age(&spec.id, now) {
            return push_answer(waiter, spec.id, Answer::Refused(refusal), actions);
        }
        let forwarded = origin == Origin::Forwarded;
        self.route_request(waiter, JobRequest::Submit(spec), forwarded, now, actions);
    }

    /// Returns a random id that this entry coordinates, which saves forwarding the job, and that no
    /// other entry coordinated in earlier epochs, which saves asking the previous coordinators.
    /// Both are best effort.
    fn generate_id(&mut self, now: Now) -> Id {
        let mut id = Id::new(now.wall, self.rng.random());
        for draw in 0..MAX_ID_DRAWS {
            let coordinator = rendezvous::coordinator(&self.row.members, &id);
            let is_own = coordinator.is_none_or(|member| self.is_this_process(member));
            if is_own && (draw >= MAX_UNMOVED_ID_DRAWS || self.has_no_previous_coordinator(&id)) {
                break;
            }
            id = Id::new(now.wall, self.rng.random());
        }
        id
    }

    /// Handles a request here if this entry has a record of the job or coordinates it, and
    /// forwards it to the coordinator otherwise. A request that was forwarded once is not forwarded
    /// again, so that entries with different control rows cannot pass it around.
    pub(super) fn route_request(
        &mut self,
        waiter: WaiterId,
        request: JobRequest,
        forwarded: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id();
        if self.key_by_job_id.contains_key(&id) {
            return self.handle_locally(waiter, request, now, actions);
        }
        let Some(coordinator) = rendezvous::coordinator(&self.row.members, &id) else {
            return push_answer(waiter, id, Answer::Refused(no_lease_refusal()), actions);
        };
        if self.is_this_process(coordinator) {
            return self.handle_locally(waiter, request, now, actions);
        }
        if forwarded {
            return actions.push(Action::RejectMisdirected { waiter });
        }
        let to = coordinator.clone();
        self.forward_request(waiter, to, request, actions);
    }

    /// Forwards a request, and keeps it in case the other entry does not answer.
    fn forward_request(
        &mut self,
        waiter: WaiterId,
        to: Member,
        request: JobRequest,
        actions: &mut Vec<Action>,
    ) {
        self.forwarded_requests.insert(waiter, request.clone());
        actions.push(Action::Forward {
            waiter,
            to,
            question: request,
        });
    }

    /// Parks a forwarded request for a retry because the other entry did not answer it. Findings
    /// about the id are dropped: they may be why the request went to that entry.
    pub(super) fn handle_lost_forward(
        &mut self,
        waiter: WaiterId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.forwarded_requests.remove(&waiter) {
            self.inquiries.remove(&request.id());
            self.park_request(waiter, request, now, actions);
        }
    }

    /// Handles a request about a job that this entry coordinates or has a record of.
    fn handle_locally(
        &mut self,
        waiter: WaiterId,
        request: JobRequest,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.key_by_job_id.get(&request.id()).copied() {
            return self.handle_recorded(waiter, key, request, now, actions);
        }
        let admission = match &request {
            JobRequest::Submit(_) | JobRequest::Cancel(_) => {
                self.admit(&request.id(), now, actions)
            }
            JobRequest::Get(id) | JobRequest::Trace(id) => self.locate_record(id, now, actions),
        };
        match admission {
            Admission::Refuse(refusal) => {
                push_answer(waiter, request.id(), Answer::Refused(refusal), actions);
            }
            Admission::Wait => self.park_request(waiter, request, now, actions),
            Admission::Forward(holder) => self.forward_request(waiter, holder, request, actions),
            Admission::Unrecorded => self.handle_unrecorded(waiter, request, now, actions),
        }
    }

    /// Handles a request about a job that this entry has a record of.
    fn handle_recorded(
        &mut self,
        waiter: WaiterId,
        key: JobKey,
        request: JobRequest,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match request {
            JobRequest::Submit(spec) => self.join_job(waiter, key, &spec, now, actions),
            JobRequest::Get(id) => self.add_waiter(waiter, key, id, actions),
            JobRequest::Cancel(id) => {
                self.cancel_job(key, now, actions);
                self.add_waiter(waiter, key, id, actions);
            }
            JobRequest::Trace(id) => {
                let steps = self.jobs[key].trace.clone();
                actions.push(Action::AnswerTrace { waiter, id, steps });
            }
        }
    }

    /// Handles a request about a job that no entry has a record of.
    fn handle_unrecorded(
        &mut self,
        waiter: WaiterId,
        request: JobRequest,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match request {
            JobRequest::Submit(spec) => match self.check_spec(&spec) {
                Ok(()) => self.accept_job(waiter, spec, now),
                Err(refusal) => self.record_tombstone(waiter, spec.id, refusal, now, actions),
            },
            JobRequest::Get(id) | JobRequest::Trace(id) => {
                push_answer(waiter, id, Answer::Refused(not_found_refusal()), actions);
            }
            JobRequest::Cancel(id) => {
                let refusal = Refusal::new(
                    Reason::Cancelled,
                    Ran::No,
                    "the job was cancelled before it was submitted; submit it under a new id to run it",
                );
                self.record_tombstone(waiter, id, refusal, now, actions);
            }
        }
    }

    /// Handles the submission of an id that is recorded already: the request waits for the result
    /// of the recorded job, unless the id was used for a different job.
    fn join_job(
        &mut self,
        waiter: WaiterId,
        key: JobKey,
        spec: &Spec,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let job = &mut self.jobs[key];
        let is_reused = job.digest != 0 && job.digest != job_digest(spec);
        if is_reused {
            let refusal = Refusal::new(
                Reason::IdReused,
                Ran::Unknown,
                "this id was used for a job of another kind or with other inputs; use a new id for a new job",
            );
            return push_answer(waiter, spec.id, Answer::Refused(refusal), actions);
        }
        job.record_step(now, StepKind::Joined);
        self.add_waiter(waiter, key, spec.id, actions);
    }

    /// Answers a request with the result of a job, now or when the job ends.
    fn add_waiter(&mut self, waiter: WaiterId, key: JobKey, id: Id, actions: &mut Vec<Action>) {
        let job = &mut self.jobs[key];
        match &job.answer {
            Some(ended) => push_answer(waiter, id, ended.clone(), actions),
            None if job.waiters.len() >= self.bounds.max_waiters_per_job => {
                let refusal = Refusal::new(
                    Reason::TableFull,
                    self.ran_so_far(key),
                    "too many callers wait for this job; send the same id again later",
                )
                .with_retry_after_ms(1_000);
                push_answer(waiter, id, Answer::Refused(refusal), actions);
            }
            None => job.waiters.push(waiter),
        }
    }

    /// Returns whether any task of an unfinished job ran. "No" is never the answer, since a task
    /// may still start.
    fn ran_so_far(&self, key: JobKey) -> Ran {
        if self.jobs[key].started {
            Ran::Yes
        } else {
            Ran::Unknown
        }
    }

    fn cancel_job(&mut self, key: JobKey, now: Now, actions: &mut Vec<Action>) {
        if self.jobs[key].is_ended() {
            return;
        }
        let refusal = Refusal::new(
            Reason::Cancelled,
            self.ran_at_end(key),
            "the job was cancelled; submit it under a new id to run it",
        );
        self.finish_job(key, Answer::Refused(refusal), now, actions);
    }

    /// Refuses an id whose creation time lies too far in the future or is older than the window
    /// in which jobs are remembered.
    pub(super) fn check_id_age(&self, id: &Id, now: Now) -> Result<(), Refusal> {
        let created = id.created();
        if created > now.wall.plus(self.timing.max_id_time_ahead) {
            return Err(Refusal::new(
                Reason::IdFromFuture,
                Ran::Unknown,
                "the id's creation time is ahead of this entry's clock; correct the caller's clock and use a new id",
            ));
        }
        if now.wall.since(created) > self.timing.retention_window {
            return Err(Refusal::new(
                Reason::IdTooOld,
                Ran::Unknown,
                "the id is older than the window in which jobs are remembered; use a new id if the work may run again",
            ));
        }
        Ok(())
    }

    /// Refuses a job that the catalogue, the bounds of this entry or the load do not allow.
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
        let max_tasks = kind
            .max_tasks
            .map_or(self.bounds.max_tasks_per_job, |limit| limit as usize);
        if spec.inputs.len() > max_tasks {
            return refuse(
                Reason::TooLarge,
                format!(
                    "the job has {} tasks; kind `{}` allows at most {max_tasks}; split the job",
                    spec.inputs.len(),
                    spec.kind
                ),
            );
        }
        let max_input_bytes = kind
            .max_input_bytes
            .map_or(self.bounds.max_input_bytes, |limit| limit as usize);
        if let Some(index) = spec
            .inputs
            .iter()
            .position(|input| input.len() > max_input_bytes)
        {
            return refuse(
                Reason::TooLarge,
                format!(
                    "the input of task {index} is larger than the {max_input_bytes} bytes that kind `{}` allows; send a smaller input",
                    spec.kind
                ),
            );
        }
        if spec.timeout.is_zero() || spec.timeout.as_millis() > u128::from(kind.max_timeout_ms) {
            return refuse(
                Reason::TimeoutOutOfRange,
                format!(
                    "timeout_ms must be 1 to {} for kind `{}`",
                    kind.max_timeout_ms, spec.kind
                ),
            );
        }
        if !self
            .fleet
            .serves(&spec.kind, |agent| self.is_in_service(agent))
        {
            return Err(Refusal::new(
                Reason::NoBackend,
                Ran::No,
                format!(
                    "no backend server in service serves the kind `{}`; submit the job under a new id later",
                    spec.kind
                ),
            )
            .with_retry_after_ms(1_000));
        }
        if self.queue.len() + spec.inputs.len() > self.bounds.max_queued_tasks {
            return Err(Refusal::new(
                Reason::QueueFull,
                Ran::No,
                "the queue of this entry is full; submit the job under a new id later",
            )
            .with_retry_after_ms(1_000));
        }
        self.check_load(spec)
    }

    /// Creates the record of a job and queues its tasks.
    fn accept_job(&mut self, waiter: WaiterId, spec: Spec, now: Now) {
        let step = StepKind::Accepted {
            entry: self.me.name.clone(),
            epoch: self.row.epoch,
            tasks: spec.inputs.len() as u32,
        };
        let deadline = now.mono.plus(spec.timeout);
        let id = spec.id;
        let mut job = JobRecord {
            digest: job_digest(&spec),
            tasks: vec![TaskState::Queued { attempts: 0 }; spec.inputs.len()],
            unfinished_tasks: spec.inputs.len() as u32,
            deadline,
            waiters: SmallVec::from_slice(&[waiter]),
            started: false,
            answer: None,
            trace: Vec::new(),
            spec,
        };
        job.record_step(now, step);
        let key = self.jobs.insert(job);
        self.key_by_job_id.insert(id, key);
        self.deadlines.insert((deadline, key));
        self.enqueue(key, now);
    }

    /// Records and answers that no task of the id ran and none ever will. Without the record, a
    /// later submission of the id would break that answer.
    fn record_tombstone(
        &mut self,
        waiter: WaiterId,
        id: Id,
        refusal: Refusal,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let refused = Answer::Refused(refusal);
        let spec = Spec {
            id,
            kind: String::new(),
            inputs: Vec::new(),
            timeout: std::time::Duration::ZERO,
            idempotent: false,
        };
        let mut job = JobRecord {
            spec,
            digest: 0,
            tasks: Vec::new(),
            unfinished_tasks: 0,
            deadline: now.mono,
            waiters: SmallVec::new(),
            started: false,
            answer: Some(refused.clone()),
            trace: Vec::new(),
        };
        if let Answer::Refused(refusal) = &refused {
            job.record_step(now, StepKind::refused(refusal));
        }
        let key = self.jobs.insert(job);
        self.key_by_job_id.insert(id, key);
        self.schedule_expiry(key, now);
        push_answer(waiter, id, refused, actions);
    }
}

/// Adds the answer to a caller or another entry to the actions.
pub(super) fn push_answer(waiter: WaiterId, id: Id, answer: Answer, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { waiter, id, answer });
}

fn not_found_refusal() -> Refusal {
    Refusal::new(
        Reason::NotFound,
        Ran::Unknown,
        "the coordinator has no job with this id; it was never submitted or its record has expired",
    )
}

pub(super) fn no_lease_refusal() -> Refusal {
    Refusal::new(
        Reason::NoLease,
        Ran::Unknown,
        "this entry cannot confirm its lease; send the same id again, preferably to another entry",
    )
    .with_retry_after_ms(1_000)
}

/// Returns a digest of a job's kind and inputs; never 0, which marks a tombstone.
fn job_digest(spec: &Spec) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.write(spec.kind.as_bytes());
    for input in &spec.inputs {
        hasher.write_u64(input.len() as u64);
        hasher.write(input);
    }
    hasher.finish().max(1)
}
