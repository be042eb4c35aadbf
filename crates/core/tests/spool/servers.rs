//! Simulated calls from agents to backend servers, which may be executed late or lose their answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{self, Listing, StartAnswer};
use ibisspool_core::spool::job::TaskName;
use ibisspool_standin::executor::RunningTask;
use rand::Rng;

use super::{
    Call, DRAIN_GRACE_US, Event, MS, Message, Mutant, Process, QUEUES, Renewal, SERVICE,
    StretchedRun, World,
};

/// Time after which a task fails on a backend server with `Fault::FailTasks`.
const FAILURE_DELAY_US: u64 = 5 * MS;

/// Time after which an agent's process takes a call for unanswered.
const CALL_TIMEOUT_US: u64 = 40 * MS;

impl World {
    /// Sends a call to the backend server, which may execute it late or lose its answer.
    pub(super) fn call_server(&mut self, agent: usize, call: Call) {
        let boot = self.agents[agent].boot;
        if self.is_unreachable(agent) || self.is_refusing(agent) {
            self.refuse_connection(agent, boot, &call);
            return;
        }
        let late = self.random.random_bool(self.scenario.late_call_share);
        let lost = self.random.random_bool(self.scenario.lost_answer_share);
        let delay = if late {
            self.random.random_range(2_000 * MS..12_000 * MS)
        } else {
            self.random.random_range(100..500)
        };
        let gets_answer = !late && !lost;
        if !gets_answer {
            self.fail_call(agent, boot, &call, StartAnswer::Silent, CALL_TIMEOUT_US);
        }
        self.schedule_after(
            delay,
            Event::Call {
                agent,
                boot,
                call,
                gets_answer,
                held_since: late.then_some(self.now_us),
            },
        );
    }

    fn is_unreachable(&self, agent: usize) -> bool {
        self.unreachable_until
            .get(&agent)
            .is_some_and(|until| *until > self.now_us)
    }

    /// Returns whether a backend server that lives refuses connections.
    fn is_refusing(&self, agent: usize) -> bool {
        !self.is_unreachable(agent)
            && self
                .refusing_until
                .get(&agent)
                .is_some_and(|until| *until > self.now_us)
    }

    /// Refuses the connection of a call. The agent may handle the refusal after events that
    /// happened later.
    fn refuse_connection(&mut self, agent: usize, boot: u64, call: &Call) {
        let delay = [100, 2_000, 20_000][self.random.random_range(0..3)];
        if self.scenario.mutant == Some(Mutant::TrustRefusals)
            && self.is_refusing(agent)
            && let Call::RenewLease { id, .. } = call
        {
            self.answer_without_runs(agent, boot, *id, delay);
            return;
        }
        self.fail_call(agent, boot, call, StartAnswer::ConnectionRefused, delay);
    }

    /// Answers a lease renewal after `delay` with lists that show no run.
    fn answer_without_runs(&mut self, agent: usize, boot: u64, renewal: u64, delay: u64) {
        let Some(renewal) = self.agents[agent].open_renewals.remove(&renewal) else {
            return;
        };
        let executor = &self.executors[agent];
        let listing = Listing {
            incarnation: Arc::clone(&self.incarnations[agent]),
            started_at_ms: executor.started_us,
            clock_ms: executor.clock_ms(self.now_us),
            ..Listing::default()
        };
        let message = Message::Listing(listing, renewal.sent_at);
        self.end_renewal(agent, boot, renewal, message, delay);
    }

    /// Tells an agent after `delay` that a call got no answer; `answer` is what a start gets. A
    /// lease renewal is sent again.
    fn fail_call(&mut self, agent: usize, boot: u64, call: &Call, answer: StartAnswer, delay: u64) {
        match call {
            Call::Start { key, .. } => {
                let to = Process::Agent(agent);
                let message = Message::StartAnswer(*key, answer);
                self.schedule_after(delay, Event::Deliver { to, boot, message });
            }
            Call::Stop { .. } => {}
            Call::RenewLease { id, .. } => {
                let refused = answer == StartAnswer::ConnectionRefused;
                if let Some(renewal) = self.agents[agent].open_renewals.remove(id) {
                    self.fail_renewal(agent, boot, renewal, refused, delay);
                }
            }
        }
    }

    /// Tells an agent after `delay` that a lease renewal got no answer, and lets it send the next
    /// one.
    pub(super) fn fail_renewal(
        &mut self,
        agent: usize,
        boot: u64,
        renewal: Renewal,
        refused: bool,
        delay: u64,
    ) {
        let message = Message::RenewalFailed(refused);
        self.end_renewal(agent, boot, renewal, message, delay);
    }

