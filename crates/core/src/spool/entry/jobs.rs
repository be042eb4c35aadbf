//! Life of a job from its submission to the answer to its caller.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::catalogue::Queue;
use super::super::job::{Request, Step};
use super::super::log_line::LogLine;
use super::super::message::{DispatchId, ServerState};
use super::dispatch::Urgency;
use super::plan::Plan;
use super::spread::Spread;
use super::startup::Verdict;
use super::{
    Action, Answer, Backlog, ConnectionKey, Entry, Job, JobKey, Refusal, Task, TaskKey, TaskState,
    Waiting,
};
use crate::time::{Monotonic, Now};

/// Multiple of the latency objective after which the end of a job has no value for its caller.
const USEFUL_OBJECTIVES: f64 = 3.0;

/// Time for the answer to reach the caller, subtracted from the time that the caller waits.
const ANSWER_TRANSIT: Duration = Duration::from_millis(20);

/// Retry delay for refusals other than overload. Most of their causes pass with a reconnection of
/// agents or servers.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest time between two reviews of the late tasks, which look at each of them.
const HOPELESS_REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// How a job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Its tasks are queued.
    Queue,
    /// It waits until this time for more of the deployment to be found.
    WaitUntil(Monotonic),
}

impl Entry {
    /// Accepts a job or refuses it at once. The answer follows as an [`Action::SendAnswer`] with
    /// the returned key.
    pub fn submit_job(&mut self, request: Request, queue: Queue, now: Now) -> JobKey {
        self.submit_job_that_arrived(request, queue, now.mono, now)
    }

    /// Does the same as [`Entry::submit_job`] with a job whose request arrived earlier and waited
    /// for the first catalogue. Its latency objective and its caller's time count from then.
    pub fn submit_job_that_arrived(
        &mut self,
        request: Request,
        queue: Queue,
        arrived_at: Monotonic,
        now: Now,
    ) -> JobKey {
        self.expire_due(now);
        let time_given = request.timeout.saturating_sub(ANSWER_TRANSIT);
        let plan = self.plan(&request.steps, &queue);
        let job = Job {
            id: request.id,
            tasks: Vec::with_capacity(request.task_count()),
            unfinished_tasks: request.task_count(),
            submitted_at: arrived_at,
            deadline: arrived_at
                .plus(time_given)
                .min(self.shutdown_deadline.unwrap_or(Monotonic(u64::MAX))),
            has_dispatched: false,
            may_have_run: false,
            plan,
            spread: Spread::default(),
            queue,
            request,
        };
        let key = self.jobs.insert(job);
        match self.check_admission(key, now.mono) {
            Ok(Admission::Queue) => {
                self.add_tasks(key);
                self.dispatch(now);
            }
            Ok(Admission::WaitUntil(until)) => self.hold(key, until),
            Err((reason, retry_after)) => self.refuse(key, reason, retry_after, now.mono),
        }
        key
    }

