//! Jobs from their arrival to their answer.

use std::time::Duration;

use super::super::catalogue::Queue;
use super::super::job::{Request, Step};
use super::super::message::{DispatchId, ServerState};
use super::super::note::LogLine;
use super::dispatch::Rank;
use super::{Action, Answer, Backlog, Entry, Job, JobKey, LinkKey, Place, Refusal, Task, TaskKey};
use crate::time::{Monotonic, Now};

/// A job that ends later than this many objectives is worth nothing to its caller.
const USELESS_AFTER: f64 = 3.0;

/// Time for the answer's way back, taken off what the caller gives.
const WAY_BACK: Duration = Duration::from_millis(20);

/// Time from the start of the process until its agents have connected: agents try every 0.4 s or
/// more often, and a connection takes one round trip.
const START: Duration = Duration::from_millis(500);

/// Advice for callers turned away for a reason that takes a reconnection to mend.
const SOON: Duration = Duration::from_secs(1);

impl Entry {
    /// Takes a job or turns it away at once. The answer comes as an action for the key.
    pub fn submit(&mut self, request: Request, queue: Queue, now: Now) -> JobKey {
        self.expire(now);
        let given = request.timeout.saturating_sub(WAY_BACK);
        let job = Job {
            id: request.id,
            tasks: Vec::with_capacity(request.task_count()),
            left: request.task_count(),
            arrived: now.mono,
            deadline: now
                .mono
                .plus(given)
                .min(self.stopping.unwrap_or(Monotonic(u64::MAX))),
            offered: false,
            started: false,
            queue,
            request,
        };
        let key = self.jobs.insert(job);
        if let Err((reason, retry_after)) = self.judge(key, now.mono) {
            self.refuse(key, reason, retry_after, now.mono);
            return key;
        }
        self.add_tasks(key);
        self.dispatch(now);
        key
    }

    /// Judges whether a new job can be served.
    fn judge(&mut self, key: JobKey, now: Monotonic) -> Result<(), (Refusal, Duration)> {
        let job = &self.jobs[key];
        let is_over = |until: Monotonic| until <= now || self.agents.is_empty();
        if self.stopping.is_some_and(is_over) {
            return Err((Refusal::Stopping, SOON));
        }
        if job.left == 0 || !is_order_sound(&job.request.steps) {
            return Err((Refusal::Unsupported, SOON));
        }
        if job
            .request
            .steps
            .iter()
            .any(|step| self.nobody_fits(job, step))
        {
            return Err((Refusal::NoBackend, SOON));
        }
        let slack = self.rank(job, 0).latest_start.since(now);
        let backlog = self.backlog(job);
        if backlog.capacity <= 0.0 {
            return await_first_server(now);
        }
        (self.policy.admit)(&backlog, slack).map_err(|retry_after| {
            let note = LogLine::new("Found no room in time.")
                .with("job", self.jobs[key].id)
                .with("needed_cpu", backlog.needed)
                .with("ahead_cpu", backlog.ahead)
                .with("free_cpu", backlog.free)
                .with("capacity_cpu", backlog.capacity)
                .with("wait_ms", backlog.wait().as_millis())
                .with("slack_ms", slack.as_millis());
            self.note(note);
            (Refusal::Overloaded, retry_after)
        })
    }

    /// Returns whether servers of the service are known and none could ever run the step.
    fn nobody_fits(&self, job: &Job, step: &Step) -> bool {
        let mut known = self
            .agents
            .values()
            .filter_map(|agent| agent.server.as_ref())
            .filter(|server| server.service == job.queue.service)
            .peekable();
        known.peek().is_some() && !known.any(|server| server.capacity.can_hold(&step.needs))
    }