    fn end_renewal(
        &mut self,
        agent: usize,
        boot: u64,
        renewal: Renewal,
        message: Message,
        delay: u64,
    ) {
        let to = Process::Agent(agent);
        self.schedule_after(delay, Event::Deliver { to, boot, message });
        if !renewal.is_probe {
            self.schedule_after(delay + 10 * MS, Event::NextRenewal { agent, boot });
        }
    }

    /// Lets an agent renew the lease of its backend server. A probe only asks for the lists of
    /// tasks and returns at once.
    pub(super) fn renew_lease(&mut self, index: usize, probe: bool) {
        let Some(Some(mut hold)) = self.with_agent(index, agent::Agent::next_poll) else {
            if !probe {
                self.agents[index].renews_lease = false;
            }
            return;
        };
        if probe {
            hold.max_wait = Duration::ZERO;
        }
        self.last_renewal_id += 1;
        let id = self.last_renewal_id;
        let renewal = Renewal {
            sent_at: self.process_clock(Process::Agent(index)).mono.0,
            is_probe: probe,
            has_arrived: false,
        };
        self.agents[index].open_renewals.insert(id, renewal);
        self.call_server(index, Call::RenewLease { hold, id, probe });
        self.carry_out_agent_actions(index);
    }

    /// Executes a call on the backend server and sends its answer if it `gets_answer`.
    pub(super) fn execute_call(
        &mut self,
        index: usize,
        boot: u64,
        call: Call,
        mut gets_answer: bool,
    ) {
        if self.is_unreachable(index) {
            if gets_answer {
                self.refuse_connection(index, boot, &call);
            }
            return;
        }
        if gets_answer && self.is_refusing(index) {
            if self.random.random_bool(0.5) {
                self.refuse_connection(index, boot, &call);
                return;
            }
            // The call arrived before its connection broke, and only its answer is lost.
            gets_answer = false;
            self.fail_call(index, boot, &call, StartAnswer::Silent, 100);
        }
        let to = Process::Agent(index);
        let answer_delay = self.random.random_range(100..300);
        let message = match call {
            Call::Start {
                key,
                name,
                number,
                lease_until,
                token,
                incarnation,
                started_at_ms,
                sent,
            } => {
                let started_us = self.executors[index].started_us;
                let answer =
                    if started_at_ms != started_us && !self.scenario.connections_outlast_servers {
                        if sent < started_us {
                            StartAnswer::Silent
                        } else {
                            StartAnswer::OtherIncarnation
                        }
                    } else if incarnation == self.incarnations[index] {
                        self.start_task(index, name, number, lease_until, token, sent)
                    } else {
                        StartAnswer::Refused
                    };
                Message::StartAnswer(key, answer)
            }
            Call::Stop {
                name,
                number,
                token,
            } => {
                let ends_at = self.now_us + self.random.random_range(0..50 * MS);
                let accepted = self.executors[index].stop(name, number, token, ends_at);
                if !accepted {
                    return;
                }
                Message::StopAnswer(number, token)
            }
            Call::RenewLease { hold, id, .. } => {
                let is_misdirected = hold.incarnation != self.incarnations[index];
                let listing = if is_misdirected {
                    None
                } else {
                    self.executors[index].renew_lease(&hold, self.now_us)
                };
                if !gets_answer {
                    return;
                }
                let Some(renewal) = self.agents[index].open_renewals.get_mut(&id) else {
                    return;
                };
                renewal.has_arrived = true;
                let renewal = *renewal;
                let Some(listing) = listing else {
                    self.agents[index].open_renewals.remove(&id);
                    let message = if is_misdirected {
                        Message::RenewalMisdirected(hold.incarnation, renewal.sent_at)
                    } else {
                        Message::RenewalFenced
                    };
                    self.end_renewal(index, boot, renewal, message, answer_delay);
                    return;
                };
                if !hold.max_wait.is_zero() && listing.ended.is_empty() {
                    let wait = hold.max_wait.as_micros() as u64;
                    self.schedule_after(
                        wait,
                        Event::AnswerRenewal {
                            agent: index,
                            boot,
                            renewal: id,
                        },
                    );
                    return;
                }
                self.answer_renewal(index, boot, id);
                return;
            }
        };
        if gets_answer {
            self.schedule_after(answer_delay, Event::Deliver { to, boot, message });
        }
    }