    /// Decides whether a new or waiting job is accepted. The error holds the reason and the retry
    /// delay.
    pub(super) fn check_admission(
        &mut self,
        key: JobKey,
        now: Monotonic,
    ) -> Result<Admission, (Refusal, Duration)> {
        let job = &self.jobs[key];
        let has_stopped = |deadline: Monotonic| deadline <= now || self.agents.is_empty();
        if self.shutdown_deadline.is_some_and(has_stopped) {
            return Err((Refusal::Stopping, DEFAULT_RETRY_AFTER));
        }
        if job.unfinished_tasks == 0 || !depends_only_on_earlier_steps(&job.request.steps) {
            return Err((Refusal::Unsupported, DEFAULT_RETRY_AFTER));
        }
        let exceeds_all_servers = |step| self.exceeds_all_servers(job, step);
        if job.request.steps.iter().any(exceeds_all_servers) {
            // A larger server may be found yet.
            return self.refuse_or_wait(key, true, Refusal::NoBackend, DEFAULT_RETRY_AFTER, now);
        }
        let slack = self.urgency(job, 0).latest_start.since(now);
        let backlog = self.backlog_ahead_of(job, now);
        if backlog.capacity_cpu <= 0.0 {
            return self.refuse_or_wait(key, false, Refusal::NoBackend, DEFAULT_RETRY_AFTER, now);
        }
        let cpu = job.request.cpu();
        let queue = Arc::clone(&job.queue.name);
        let admitted = (self.policy.admit)(&backlog, slack);
        if admitted.is_err()
            && let Ok(admission) =
                self.refuse_or_wait(key, true, Refusal::Overloaded, DEFAULT_RETRY_AFTER, now)
        {
            return Ok(admission);
        }
        let shed = match admitted {
            Err(_wait) if self.sheds_waiting => self.jobs_to_shed(key, backlog, slack, now),
            Ok(()) | Err(_) => SmallVec::new(),
        };
        let is_admitted = admitted.is_ok() || !shed.is_empty();
        self.admitted_work
            .record_offer(&queue, cpu, is_admitted, now);
        for other in shed {
            self.shed(other, &backlog, now);
        }
        if is_admitted {
            return Ok(Admission::Queue);
        }
        self.refused_work.record(cpu, now);
        let line = LogLine::new("Refused a job: the expected wait is too long.")
            .with("job", self.jobs[key].id)
            .with("needed_cpu", backlog.needed_cpu)
            .with("ahead_cpu", backlog.ahead_cpu())
            .with("peer_cpu", backlog.peer_cpu)
            .with("silent_peers", backlog.silent_peers)
            .with("free_cpu", backlog.free_cpu)
            .with("capacity_cpu", backlog.capacity_cpu)
            .with("wait_ms", backlog.expected_wait().as_millis())
            .with("admitted_ms", backlog.admitted_wait(slack).as_millis())
            .with("slack_ms", slack.as_millis());
        self.log(line);
        let clearing_time = backlog.clearing_time();
        let retry_after = (self.policy.retry_after)(clearing_time, &mut self.retry_random);
        Err((Refusal::Overloaded, retry_after))
    }

    /// Returns the waiting jobs that give way to a new job, so that it can be accepted; none if it
    /// can't.
    fn jobs_to_shed(
        &self,
        arrival: JobKey,
        mut backlog: Backlog,
        slack: Duration,
        now: Monotonic,
    ) -> SmallVec<[JobKey; 4]> {
        let mut seen: HashSet<JobKey> = HashSet::new();
        let keys: Vec<JobKey> = self
            .queued_tasks
            .iter()
            .map(|(_urgency, task)| self.tasks[*task].job)
            .filter(|key| *key != arrival && !self.jobs[*key].has_dispatched && seen.insert(*key))
            .collect();
        let keys: Vec<JobKey> = keys
            .into_iter()
            .filter(|key| self.has_certainly_not_run(*key))
            .collect();
        let waiting: Vec<Waiting> = keys
            .iter()
            .map(|key| &self.jobs[*key])
            .map(|job| Waiting {
                queue: Arc::clone(&job.queue.name),
                priority: job.queue.priority,
                cpu: job.request.cpu(),
                age: now.since(job.submitted_at),
            })
            .collect();
        let mut shed = SmallVec::new();
        let order = (self.policy.shed)(&waiting, backlog.priority, &self.admitted_work, now);
        for index in order {
            // The other entries keep their queues, which are assumed to be as long as this one.
            let share = waiting[index].cpu / (1 + backlog.peers) as f64;
            backlog.own_cpu = (backlog.own_cpu - share).max(0.0);
            shed.push(keys[index]);
            if (self.policy.admit)(&backlog, slack).is_ok() {
                return shed;
            }
        }
        SmallVec::new()
    }

    /// Refuses a waiting job that gives way to a more urgent one.
    fn shed(&mut self, key: JobKey, backlog: &Backlog, now: Monotonic) {
        let job = &self.jobs[key];
        let (queue, cpu) = (Arc::clone(&job.queue.name), job.request.cpu());
        self.admitted_work.record_shed(&queue, cpu);
        self.refused_work.record(cpu, now);
        let retry_after =
            (self.policy.retry_after)(backlog.clearing_time(), &mut self.retry_random);
        self.refuse(key, Refusal::Shed, retry_after, now);
    }

