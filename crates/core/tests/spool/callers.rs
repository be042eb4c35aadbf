//! Simulated callers: submission, timeout, answer and resubmission of jobs.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::entry::{Answer, Refusal};
use ibisspool_core::spool::job::{Id, Request, Resources, Step};
use rand::Rng;

use super::{Event, MS, Mutant, World, queue};

impl World {
    /// Submits an attempt of a caller's job to an entry.
    pub(super) fn submit(&mut self, job: usize, attempt: u32, index: usize) {
        let caller = &mut self.callers[job];
        if attempt == caller.attempt + 1 {
            // The caller's timeout starts with the attempt, even if the entry is paused or down.
            caller.attempt = attempt;
            caller.is_done = false;
            caller.arrived_at = None;
            caller.current_entry = Some((index, self.entries[index].boot));
            let patience = caller.job.patience_us;
            self.schedule_after(patience, Event::AttemptTimeout { job, attempt });
        } else if caller.attempt != attempt || caller.is_done {
            return;
        }
        let boot = self.entries[index].boot;
        let is_of_lost_process = self.callers[job].arrived_at.is_some()
            && self.callers[job].current_entry != Some((index, boot));
        if self.entries[index].entry.is_none() || is_of_lost_process {
            self.send_answer(job, attempt, None);
            return;
        }
        if self.entries[index].paused {
            let event = Event::Submit {
                job,
                attempt,
                entry: index,
            };
            self.entries[index].inbox.push(event);
            return;
        }
        let now = self.process_clock(super::Process::Entry(index)).mono;
        let arrived_at = *self.callers[job].arrived_at.get_or_insert(now);
        let has_catalogue = self.with_entry(index, |entry, _now| entry.catalogue().is_some());
        if has_catalogue == Some(false) {
            self.wait_for_catalogue(job, attempt, index);
            return;
        }
        let job_spec = self.callers[job].job;
        self.caller_by_job_id.insert(job_spec.id, job);
        let request = Request {
            id: Id(job_spec.id),
            spec: Arc::from("work"),
            steps: (0..job_spec.steps)
                .map(|number| Step {
                    task_count: job_spec.tasks,
                    needs: Resources {
                        cpu_millicores: job_spec.cpu,
                        memory_mb: 64,
                        accelerators: 0,
                    },
                    estimate: Duration::from_micros(job_spec.declared_us),
                    depends_on: number.checked_sub(1).into_iter().collect(),
                    label: job_spec.label_of(number).map(Arc::from),
                    rack: None,
                    max_tasks_per_server: job_spec.spread_limit,
                })
                .collect(),
            timeout: Duration::from_micros(job_spec.budget_us),
        };
        let key = self.with_entry(index, |entry, now| {
            entry.submit_job_that_arrived(request, queue(job_spec.queue), arrived_at, now)
        });
        if let Some(key) = key {
            self.entries[index].open_jobs.insert(key, (job, attempt));
        }
        self.carry_out_entry_actions(index);
    }

    /// Refuses a request that arrives before the first catalogue, or submits it again with the
    /// catalogue, as the entry's process does.
    fn wait_for_catalogue(&mut self, job: usize, attempt: u32, index: usize) {
        if self.scenario.waits_for_catalogue {
            let at = self.entries[index].started_us + self.scenario.catalogue_after_us + 1;
            let event = Event::Submit {
                job,
                attempt,
                entry: index,
            };
            self.schedule_at(at, event);
        } else {
            let answer = Answer::Refused {
                reason: Refusal::NoCatalogue,
                retry_after: Duration::from_secs(1),
            };
            self.send_answer(job, attempt, Some(answer));
        }
    }

    /// Lets a caller give up an attempt: the caller closes its connection and submits again later.
    pub(super) fn time_out_attempt(&mut self, job: usize, attempt: u32) {
        let caller = &mut self.callers[job];
        if caller.attempt != attempt || caller.is_done {
            return;
        }
        caller.is_done = true;
        let (queue, runs) = (caller.job.queue, std::mem::take(&mut caller.runs));
        let current_entry = caller.current_entry;
        self.count_wasted(queue, &runs);
        if let Some((entry, boot)) = current_entry
            && self.scenario.mutant != Some(Mutant::MissCallerDisconnect)
        {
            self.schedule_after(
                MS,
                Event::CallerClosed {
                    job,
                    attempt,
                    entry,
                    boot,
                },
            );
        }
        self.schedule_resubmission(job, attempt, self.safety.resubmit_delay);
    }

