//! Outcomes of tasks, and the end and expiry of jobs.

use super::{Action, Entry, JobKey, JobRecord, StepKind, TaskState};
use crate::frame::{End, NotStarted, Order, Outcome};
use crate::job::{Answer, Task};
use crate::placement::AgentKey;
use crate::refusal::{Ran, Reason, Refusal, Retry};
use crate::time::{Monotonic, Now};

/// Most attempts at a task of an idempotent job; if the last one fails, the job fails. Attempts
/// that ended as "not started" count too.
const MAX_IDEMPOTENT_ATTEMPTS: u32 = 3;

impl Entry {
    /// Returns the number of the attempt at a task that is open on an agent, `None` if there is
    /// none.
    pub(super) fn open_attempt(&self, task: Task, key: AgentKey) -> Option<u32> {
        let job = &self.jobs[*self.key_by_job_id.get(&task.job)?];
        match job.tasks.get(task.index as usize)? {
            TaskState::Dispatched { agent, attempt } if *agent == key => Some(*attempt),
            _ => None,
        }
    }

    /// Records the outcome of an attempt. An outcome of any other than the open attempt, for
    /// example a repeated one, changes nothing.
    pub(super) fn record_outcome(
        &mut self,
        key: AgentKey,
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
        if self.open_attempt(task, key) != Some(attempt) {
            return;
        }
        let job = self.key_by_job_id[&task.job];
        let agent = &mut self.fleet.agents[key];
        agent.unfinished_tasks = agent.unfinished_tasks.saturating_sub(1);
        let agent_name = agent.hello.agent.clone();
        self.fleet.reindex(key);
        let index = task.index;
        if let End::NotStarted(reason) = end {
            return self.requeue_unstarted_task(job, index, attempt, key, reason, now, actions);
        }
        self.jobs[job].started |= !matches!(end, End::Unknown(_));
        self.jobs[job].record_step(
            now,
            StepKind::Ended {
                index,
                agent: agent_name.clone(),
                queue_us,
                run_us,
            },
        );
        match end {
            End::Done(output) => self.record_output(job, index, key, output, run_us, now, actions),
            End::Failed(detail) => {
                let detail = format!(
                    "the backend server of {agent_name} answered task {index} with an error: {detail}"
                );
                self.record_failure(
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
                    "the outcome of task {index} on {agent_name} is unknown: {detail}; check whether its work was done before you submit it under a new id"
                );
                self.record_failure(
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

    /// Queues a task again that an agent did not start. If the permit was too old, the agent gets
    /// no task before it has a newer one.
    #[expect(
        clippy::too_many_arguments,
        reason = "these are the fields of one outcome"
    )]
    fn requeue_unstarted_task(
        &mut self,
        job: JobKey,
        index: u32,
        attempt: u32,
        key: AgentKey,
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
        record.record_step(now, step);
        record.tasks[index as usize] = TaskState::Queued { attempts: attempt };
        self.requeue(job, index);
        actions.push(Action::CountRetry(retry_reason(reason)));
        if reason == NotStarted::Stale {
            self.send_early_heartbeats(now, actions);
        }
    }

    /// Records the output of a task, and ends the job if it was the last one.
    #[expect(
        clippy::too_many_arguments,
        reason = "these are the fields of one outcome"
    )]
    fn record_output(
        &mut self,
        job: JobKey,
        index: u32,
        key: AgentKey,
        output: bytes::Bytes,
        run_us: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let run_time = std::time::Duration::from_micros(run_us);
        let declared_ms = self.declared_run_ms(&self.jobs[job].spec.kind);
        let record = &mut self.jobs[job];
        self.fleet
            .record_run_time(key, &record.spec.kind, declared_ms, run_time);
        record.tasks[index as usize] = TaskState::Done(output);
        record.unfinished_tasks -= 1;
        if record.unfinished_tasks > 0 {
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
        self.finish_job(job, Answer::Complete(outputs), now, actions);
    }

    /// Ends the job of a task that failed or whose outcome is unknown, or queues the task again if
    /// the job is idempotent.
    #[expect(
        clippy::too_many_arguments,
        reason = "these are the fields of one outcome"
    )]
    fn record_failure(
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
        if record.spec.idempotent && attempt < MAX_IDEMPOTENT_ATTEMPTS {
            record.tasks[index as usize] = TaskState::Queued { attempts: attempt };
            self.requeue(job, index);
            return actions.push(Action::CountRetry(Retry::Idempotent));
        }
        self.finish_job(
            job,
            Answer::Refused(Refusal::new(reason, ran, detail)),
            now,
            actions,
        );
    }

    /// Returns whether any task of a job that ends now ran. A task that an agent still holds may
    /// have started.
    pub(super) fn ran_at_end(&self, job: JobKey) -> Ran {
        let JobRecord { started, tasks, .. } = &self.jobs[job];
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

    /// Ends a job: takes its tasks back from the queue and the agents, answers all requests that
    /// wait for it, and keeps the answer until the record expires.
    pub(super) fn finish_job(
        &mut self,
        key: JobKey,
        answer: Answer,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.recall_tasks(key, actions);
        let answer = self.downgrade_without_lease(answer, now);
        self.queue.remove(key);
        let job = &mut self.jobs[key];
        assert!(
            job.answer.is_none(),
            "invariant broken: job {} was answered twice; keep the logs and report them",
            job.spec.id
        );
        job.record_step(
            now,
            match &answer {
                Answer::Complete(_) => StepKind::Complete,
                Answer::Refused(refusal) => StepKind::refused(refusal),
            },
        );
        let id = job.spec.id;
        for waiter in std::mem::take(&mut job.waiters) {
            super::submit::push_answer(waiter, id, answer.clone(), actions);
        }
        job.tasks = Vec::new();
        job.spec.inputs = Vec::new();
        let deadline = job.deadline;
        job.answer = Some(answer);
        self.deadlines.remove(&(deadline, key));
        self.schedule_expiry(key, now);
    }

    /// Tells the agents that hold tasks of a job to give back those that have not started.
    fn recall_tasks(&mut self, job: JobKey, actions: &mut Vec<Action>) {
        let job = &self.jobs[job];
        let mut held_by_agent: std::collections::BTreeMap<AgentKey, Vec<Task>> =
            std::collections::BTreeMap::new();
        for (index, state) in job.tasks.iter().enumerate() {
            if let TaskState::Dispatched { agent, .. } = state {
                held_by_agent.entry(*agent).or_default().push(Task {
                    job: job.spec.id,
                    index: index as u32,
                });
            }
        }
        for (key, recalls) in held_by_agent {
            let agent = &mut self.fleet.agents[key];
            agent.unfinished_tasks = agent.unfinished_tasks.saturating_sub(recalls.len() as u32);
            if let Some(link) = agent.link {
                actions.push(Action::SendOrder {
                    link,
                    order: Order {
                        recalls,
                        ..self.empty_order(key)
                    },
                });
            }
            self.fleet.reindex(key);
        }
    }

    /// Schedules the removal of an ended job's record for when its id is so old that every entry
    /// refuses it. Until then the record keeps the id from running again.
    pub(super) fn schedule_expiry(&mut self, key: JobKey, now: Now) {
        let created = self.jobs[key].spec.id.created();
        let age = now.wall.since(created);
        let retention =
            (self.timing.retention_window + self.timing.max_id_time_ahead * 2).saturating_sub(age);
        self.record_expiries.insert((now.mono.plus(retention), key));
    }

    /// Ends the jobs whose timeout has passed and removes the records that have expired.
    pub(super) fn tick_jobs(&mut self, now: Now, actions: &mut Vec<Action>) {
        while let Some((_deadline, key)) = first_due(&self.deadlines, now.mono) {
            let refusal = Refusal::new(
                Reason::TimedOut,
                self.ran_at_end(key),
                "the job did not end within its timeout; submit it under a new id with a longer timeout or with fewer tasks",
            );
            self.finish_job(key, Answer::Refused(refusal), now, actions);
        }
        while let Some(expiry) = first_due(&self.record_expiries, now.mono) {
            self.record_expiries.remove(&expiry);
            if let Some(job) = self.jobs.remove(expiry.1) {
                self.key_by_job_id.remove(&job.spec.id);
            }
        }
    }
}

/// Returns the earliest of the times, with its job, if it is not after `now`.
fn first_due(
    times: &std::collections::BTreeSet<(Monotonic, JobKey)>,
    now: Monotonic,
) -> Option<(Monotonic, JobKey)> {
    times.first().copied().filter(|(at, _key)| *at <= now)
}

fn retry_reason(reason: NotStarted) -> Retry {
    match reason {
        NotStarted::Stale => Retry::Stale,
        NotStarted::Full => Retry::Full,
        NotStarted::Leaving => Retry::Leaving,
        NotStarted::OldEpoch => Retry::OldEpoch,
        NotStarted::Tombstoned => Retry::Tombstoned,
        NotStarted::Recalled => Retry::Recalled,
    }
}