    /// Returns the load that a new job meets.
    fn backlog(&self, job: &Job) -> Backlog {
        let first = |step: &&Step| step.depends_on.is_empty();
        let needed = job.request.steps.iter().filter(first);
        let mut backlog = Backlog {
            priority: job.queue.priority,
            needed: needed
                .map(|step| f64::from(step.needs.cpu_millicores) * f64::from(step.task_count))
                .sum(),
            run: self.estimates.mean_run().mul_f64(self.usual_pace),
            ..Backlog::default()
        };
        for (_rank, key) in &self.waiting {
            let task = &self.tasks[*key];
            let step = &self.jobs[task.job].request.steps[usize::from(task.step)];
            backlog.ahead += f64::from(step.needs.cpu_millicores);
        }
        // The other entries take about as many jobs as this one.
        backlog.ahead *= self.members.len() as f64;
        for agent in self.agents.values() {
            if let Some(server) = agent.server.as_ref()
                && server.service == job.queue.service
                && agent.load.open_slots > 0
            {
                backlog.capacity += f64::from(server.capacity.cpu_millicores);
                backlog.free += f64::from(agent.free().cpu_millicores);
                backlog.ahead += f64::from(agent.load.queued_cpu);
            }
        }
        backlog
    }

    fn add_tasks(&mut self, key: JobKey) {
        let steps = self.jobs[key].request.steps.len() as u16;
        for step in 0..steps {
            let ranked = self.rank(&self.jobs[key], step);
            let spec = &self.jobs[key].request.steps[usize::from(step)];
            let blocked = !spec.depends_on.is_empty();
            for index in 0..spec.task_count {
                let task = self.tasks.insert(Task {
                    job: key,
                    step,
                    index,
                    place: Place::Blocked,
                    failures: 0,
                    tried: smallvec::SmallVec::new(),
                });
                self.jobs[key].tasks.push(task);
                if !blocked {
                    self.wait(task, ranked);
                }
            }
        }
    }

    pub(super) fn wait(&mut self, key: TaskKey, rank: Rank) {
        self.tasks[key].place = Place::Waiting(rank);
        self.waiting.insert((rank, key));
    }

    /// Puts a task back that certainly runs nowhere.
    pub(super) fn wait_again(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let rank = self.rank(&self.jobs[task.job], task.step);
        self.wait(key, rank);
    }

    /// Returns the expected run time of a step's tasks.
    pub(super) fn run_time(&self, job: &Job, step: &Step) -> Duration {
        self.estimates.expect(&job.queue.name, step.estimate)
    }

    /// Returns the work of the longest chain of steps from `first` on.
    pub(super) fn chain(&self, job: &Job, first: u16) -> Duration {
        let steps = &job.request.steps;
        let mut ends = vec![Duration::ZERO; steps.len()];
        for (index, step) in steps.iter().enumerate().skip(usize::from(first)) {
            let before = step
                .depends_on
                .iter()
                .filter_map(|&number| ends.get(usize::from(number)));
            ends[index] = before.max().copied().unwrap_or_default() + self.run_time(job, step);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the latency objective of a job. Declared run times may all be off in one direction,
    /// so the servers' usual pace turns them into true ones.
    fn objective(&self, job: &Job) -> Duration {
        let chain = self.chain(job, 0).mul_f64(self.usual_pace);
        chain.mul_f64(job.queue.objective_factor.max(1.0)) + job.queue.objective_offset
    }

    /// Returns when the answer stops being of use.
    pub(super) fn useful_until(&self, job: &Job) -> Monotonic {
        let useless = self.objective(job).mul_f64(USELESS_AFTER);
        job.arrived.plus(useless).min(job.deadline)
    }

    /// Returns the order of a step's tasks among those that wait.
    pub(super) fn rank(&self, job: &Job, step: u16) -> Rank {
        let objective = job.arrived.plus(self.objective(job));
        let chain = self.chain(job, step).mul_f64(self.usual_pace);
        Rank {
            late: false,
            latest_start: Monotonic(objective.0.saturating_sub(chain.as_micros() as u64)),
            priority: job.queue.priority,
        }
    }

    /// Handles a caller that went away: its tasks stop at once.
    pub fn close(&mut self, key: JobKey, now: Now) {
        if let Some(job) = self.jobs.get(key) {
            let note = LogLine::new("The caller went away.")
                .with("job", job.id)
                .with("age_ms", now.mono.since(job.arrived).as_millis());
            self.note(note);
            self.drop_job(key);
        }
        self.dispatch(now);
    }

    /// Ends the jobs whose time is over, and those that wait and cannot end in time any more.
    pub(super) fn expire_jobs(&mut self, now: Now) {
        let over: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_key, job)| job.deadline <= now.mono)
            .map(|(key, _job)| key)
            .collect();
        for key in over {
            self.give_up(key, now.mono);
        }
        self.refuse_late(now.mono);
        self.give_up_hopeless(now.mono);
    }

