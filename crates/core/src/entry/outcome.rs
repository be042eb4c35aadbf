//! Ends of tasks and of jobs.

use super::{Action, Entry, Job, JobKey, StepKind, TaskState};
use crate::frame::{End, NotStarted, Order, Outcome};
use crate::job::{Answer, Task};
use crate::placement::Key;
use crate::refusal::{Ran, Reason, Refusal, Retry};
use crate::time::{Monotonic, Now};

/// Most runs of one idempotent request.
const IDEMPOTENT_RUNS: u32 = 3;

impl Entry {
    /// Returns the attempt of a task that an agent holds.
    pub(super) fn attempt(&self, task: Task, key: Key) -> Option<u32> {
        let job = &self.jobs[*self.by_id.get(&task.job)?];
        match job.tasks.get(task.index as usize)? {
            TaskState::Dispatched { agent, attempt } if *agent == key => Some(*attempt),
            _ => None,
        }
    }

    /// Records what became of a dispatch.
    pub(super) fn ended(
        &mut self,
        key: Key,
        outcome: Outcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Outcome {
            task,
            attempt,
            end,
            queue_us,
            run_us,
        } = outcome;
        self.limits.record_end(task, key);
        if self.attempt(task, key) != Some(attempt) {
            return;
        }
        let job = self.by_id[&task.job];
        let agent = &mut self.fleet.agents[key];
        agent.unfinished_tasks = agent.unfinished_tasks.saturating_sub(1);
        let name = agent.hello.agent.clone();
        self.fleet.reindex(key);
        let index = task.index;
        if let End::NotStarted(reason) = end {
            return self.not_started(job, index, attempt, key, reason, now, actions);
        }
        self.jobs[job].started |= !matches!(end, End::Unknown(_));
        self.jobs[job].note(
            now,
            StepKind::Ended {
                index,
                agent: name.clone(),
                queue_us,
                run_us,
            },
        );
        match end {
            End::Done(output) => self.done(job, index, key, output, run_us, now, actions),
            End::Failed(detail) => {
                let detail =
                    format!("the backend server of {name} answered task {index} with: {detail}");
                self.failed(
                    job,
                    index,
                    attempt,
                    Reason::TaskFailed,
                    Ran::Yes,
                    detail,
                    now,
                    actions,
                );
            }
            End::Unknown(detail) => {
                let detail = format!(
                    "the outcome of task {index} on {name} is unknown: {detail}; check whether it was done before you send a new id"
                );
                self.failed(
                    job,
                    index,
                    attempt,
                    Reason::OutcomeUnknown,
                    Ran::Unknown,
                    detail,
                    now,
                    actions,
                );
            }
            End::NotStarted(_) => {}
        }
    }

    #[expect(clippy::too_many_arguments, reason = "fields of one outcome")]
    fn not_started(
        &mut self,
        job: JobKey,
        index: u32,
        attempt: u32,
        key: Key,
        reason: NotStarted,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let agent = &mut self.fleet.agents[key];
        if reason == NotStarted::Stale {
            agent.mark_permit_stale();
        }
        let step = StepKind::NotStarted {
            index,
            agent: agent.hello.agent.clone(),
            reason: reason.to_string(),
        };
        let record = &mut self.jobs[job];
        record.note(now, step);
        record.tasks[index as usize] = TaskState::Queued { attempts: attempt };
        self.requeue(job, index);
        actions.push(Action::Retried(retry(reason)));
        if reason == NotStarted::Stale {
            self.hasten_beat(now, actions);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "fields of one outcome")]
    fn done(
        &mut self,
        job: JobKey,
        index: u32,
        key: Key,
        output: bytes::Bytes,
        run_us: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let run = std::time::Duration::from_micros(run_us);
        let declared_ms = self.declared_ms(&self.jobs[job].spec.kind);
        let record = &mut self.jobs[job];
        self.fleet
            .record_run_time(key, &record.spec.kind, declared_ms, run);
        record.tasks[index as usize] = TaskState::Done(output);
        record.open -= 1;
        if record.open > 0 {
            return;
        }
        let outputs = record
            .tasks
            .drain(..)
            .filter_map(|state| match state {
                TaskState::Done(output) => Some(output),
                _ => None,
            })
            .collect();
        self.finish(job, Answer::Complete(outputs), now, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "fields of one outcome")]
    fn failed(
        &mut self,
        job: JobKey,
        index: u32,
        attempt: u32,
        reason: Reason,
        ran: Ran,
        detail: String,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let record = &mut self.jobs[job];
        if record.spec.idempotent && attempt < IDEMPOTENT_RUNS {
            record.tasks[index as usize] = TaskState::Queued { attempts: attempt };
            self.requeue(job, index);
            return actions.push(Action::Retried(Retry::Idempotent));
        }
        self.finish(
            job,
            Answer::Refused(Refusal::new(reason, ran, detail)),
            now,
            actions,
        );
    }