    /// Tells an entry that a caller has closed its connection.
    pub(super) fn close_at_entry(&mut self, job: usize, attempt: u32, index: usize, boot: u64) {
        let process_state = &mut self.entries[index];
        if process_state.boot != boot || process_state.entry.is_none() {
            return;
        }
        if process_state.paused {
            process_state.inbox.push(Event::CallerClosed {
                job,
                attempt,
                entry: index,
                boot,
            });
            return;
        }
        let key = process_state
            .open_jobs
            .iter()
            .find(|(_key, attempt_key)| **attempt_key == (job, attempt))
            .map(|(key, _attempt_key)| *key);
        if let Some(key) = key {
            process_state.open_jobs.remove(&key);
            self.drive_entry(index, |entry, now| entry.remove_abandoned_job(key, now));
        }
    }

    /// Sends an answer to a caller, `None` if the entry fails and the connection breaks.
    pub(super) fn send_answer(&mut self, job: usize, attempt: u32, answer: Option<Answer>) {
        let answered = Event::Answered {
            job,
            attempt,
            answer,
        };
        self.schedule_after(MS, answered);
    }

    /// Counts the answer to an attempt and submits the job again if the answer allows that.
    pub(super) fn receive_answer(&mut self, job: usize, attempt: u32, answer: Option<Answer>) {
        let caller = &mut self.callers[job];
        if caller.attempt != attempt || caller.is_done {
            return;
        }
        caller.is_done = true;
        let runs = std::mem::take(&mut caller.runs);
        let elapsed_us = self.now_us - caller.first_submitted_at;
        let (queue, work) = (caller.job.queue, caller.job.work_us);
        match answer {
            Some(Answer::Completed) => {
                self.result.completed += 1;
                let objective = work * 16 / 10 + 60 * MS;
                let (submitted_at, is_servable) =
                    (caller.first_submitted_at, caller.job.is_servable());
                if is_servable && elapsed_us <= objective {
                    self.result
                        .tally_job(queue, submitted_at, |tally| tally.in_time += 1);
                } else if is_servable && elapsed_us <= 3 * objective {
                    self.result
                        .tally_job(queue, submitted_at, |tally| tally.late += 1);
                } else {
                    self.count_wasted(queue, &runs);
                }
            }
            Some(Answer::Failed) => {
                self.result.failed += 1;
                self.count_wasted(queue, &runs);
            }
            Some(Answer::Refused { retry_after, .. }) => {
                caller.refusals += 1;
                self.result.refused += 1;
                if caller.job.is_servable() {
                    let submitted_at = caller.first_submitted_at;
                    self.result
                        .tally_job(queue, submitted_at, |tally| tally.refused += 1);
                }
                self.result.refused_after_us.push(elapsed_us);
                self.result.refused_by_queue[queue] += 1;
                self.result.retry_after_s.push(retry_after.as_secs());
                self.count_wasted(queue, &runs);
                let retries = self.scenario.retries_refusals || self.scenario.late_call_share > 0.0;
                if elapsed_us < 3_000 * MS && retries {
                    self.schedule_resubmission(job, attempt, retry_after);
                }
            }
            Some(Answer::Expired) => {
                self.result.expired += 1;
                self.result.expired_by_queue[queue] += 1;
                self.count_wasted(queue, &runs);
                self.schedule_resubmission(job, attempt, self.safety.resubmit_delay);
            }
            None => self.schedule_resubmission(job, attempt, self.safety.resubmit_delay),
        }
    }

    /// Counts the CPU time of runs whose job was of no use to its caller.
    fn count_wasted(&mut self, queue: usize, runs: &[(u64, u64, u32)]) {
        for (started, ends, cpu) in runs {
            let ran_us = (*ends).min(self.now_us).saturating_sub(*started);
            self.result.wasted_cpu_s[queue] += ran_us as f64 / 1e6 * f64::from(*cpu) / 1e3;
        }
    }

    pub(super) fn schedule_resubmission(&mut self, job: usize, attempt: u32, delay: Duration) {
        /// Most attempts of one caller.
        const MAX_ATTEMPTS: u32 = 4;
        if attempt < MAX_ATTEMPTS {
            self.result.resubmitted += 1;
            let entry = self.random.random_range(0..self.scenario.entries);
            let next = Event::Submit {
                job,
                attempt: attempt + 1,
                entry,
            };
            self.schedule_after(delay.as_micros() as u64, next);
        }
    }
}