    /// Answers a job that will not be completed.
    fn give_up(&mut self, key: JobKey, now: Monotonic) {
        if self.is_untouched(key) {
            self.refuse(key, Refusal::WaitedTooLong, SOON, now);
        } else {
            self.answer(key, Answer::Expired, now);
        }
    }

    /// Gives up the jobs with a task that waits and cannot end in useful time on any server.
    fn give_up_hopeless(&mut self, now: Monotonic) {
        // Late tasks come last.
        if self.waiting.last().is_none_or(|(rank, _key)| !rank.late) {
            return;
        }
        let paces = self
            .agents
            .values()
            .map(|agent| f64::from(agent.load.run_time_ratio));
        let fastest = paces.fold(self.usual_pace, f64::min);
        let hopeless: Vec<JobKey> = self
            .waiting
            .iter()
            .filter(|(rank, _key)| rank.late)
            .map(|(_rank, key)| &self.tasks[*key])
            .filter(|task| {
                let job = &self.jobs[task.job];
                let step = &job.request.steps[usize::from(task.step)];
                let end = now.plus(self.run_time(job, step).mul_f64(fastest));
                end > self.useful_until(job)
            })
            .map(|task| task.job)
            .collect();
        for key in hopeless {
            if self.jobs.contains_key(key) {
                self.give_up(key, now);
            }
        }
    }

    /// Turns away the jobs that have missed their latest start before anything of them was sent:
    /// every server was busy all the while, so they would only make others late as well.
    fn refuse_late(&mut self, now: Monotonic) {
        let late: Vec<JobKey> = self
            .waiting
            .iter()
            .take_while(|(rank, _key)| rank.latest_start < now && !rank.late)
            .map(|(_rank, key)| self.tasks[*key].job)
            .collect();
        for key in late {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if self.is_untouched(key) && self.has_open_server(&job.queue.service) {
                self.refuse(key, Refusal::WaitedTooLong, SOON, now);
            }
        }
    }

    fn has_open_server(&self, service: &str) -> bool {
        self.agents.values().any(|agent| {
            let serves = |server: &ServerState| &*server.service == service && server.ready;
            agent.open() > 0 && agent.server.as_ref().is_some_and(serves)
        })
    }

    /// Returns whether certainly nothing of the job has run or can still start.
    fn is_untouched(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let waits =
            |task: &TaskKey| matches!(self.tasks[*task].place, Place::Waiting(_) | Place::Blocked);
        !job.started && job.tasks.iter().all(waits)
    }

    fn refuse(&mut self, key: JobKey, reason: Refusal, retry_after: Duration, now: Monotonic) {
        let refused = Answer::Refused {
            reason,
            retry_after,
        };
        self.answer(key, refused, now);
    }

    /// Answers the caller and stops whatever of the job is left.
    pub(super) fn answer(&mut self, key: JobKey, answer: Answer, now: Monotonic) {
        let job = &self.jobs[key];
        let mut note = LogLine::new("Answered a job.")
            .with("job", job.id)
            .with("queue", &job.queue.name)
            .with("age_ms", now.since(job.arrived).as_millis())
            .with("objective_ms", self.objective(job).as_millis())
            .with("tasks", job.request.task_count())
            .with("left", job.left)
            .with("started", job.started)
            .with(
                "catalogue",
                self.catalogue.as_ref().map_or(0, |known| known.version),
            );
        note = match answer {
            Answer::Refused { reason, .. } => note
                .with("answer", "refused")
                .with("reason", reason)
                .with("waiting", self.waiting.len())
                .with("agents", self.agents.len()),
            answer => note.with("answer", format_args!("{answer:?}")),
        };
        self.note(note);
        self.actions.push(Action::Answer(key, answer));
        self.drop_job(key);
    }