    /// Returns whether anything of a job ran, as far as this entry knows.
    pub(super) fn ran(&self, job: JobKey) -> Ran {
        let Job { started, tasks, .. } = &self.jobs[job];
        if *started {
            return Ran::Yes;
        }
        if tasks
            .iter()
            .any(|task| matches!(task, TaskState::Dispatched { .. }))
        {
            return Ran::Unknown;
        }
        Ran::No
    }

    /// Ends a job for good and tells everyone who waits.
    pub(super) fn finish(
        &mut self,
        key: JobKey,
        answer: Answer,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.recall_all(key, actions);
        let answer = self.without_lease(answer, now);
        self.queue.remove(key);
        let job = &mut self.jobs[key];
        assert!(
            job.answer.is_none(),
            "invariant broken: job {} was answered twice; keep the logs and report them",
            job.spec.id
        );
        job.note(
            now,
            match &answer {
                Answer::Complete(_) => StepKind::Complete,
                Answer::Refused(refusal) => StepKind::refused(refusal),
            },
        );
        let id = job.spec.id;
        for waiter in std::mem::take(&mut job.waiters) {
            super::submit::answer(waiter, id, answer.clone(), actions);
        }
        job.tasks = Vec::new();
        job.spec.inputs = Vec::new();
        let deadline = job.deadline;
        job.answer = Some(answer);
        self.deadlines.remove(&(deadline, key));
        self.expire_later(key, now);
    }

    /// Takes back what agents still hold of a job.
    fn recall_all(&mut self, key: JobKey, actions: &mut Vec<Action>) {
        let job = &self.jobs[key];
        let mut held: std::collections::BTreeMap<Key, Vec<Task>> =
            std::collections::BTreeMap::new();
        for (index, state) in job.tasks.iter().enumerate() {
            if let TaskState::Dispatched { agent, .. } = state {
                held.entry(*agent).or_default().push(Task {
                    job: job.spec.id,
                    index: index as u32,
                });
            }
        }
        for (agent, recalls) in held {
            let known = &mut self.fleet.agents[agent];
            known.unfinished_tasks = known.unfinished_tasks.saturating_sub(recalls.len() as u32);
            if let Some(link) = known.link {
                actions.push(Action::Order {
                    link,
                    order: Order {
                        recalls,
                        ..self.order(agent)
                    },
                });
            }
            self.fleet.reindex(agent);
        }
    }

    /// Forgets an ended job once its id is older than the window.
    pub(super) fn expire_later(&mut self, key: JobKey, now: Now) {
        let created = self.jobs[key].spec.id.created();
        let age = now.wall.since(created);
        let rest =
            (self.timing.retention_window + self.timing.max_id_time_ahead * 2).saturating_sub(age);
        self.expiries.insert((now.mono.plus(rest), key));
    }

    pub(super) fn tick_jobs(&mut self, now: Now, actions: &mut Vec<Action>) {
        while let Some((_deadline, key)) = due(&self.deadlines, now.mono) {
            let refusal = Refusal::new(
                Reason::TimedOut,
                self.ran(key),
                "the job's time ran out; ask for more time, or for fewer tasks at once",
            );
            self.finish(key, Answer::Refused(refusal), now, actions);
        }
        while let Some(expiry) = due(&self.expiries, now.mono) {
            self.expiries.remove(&expiry);
            if let Some(job) = self.jobs.remove(expiry.1) {
                self.by_id.remove(&job.spec.id);
            }
        }
    }
}

fn due(
    times: &std::collections::BTreeSet<(Monotonic, JobKey)>,
    now: Monotonic,
) -> Option<(Monotonic, JobKey)> {
    times.first().copied().filter(|(at, _key)| *at <= now)
}

fn retry(reason: NotStarted) -> Retry {
    match reason {
        NotStarted::Stale => Retry::Stale,
        NotStarted::Full => Retry::Full,
        NotStarted::Leaving => Retry::Leaving,
        NotStarted::OldEpoch => Retry::OldEpoch,
        NotStarted::Tombstoned => Retry::Tombstoned,
        NotStarted::Recalled => Retry::Recalled,
    }
}
