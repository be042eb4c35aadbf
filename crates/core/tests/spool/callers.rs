//! Callers: they submit, give up and submit again.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::entry::Answer;
use ibisspool_core::spool::job::{Id, Request, Resources, Step};
use rand::Rng;
use smallvec::smallvec;

use super::{Event, MS, Mutant, World, queue};

impl World {
    pub(super) fn submit(&mut self, job: usize, attempt: u32, index: usize) {
        let caller = &mut self.callers[job];
        if attempt == caller.attempt + 1 {
            // The caller's clock runs from here, whatever happens to the request.
            caller.attempt = attempt;
            caller.over = false;
            caller.at = Some((index, self.entries[index].boot));
            let patience = caller.job.patience;
            self.after(patience, Event::GiveUp { job, attempt });
        } else if caller.attempt != attempt || caller.over {
            return;
        }
        if self.entries[index].entry.is_none() {
            self.answer(job, attempt, None);
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
        let job_of = self.callers[job].job;
        self.work.insert(job_of.id, job);
        let request = Request {
            id: Id(job_of.id),
            spec: Arc::from("work"),
            steps: vec![Step {
                task_count: job_of.tasks,
                needs: Resources {
                    cpu_millicores: job_of.cpu,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: Duration::from_micros(job_of.declared),
                depends_on: smallvec![],
                label: None,
                rack: None,
                max_tasks_per_server: None,
            }],
            timeout: Duration::from_micros(job_of.budget),
        };
        let key = self.with_entry(index, |entry, now| {
            entry.submit(request, queue(job_of.queue), now)
        });
        if let Some(key) = key {
            self.entries[index].jobs.insert(key, (job, attempt));
        }
        self.act_entry(index);
    }

    pub(super) fn give_up(&mut self, job: usize, attempt: u32) {
        let caller = &mut self.callers[job];
        if caller.attempt != attempt || caller.over {
            return;
        }
        caller.over = true;
        if let Some((entry, boot)) = caller.at
            && self.plan.mutant != Some(Mutant::NoClose)
        {
            self.after(
                MS,
                Event::Close {
                    job,
                    attempt,
                    entry,
                    boot,
                },
            );
        }
        self.resubmit(job, attempt, self.safety.resubmit_delay);
    }

    pub(super) fn close(&mut self, job: usize, attempt: u32, index: usize, boot: u64) {
        let slot = &mut self.entries[index];
        if slot.boot != boot || slot.entry.is_none() {
            return;
        }
        if slot.paused {
            slot.inbox.push(Event::Close {
                job,
                attempt,
                entry: index,
                boot,
            });
            return;
        }
        let key = slot
            .jobs
            .iter()
            .find(|(_key, which)| **which == (job, attempt))
            .map(|(key, _which)| *key);
        if let Some(key) = key {
            slot.jobs.remove(&key);
            self.entry(index, |entry, now| entry.close(key, now));
        }
    }

    /// Sends an answer to a caller, `None` if its connection breaks.
    pub(super) fn answer(&mut self, job: usize, attempt: u32, answer: Option<Answer>) {
        let answered = Event::Answered {
            job,
            attempt,
            answer,
        };
        self.after(MS, answered);
    }

    pub(super) fn answered(&mut self, job: usize, attempt: u32, answer: Option<Answer>) {
        let caller = &mut self.callers[job];
        if caller.attempt != attempt || caller.over {
            return;
        }
        caller.over = true;
        let took = self.now - caller.first;
        let (queue, work) = (caller.job.queue, caller.job.work);
        match answer {
            Some(Answer::Completed) => {
                self.seen.completed += 1;
                let objective = work * 16 / 10 + 60 * MS;
                let (came, owed) = (caller.first, caller.job.is_owed());
                if owed && took <= objective {
                    self.seen.count(queue, came, |tally| tally.in_time += 1);
                } else if owed && took <= 3 * objective {
                    self.seen.count(queue, came, |tally| tally.late += 1);
                }
            }
            Some(Answer::Failed) => self.seen.failed += 1,
            Some(Answer::Refused { retry_after, .. }) => {
                caller.refusals += 1;
                self.seen.refused += 1;
                self.seen.refused_after.push(took);
                if took < 3_000 * MS && self.plan.late_orders > 0.0 {
                    self.resubmit(job, attempt, retry_after);
                }
            }
            Some(Answer::Expired) => {
                self.seen.expired += 1;
                self.resubmit(job, attempt, self.safety.resubmit_delay);
            }
            None => self.resubmit(job, attempt, self.safety.resubmit_delay),
        }
    }

    pub(super) fn resubmit(&mut self, job: usize, attempt: u32, delay: Duration) {
        /// Attempts of one caller.
        const ATTEMPTS: u32 = 4;
        if attempt < ATTEMPTS {
            self.seen.resubmitted += 1;
            let entry = self.random.random_range(0..self.plan.entries);
            let next = Event::Submit {
                job,
                attempt: attempt + 1,
                entry,
            };
            self.after(delay.as_micros() as u64, next);
        }
    }
}