    /// Forgets a job and cancels what agents have of it.
    fn drop_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let mut cancels: Vec<(LinkKey, DispatchId)> = Vec::new();
        for task_key in job.tasks {
            let Some(task) = self.tasks.remove(task_key) else {
                continue;
            };
            match task.place {
                Place::Waiting(rank) => {
                    self.waiting.remove(&(rank, task_key));
                }
                // The end that this answer is about has taken its own ticket already.
                Place::Sent { link, ticket } if self.sent.remove(&ticket).is_some() => {
                    cancels.push((link, ticket));
                }
                Place::Sent { .. } | Place::Blocked | Place::Orphan { .. } | Place::Done => {}
            }
        }
        cancels.sort_unstable();
        for group in cancels.chunk_by(|a, b| a.0 == b.0) {
            let tickets = group.iter().map(|(_link, ticket)| *ticket).collect();
            self.send(group[0].0, Vec::new(), tickets);
        }
    }

    /// Notes a task that ended well, and answers once all have.
    pub(super) fn complete(&mut self, key: TaskKey, now: Now) {
        let (job_key, step) = (self.tasks[key].job, self.tasks[key].step);
        self.tasks[key].place = Place::Done;
        let job = &mut self.jobs[job_key];
        job.left -= 1;
        job.started = true;
        if job.left == 0 {
            self.answer(job_key, Answer::Completed, now.mono);
        } else {
            self.unblock(job_key, step);
        }
    }

    /// Lets the steps go on that waited for `step` alone.
    fn unblock(&mut self, job_key: JobKey, step: u16) {
        let job = &self.jobs[job_key];
        let done = |number: u16| {
            job.tasks
                .iter()
                .map(|key| &self.tasks[*key])
                .filter(|task| task.step == number)
                .all(|task| task.place == Place::Done)
        };
        if !done(step) {
            return;
        }
        let ready = |task: &Task| {
            let after = &job.request.steps[usize::from(task.step)].depends_on;
            task.place == Place::Blocked
                && after.contains(&step)
                && after.iter().all(|&number| done(number))
        };
        let next: Vec<TaskKey> = job
            .tasks
            .iter()
            .copied()
            .filter(|key| ready(&self.tasks[*key]))
            .collect();
        for key in next {
            self.wait_again(key);
        }
    }

    /// Notes a task that failed; the job fails with its last attempt.
    pub(super) fn fail(&mut self, key: TaskKey, agent: u32, now: Now) {
        let task = &mut self.tasks[key];
        task.failures += 1;
        task.tried.push(agent);
        let (job_key, failures) = (task.job, task.failures);
        let job = &mut self.jobs[job_key];
        job.started = true;
        if failures >= job.queue.max_failed_runs.max(1) {
            self.answer(job_key, Answer::Failed, now.mono);
        } else {
            self.wait_again(key);
        }
    }

    /// Notes a task that was lost where it ran.
    pub(super) fn lose(&mut self, key: TaskKey, agent: u32) {
        let task = &mut self.tasks[key];
        task.tried.push(agent);
        self.jobs[task.job].started = true;
        self.wait_again(key);
    }
}

/// Lets a job wait for the agents that connect to an entry that has just started; an entry without
/// servers at another time cannot tell when one comes.
fn await_first_server(now: Monotonic) -> Result<(), (Refusal, Duration)> {
    // The monotonic clock counts from the start of the process.
    if now.since(Monotonic(0)) < START {
        Ok(())
    } else {
        Err((Refusal::NoBackend, SOON))
    }
}

/// Returns whether each step waits for earlier ones only.
fn is_order_sound(steps: &[Step]) -> bool {
    steps.iter().enumerate().all(|(index, step)| {
        step.depends_on
            .iter()
            .all(|&before| usize::from(before) < index)
    })
}