    /// Answers a lease renewal with the lists of tasks and lets the agent send the next one.
    pub(super) fn answer_renewal(&mut self, index: usize, boot: u64, hold: u64) {
        if self.agents[index].boot != boot {
            return;
        }
        let Some(renewal) = self.agents[index].open_renewals.remove(&hold) else {
            return;
        };
        self.executors[index].end_due_tasks(self.now_us);
        let listing = Listing {
            incarnation: Arc::clone(&self.incarnations[index]),
            ..self.executors[index].listing(self.now_us)
        };
        let listing = self.garble(index, listing);
        let to = Process::Agent(index);
        self.schedule_after(
            200,
            Event::Deliver {
                to,
                boot,
                message: Message::Listing(listing, renewal.sent_at),
            },
        );
        if !renewal.is_probe {
            self.schedule_after(400, Event::NextRenewal { agent: index, boot });
        }
    }

    /// Leaves rows out of run lists of a backend server under `Fault::GarbleLists`, and tells so as
    /// the agent's process does.
    fn garble(&mut self, index: usize, mut listing: Listing) -> Listing {
        let Some(&(until, percent)) = self.garbled_until.get(&index) else {
            return listing;
        };
        if until <= self.now_us || !self.random.random_bool(f64::from(percent) / 100.0) {
            return listing;
        }
        match self.random.random_range(0..5) {
            0 => {
                let rows = listing.running.len();
                listing.running.retain(|_row| self.random.random_bool(0.5));
                listing.lacks_running = listing.running.len() < rows;
            }
            1 => {
                let is_readable: Vec<bool> = listing
                    .ended
                    .iter()
                    .map(|_row| self.random.random_bool(0.5))
                    .collect();
                let mut readable = is_readable.iter();
                listing.ended.retain(|_row| readable.next() == Some(&true));
                // As many rows stand before the first unreadable one in the lists that are left.
                listing.unreadable_end_at = is_readable.iter().position(|readable| !readable);
                listing.lacks_ended = listing.unreadable_end_at.is_some();
            }
            2 => {
                listing.running.clear();
                listing.lacks_running = true;
            }
            3 => {
                listing.ended.clear();
                listing.lacks_ended = true;
            }
            _ => {
                // An answer holds a limited number of ends, the earliest ones.
                let rows = listing.ended.len();
                listing.ended.truncate(self.random.random_range(0..=rows));
                listing.lacks_ended = listing.ended.len() < rows;
            }
        }
        for row in &mut listing.running {
            if self.random.random_bool(0.5) {
                row.percent = None;
            }
        }
        if self.scenario.mutant == Some(Mutant::HideGaps) {
            listing.lacks_running = false;
            listing.lacks_ended = false;
            listing.unreadable_end_at = None;
        }
        listing
    }

    /// Changes the ends of the runs on a backend server by the tasks that run beside each now, and
    /// counts the runs that have ended.
    pub(super) fn stretch_runs(&mut self, index: usize) {
        if self.scenario.interference.is_empty() {
            return;
        }
        let now = self.now_us;
        let executor = &mut self.executors[index];
        executor.end_due_tasks(now);
        let runs_here = (index, 0)..=(index, u64::MAX);
        let gone: Vec<(usize, u64)> = self
            .stretched_runs
            .range(runs_here)
            .map(|(key, _run)| *key)
            .filter(|(_index, number)| !executor.running.contains_key(number))
            .collect();
        for key in gone {
            if let Some(run) = self.stretched_runs.remove(&key)
                && run.ends_at_us <= now
            {
                let ran_us = run.ends_at_us - run.started_us;
                let (sum, count) = self.result.stretch.entry(run.queue).or_default();
                *sum += ran_us as f64 / run.alone_us as f64;
                *count += 1;
            }
        }
        let queue_of = |job: u64| self.callers[self.caller_by_job_id[&job]].job.queue;
        let mut cpu_of_queue = [0.0; QUEUES.len()];
        for work in executor.running.values() {
            cpu_of_queue[queue_of(work.name.job.0)] += f64::from(work.cpu_millis);
        }
        let capacity = f64::from(executor.capacity_cpu_millis);
        for (number, work) in &mut executor.running {
            let queue = queue_of(work.name.job.0);
            let mut effect = 0.0;
            for &(victim, neighbour, by_whole_server) in &self.scenario.interference {
                if victim == queue {
                    let own = if neighbour == queue {
                        f64::from(work.cpu_millis)
                    } else {
                        0.0
                    };
                    effect += by_whole_server * (cpu_of_queue[neighbour] - own) / capacity;
                }
            }
            let factor = f64::exp(effect);
            let run = self
                .stretched_runs
                .entry((index, *number))
                .or_insert(StretchedRun {
                    queue,
                    started_us: work.started_us,
                    alone_us: (work.ends_at_us - work.started_us).max(1),
                    factor: 1.0,
                    ends_at_us: work.ends_at_us,
                });
            if !work.is_stopping {
                let left_us = work.ends_at_us.saturating_sub(now) as f64;
                work.ends_at_us = now + (left_us * factor / run.factor).round() as u64;
            }
            run.factor = factor;
            run.ends_at_us = work.ends_at_us;
        }
    }