    /// Refuses a job that can't be admitted by what is known at present, unless it may wait shortly
    /// after the start of the process. `has_server` says whether a server of its service is known.
    fn refuse_or_wait(
        &self,
        key: JobKey,
        has_server: bool,
        reason: Refusal,
        retry_after: Duration,
        now: Monotonic,
    ) -> Result<Admission, (Refusal, Duration)> {
        match self.judge_unplaceable(key, has_server, now) {
            Verdict::Refuse => Err((reason, retry_after)),
            Verdict::WaitUntil(until) => Ok(Admission::WaitUntil(until)),
            Verdict::Queue => Ok(Admission::Queue),
        }
    }

    /// Returns whether servers of the service are connected but each is too small for a task of the
    /// step.
    fn exceeds_all_servers(&self, job: &Job, step: &Step) -> bool {
        let mut known = self
            .agents
            .values()
            .filter_map(|agent| agent.server.as_ref())
            .filter(|server| server.service == job.queue.service)
            .peekable();
        known.peek().is_some() && !known.any(|server| server.capacity.can_hold(&step.needs))
    }

    /// Returns the load and capacity that a new job finds on the servers of its service.
    fn backlog_ahead_of(&self, job: &Job, now: Monotonic) -> Backlog {
        let is_ready = |step: &&Step| step.depends_on.is_empty();
        let ready_steps = job.request.steps.iter().filter(is_ready);
        let mut backlog = Backlog {
            priority: job.queue.priority,
            needed_cpu: ready_steps
                .map(|step| f64::from(step.needs.cpu_millicores) * f64::from(step.task_count))
                .sum(),
            mean_run_time: self.estimates.mean_run_time().mul_f64(self.mean_slowdown),
            ..Backlog::default()
        };
        for (_urgency, key) in &self.queued_tasks {
            let task = &self.tasks[*key];
            let step = &self.jobs[task.job].request.steps[usize::from(task.step)];
            backlog.own_cpu += f64::from(step.needs.cpu_millicores);
        }
        backlog.peers = self.members.len() - 1;
        let peers = self.peer_queues.sum(backlog.peers, now);
        backlog.peer_cpu = peers.waiting_cpu;
        backlog.silent_peers = peers.silent;
        backlog.refused_cpu =
            self.refused_work.cpu(now) * (1 + peers.silent) as f64 + peers.refused_cpu;
        for agent in self.agents.values() {
            if let Some(server) = agent.server.as_ref()
                && server.service == job.queue.service
                && agent.load.open_slots > 0
            {
                backlog.capacity_cpu += f64::from(server.capacity.cpu_millicores);
                backlog.free_cpu += f64::from(agent.free().cpu_millicores);
                backlog.agent_cpu += f64::from(agent.load.queued_cpu);
            }
        }
        backlog
    }

    /// Returns the plan of a job by the run times that are expected now.
    fn plan(&self, steps: &[Step], queue: &Queue) -> Plan {
        let plan = Plan::new(steps, |step| {
            self.estimates.expected_run_time(&queue.name, step.estimate)
        });
        self.count_work(plan.size());
        plan
    }

    /// Replaces the plan of a job of which nothing has run by one with the run times that are
    /// expected now.
    pub(super) fn renew_plan(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let plan = self.plan(&job.request.steps, &job.queue);
        self.jobs[key].plan = plan;
    }

    /// Creates the tasks of a new job and queues those without dependencies.
    pub(super) fn add_tasks(&mut self, key: JobKey) {
        let steps = self.jobs[key].request.steps.len() as u16;
        for step in 0..steps {
            let job = &self.jobs[key];
            let urgency = self.urgency(job, step);
            let task_count = job.request.steps[usize::from(step)].task_count;
            let blocked = job.plan.is_blocked(step);
            for index in 0..task_count {
                let task = self.tasks.insert(Task {
                    job: key,
                    step,
                    index,
                    state: TaskState::Blocked,
                    dispatched_estimate: Duration::ZERO,
                    failures: 0,
                    least_run_time: Duration::ZERO,
                    failed_on: smallvec::SmallVec::new(),
                });
                self.jobs[key].tasks.push(task);
                if !blocked {
                    self.enqueue(task, urgency);
                }
            }
        }
    }