    /// Notes which tasks have ended as done.
    pub(super) fn record_done_tasks(&mut self) {
        for executor in &mut self.executors {
            executor.end_due_tasks(self.now_us);
            self.done_tasks.extend(executor.done_tasks.drain(..));
        }
    }

    /// Checks that a task may start on a backend server: the server has the service and the label
    /// that the task needs, it has room within the limit of the step, and the steps before are done.
    fn check_start(&mut self, index: usize, name: TaskName) {
        self.record_done_tasks();
        let job = self.callers[self.caller_by_job_id[&name.job.0]].job;
        let kind = self.kinds[index];
        let label = job.label_of(name.step);
        if kind.service != SERVICE || (label.is_some() && label != kind.label) {
            self.record_violation(&format!(
                "{name} requires {label:?} of {SERVICE} and starts on server {index}, {kind:?}"
            ));
        }
        let is_of_step =
            |work: &&RunningTask| (work.name.job, work.name.step) == (name.job, name.step);
        let on_server = self.executors[index].running.values();
        let count = on_server.filter(is_of_step).count();
        if job.spread_limit.is_some_and(|limit| count > limit as usize) {
            self.record_violation(&format!("{count} tasks of the step of {name} on {index}"));
        }
        let is_done = |index| {
            let step = name.step.saturating_sub(1);
            self.done_tasks.contains(&TaskName {
                step,
                index,
                ..name
            })
        };
        if name.step > 0 && !(0..job.tasks).all(is_done) {
            self.record_violation(&format!("{name} starts before the step that it follows"));
        }
    }

    /// Starts a task on a backend server and checks the invariants: those of [`Self::check_start`],
    /// the server isn't over its capacity, a draining server gets no task after the grace time, and no
    /// task runs twice at a time.
    pub(super) fn start_task(
        &mut self,
        index: usize,
        name: TaskName,
        number: u64,
        lease_until: u64,
        token: u64,
        sent: u64,
    ) -> StartAnswer {
        let Some(&job) = self.caller_by_job_id.get(&name.job.0) else {
            return StartAnswer::Refused;
        };
        let job_spec = self.callers[job].job;
        let end_of = |spans: &BTreeMap<usize, u64>| spans.get(&index).copied().unwrap_or(0);
        let is_failing = end_of(&self.failing_until) > self.now_us;
        let stalled_for = end_of(&self.stalled_until).saturating_sub(self.now_us);
        let executor = &mut self.executors[index];
        let duration_us = if is_failing {
            FAILURE_DELAY_US
        } else {
            let work_us = job_spec.work_us as f64 * self.scenario.long_tasks.factor_of(name);
            (work_us * executor.run_time_factor) as u64
        };
        let work = RunningTask {
            name,
            started_us: self.now_us,
            ends_at_us: self.now_us + duration_us + stalled_for,
            will_fail: job_spec.always_fails || is_failing,
            is_stopping: false,
            cpu_millis: job_spec.cpu,
        };
        let answer = executor.start(number, lease_until, token, work, self.now_us);
        if answer != StartAnswer::Started {
            return answer;
        }
        self.stretch_runs(index);
        self.check_start(index, name);
        let executor = &mut self.executors[index];
        self.result.starts += 1;
        let run = (self.now_us, self.now_us + duration_us, job_spec.cpu);
        self.callers[job].runs.push(run);
        if !std::mem::replace(&mut self.callers[job].any_task_ran, true) {
            let waited_us = self.now_us - self.callers[job].first_submitted_at;
            self.result.first_start_us.push(waited_us);
        }
        if executor.used_cpu_millis() > executor.capacity_cpu_millis {
            let used = executor.used_cpu_millis();
            self.record_violation(&format!("server {index} is over its capacity: {used}"));
        }
        // A call that is executed late counts from when it was sent.
        let is_past_grace = |since: u64| sent > since + DRAIN_GRACE_US;
        if self.agents[index].drain_seen_at.is_some_and(is_past_grace) {
            self.record_violation(&format!("{name} started on the draining server {index}"));
        }
        for other in 0..self.executors.len() {
            self.executors[other].end_due_tasks(self.now_us);
            let other_runs = self.executors[other]
                .running
                .iter()
                .filter(|(run, work)| work.name == name && (other != index || **run != number))
                .count();
            if other_runs > 0 {
                self.record_violation(&format!("{name} runs twice: on server {index} and {other}"));
            }
        }
        answer
    }
}