    pub(super) fn enqueue(&mut self, key: TaskKey, urgency: Urgency) {
        self.set_state(key, TaskState::Queued(urgency));
        self.queued_tasks.insert((urgency, key));
    }

    /// Changes the state of a task, and what is counted by states.
    pub(super) fn set_state(&mut self, key: TaskKey, state: TaskState) {
        self.count_work(1);
        let task = &mut self.tasks[key];
        let before = std::mem::replace(&mut task.state, state);
        let job = &mut self.jobs[task.job];
        if job.request.steps[usize::from(task.step)]
            .max_tasks_per_server
            .is_some()
        {
            if let Some(agent) = before.agent_number() {
                job.spread.remove(task.step, agent);
            }
            if let Some(agent) = state.agent_number() {
                job.spread.add(task.step, agent);
            }
        }
        if matches!(before, TaskState::Orphaned(_)) {
            self.orphans.remove(&key);
        }
        if matches!(state, TaskState::Orphaned(_)) {
            self.orphans.insert(key);
        }
    }

    /// Queues a task again. The caller has made sure that no agent runs the task any more.
    pub(super) fn requeue(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let urgency = self.urgency(&self.jobs[task.job], task.step);
        self.enqueue(key, urgency);
    }

    /// Returns the expected run time of a step's tasks on a server of typical speed.
    pub(super) fn expected_run_time(&self, job: &Job, step: &Step) -> Duration {
        self.estimates
            .expected_run_time(&job.queue.name, step.estimate)
    }

    /// Returns the latency objective of a job, counted from its submission. The declared run times
    /// may all be wrong in the same direction; the factor `mean_slowdown` corrects for that.
    fn latency_objective(&self, job: &Job) -> Duration {
        let run_time = job.plan.longest_chain(0).mul_f64(self.mean_slowdown);
        run_time.mul_f64(job.queue.objective_factor.max(1.0)) + job.queue.objective_offset
    }

    /// Returns the time after which the job's answer has no value for its caller.
    pub(super) fn useful_until(&self, job: &Job) -> Monotonic {
        let useful_time = self.latency_objective(job).mul_f64(USEFUL_OBJECTIVES);
        job.submitted_at.plus(useful_time).min(job.deadline)
    }

    /// Returns the sort key of a step's tasks among the queued ones.
    pub(super) fn urgency(&self, job: &Job, step: u16) -> Urgency {
        let objective_end = job.submitted_at.plus(self.latency_objective(job));
        let remaining = job.plan.longest_chain(step).mul_f64(self.mean_slowdown);
        Urgency {
            late: false,
            latest_start: Monotonic(objective_end.0.saturating_sub(remaining.as_micros() as u64)),
            priority: job.queue.priority,
        }
    }

    /// Handles a caller that closed its connection: its job is removed and its tasks are cancelled.
    pub fn remove_abandoned_job(&mut self, key: JobKey, now: Now) {
        if let Some(job) = self.jobs.get(key) {
            let line = LogLine::new("The caller closed its connection.")
                .with("job", job.id)
                .with("age_ms", now.mono.since(job.submitted_at).as_millis());
            self.log(line);
            self.remove_job(key);
        }
        self.dispatch(now);
    }

    /// Answers the jobs whose deadline has passed, and the jobs with queued tasks that can't end in
    /// time.
    pub(super) fn expire_due_jobs(&mut self, now: Now) {
        let overdue: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_key, job)| job.deadline <= now.mono)
            .map(|(key, _job)| key)
            .collect();
        for key in overdue {
            self.time_out_job(key, now.mono);
        }
        self.refuse_late_jobs(now.mono);
        self.time_out_hopeless_jobs(now.mono);
    }

    /// Answers a job that will not complete in time: refused if certainly no task has run, else
    /// expired.
    fn time_out_job(&mut self, key: JobKey, now: Monotonic) {
        if self.has_certainly_not_run(key) {
            self.refuse(key, Refusal::WaitedTooLong, DEFAULT_RETRY_AFTER, now);
        } else {
            self.answer_caller(key, Answer::Expired, now);
        }
    }

    /// Answers the jobs with a late queued task that couldn't end in useful time even on the
    /// fastest server.
    fn time_out_hopeless_jobs(&mut self, now: Monotonic) {
        // Late tasks sort last, so there are none if the last one isn't late.
        let has_late = self
            .queued_tasks
            .last()
            .is_some_and(|(urgency, _key)| urgency.late);
        if !has_late || now.since(self.hopeless_reviewed_at) < HOPELESS_REVIEW_INTERVAL {
            return;
        }
        self.hopeless_reviewed_at = now;
        self.count_work(self.queued_tasks.len());
        let slowdowns = self
            .agents
            .values()
            .map(|agent| f64::from(agent.load.slowdown));
        let lowest_slowdown = slowdowns.fold(self.mean_slowdown, f64::min);
        let hopeless: Vec<JobKey> = self
            .queued_tasks
            .iter()
            .filter(|(urgency, _key)| urgency.late)
            .map(|(_urgency, key)| &self.tasks[*key])
            .filter(|task| {
                let job = &self.jobs[task.job];
                let step = &job.request.steps[usize::from(task.step)];
                let end = now.plus(self.expected_run_time(job, step).mul_f64(lowest_slowdown));
                end > self.useful_until(job)
            })
            .map(|task| task.job)
            .collect();
        for key in hopeless {
            if self.jobs.contains_key(key) {
                self.time_out_job(key, now);
            }
        }
    }

    /// Refuses the jobs that missed their latest start before any of their tasks ran. All servers
    /// were busy in the meantime, so these jobs would only delay others.
    fn refuse_late_jobs(&mut self, now: Monotonic) {
        let mut seen: HashSet<JobKey> = HashSet::new();
        let late: Vec<JobKey> = self
            .queued_tasks
            .iter()
            .take_while(|(urgency, _key)| urgency.latest_start < now && !urgency.late)
            .inspect(|_queued| self.count_work(1))
            .map(|(_urgency, key)| self.tasks[*key].job)
            .filter(|key| seen.insert(*key))
            .collect();
        for key in late {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if self.has_certainly_not_run(key) && self.has_open_server(&job.queue.service) {
                self.refuse(key, Refusal::WaitedTooLong, DEFAULT_RETRY_AFTER, now);
            }
        }
    }

    /// Returns whether a ready server of the service accepts more tasks.
    fn has_open_server(&self, service: &str) -> bool {
        self.agents.values().any(|agent| {
            let serves = |server: &ServerState| &*server.service == service && server.ready;
            agent.open_slots() > 0 && agent.server.as_ref().is_some_and(serves)
        })
    }

    /// Returns whether certainly no task of the job has run or can still start at an agent. The
    /// tasks may have been dispatched and come back.
    fn has_certainly_not_run(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let is_waiting = |task: &TaskKey| {
            matches!(
                self.tasks[*task].state,
                TaskState::Queued(_) | TaskState::Blocked
            )
        };
        self.count_work(job.tasks.len());
        !job.may_have_run && job.tasks.iter().all(is_waiting)
    }

    pub(super) fn refuse(
        &mut self,
        key: JobKey,
        reason: Refusal,
        retry_after: Duration,
        now: Monotonic,
    ) {
        self.end_wait(key, Some(reason));
        let refused = Answer::Refused {
            reason,
            retry_after,
        };
        self.answer_caller(key, refused, now);
    }

    /// Answers the caller, removes the job and cancels its unfinished tasks.
    pub(super) fn answer_caller(&mut self, key: JobKey, answer: Answer, now: Monotonic) {
        let job = &self.jobs[key];
        let mut line = LogLine::new("Answered a job.")
            .with("job", job.id)
            .with("queue", &job.queue.name)
            .with("age_ms", now.since(job.submitted_at).as_millis())
            .with("objective_ms", self.latency_objective(job).as_millis())
            .with("tasks", job.request.task_count())
            .with("left", job.unfinished_tasks)
            .with("started", job.may_have_run)
            .with(
                "catalogue",
                self.catalogue.as_ref().map_or(0, |known| known.version),
            );
        line = match answer {
            Answer::Refused { reason, .. } => line
                .with("answer", "refused")
                .with("reason", reason)
                .with("waiting", self.queued_tasks.len())
                .with("agents", self.agents.len()),
            answer => line.with("answer", format_args!("{answer:?}")),
        };
        self.log(line);
        self.actions.push(Action::SendAnswer(key, answer));
        self.remove_job(key);
    }

    /// Removes a job and cancels its tasks at the agents.
    fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.end_wait(key, None);
        self.count_work(job.tasks.len());
        let mut cancels: Vec<(ConnectionKey, DispatchId)> = Vec::new();
        for task_key in job.tasks {
            let Some(task) = self.tasks.remove(task_key) else {
                continue;
            };
            match task.state {
                TaskState::Queued(urgency) => {
                    self.queued_tasks.remove(&(urgency, task_key));
                }
                // A task whose outcome causes this answer is no longer in `tasks_by_ticket` and
                // needs no cancel.
                TaskState::Dispatched {
                    connection, ticket, ..
                } if self.tasks_by_ticket.remove(&ticket).is_some() => {
                    cancels.push((connection, ticket));
                }
                TaskState::Orphaned(_) => {
                    self.orphans.remove(&task_key);
                }
                TaskState::Dispatched { .. } | TaskState::Blocked | TaskState::Completed => {}
            }
        }
        cancels.sort_unstable();
        for group in cancels.chunk_by(|a, b| a.0 == b.0) {
            let tickets = group.iter().map(|(_connection, ticket)| *ticket).collect();
            self.send_order(group[0].0, Vec::new(), tickets);
        }
    }

    /// Records the success of a task, and answers the job once all tasks have succeeded.
    pub(super) fn complete_task(&mut self, key: TaskKey, now: Now) {
        let (job_key, step) = (self.tasks[key].job, self.tasks[key].step);
        self.set_state(key, TaskState::Completed);
        let job = &mut self.jobs[job_key];
        job.unfinished_tasks -= 1;
        job.may_have_run = true;
        if job.unfinished_tasks == 0 {
            self.record_completion(now.mono);
            self.answer_caller(job_key, Answer::Completed, now.mono);
        } else {
            self.unblock_steps_after(job_key, step);
        }
    }

    /// Records the success of a task of a step, and queues the steps that waited for it alone.
    fn unblock_steps_after(&mut self, job_key: JobKey, step: u16) {
        let plan = &mut self.jobs[job_key].plan;
        let unblocked = plan.complete_task(step);
        let visited = plan.released_dependencies(step);
        self.count_work(visited);
        for step in unblocked {
            for position in self.jobs[job_key].plan.tasks_of(step) {
                self.requeue(self.jobs[job_key].tasks[position]);
            }
        }
    }

    /// Records a failed run. The job fails once a task has used up its attempts.
    pub(super) fn record_failure(&mut self, key: TaskKey, agent_number: u32, now: Now) {
        let task = &mut self.tasks[key];
        task.failures += 1;
        task.failed_on.push(agent_number);
        let (job_key, failures) = (task.job, task.failures);
        let job = &mut self.jobs[job_key];
        job.may_have_run = true;
        if failures >= job.queue.max_failed_runs.max(1) {
            self.answer_caller(job_key, Answer::Failed, now.mono);
        } else {
            self.requeue(key);
        }
    }

    /// Queues a task again that was lost at an agent. A loss doesn't count as a failed attempt.
    pub(super) fn requeue_lost_task(&mut self, key: TaskKey, agent_number: u32) {
        let task = &mut self.tasks[key];
        task.failed_on.push(agent_number);
        self.jobs[task.job].may_have_run = true;
        self.requeue(key);
    }
}

fn depends_only_on_earlier_steps(steps: &[Step]) -> bool {
    steps.iter().enumerate().all(|(index, step)| {
        step.depends_on
            .iter()
            .all(|&before| usize::from(before) < index)
    })
}
