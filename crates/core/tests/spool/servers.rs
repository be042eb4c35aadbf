//! Calls to backend servers, which may be carried out late or lose their answer.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisspool_core::spool::agent::{self, StartAnswer};
use ibisspool_core::spool::job::TaskName;
use ibisspool_standin::executor::Work;
use rand::Rng;

use super::{Call, DRAIN, Event, MS, Message, Process, World, incarnation_of};

/// Time in which a task fails on a backend server that errs.
const ERRS_WITHIN: u64 = 5 * MS;

/// Patience of the edge.
const PATIENCE: u64 = 40 * MS;

impl World {
    /// Sends an order to the backend server, which may carry it out late or lose its answer.
    pub(super) fn order(&mut self, agent: usize, call: Call) {
        let boot = self.agents[agent].boot;
        if self.is_dark(agent) {
            self.refuse(agent, boot, &call);
            return;
        }
        let late = self.random.random_bool(self.plan.late_orders);
        let lost = self.random.random_bool(self.plan.lost_answers);
        let delay = if late {
            self.random.random_range(2_000 * MS..12_000 * MS)
        } else {
            self.random.random_range(100..500)
        };
        let answered = !late && !lost;
        if !answered {
            self.fail(agent, boot, &call, StartAnswer::Silent, PATIENCE);
        }
        self.after(
            delay,
            Event::Call {
                agent,
                boot,
                call,
                answered,
            },
        );
    }

    fn is_dark(&self, agent: usize) -> bool {
        self.dark.get(&agent).is_some_and(|until| *until > self.now)
    }

    /// Refuses the connection of a call. The agent may look at that after other things that came later.
    fn refuse(&mut self, agent: usize, boot: u64, call: &Call) {
        let delay = [100, 2_000, 20_000][self.random.random_range(0..3)];
        self.fail(agent, boot, call, StartAnswer::Absent, delay);
    }

    /// Tells an agent after a time that a call got no answer, as a start would; a hold is then made
    /// again.
    fn fail(&mut self, agent: usize, boot: u64, call: &Call, answer: StartAnswer, delay: u64) {
        let asked = self.clock(Process::Agent(agent)).mono.0;
        let message = match call {
            Call::Start { key, .. } => Some(Message::StartAnswer(*key, answer)),
            Call::Stop { .. } => None,
            Call::Hold { .. } => {
                let refused = answer == StartAnswer::Absent;
                Some(Message::HoldFailed(asked, refused))
            }
        };
        let to = Process::Agent(agent);
        if let Some(message) = message {
            self.after(delay, Event::Deliver { to, boot, message });
        }
        if let Call::Hold { probe, id, .. } = call {
            self.agents[agent].waiting.remove(id);
            if !probe {
                self.after(delay + 10 * MS, Event::NextHold { agent, boot });
            }
        }
    }

    pub(super) fn hold(&mut self, index: usize, probe: bool) {
        let Some(Some(mut hold)) = self.with_agent(index, agent::Agent::next_poll) else {
            return;
        };
        if probe {
            hold.max_wait = Duration::ZERO;
        }
        self.holds += 1;
        let (id, asked) = (self.holds, self.clock(Process::Agent(index)).mono.0);
        self.agents[index].waiting.insert(id, (asked, probe));
        self.order(index, Call::Hold { hold, id, probe });
        self.act_agent(index);
    }

    pub(super) fn call(&mut self, index: usize, boot: u64, call: Call, answered: bool) {
        if self.is_dark(index) {
            if answered {
                self.refuse(index, boot, &call);
            }
            return;
        }
        let to = Process::Agent(index);
        let back = self.random.random_range(100..300);
        let message = match call {
            Call::Start {
                key,
                name,
                number,
                until,
                token,
                incarnation,
                sent,
            } => {
                let meant = *incarnation == *incarnation_of(&self.executors[index]);
                let answer = if meant {
                    self.start(index, name, number, until, token, sent)
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
                let ends = self.now + self.random.random_range(0..50 * MS);
                let done = self.executors[index].stop(name, number, token, ends);
                if !done {
                    return;
                }
                Message::StopAnswer(number)
            }
            Call::Hold { hold, id, .. } => {
                let meant = *hold.incarnation == *incarnation_of(&self.executors[index]);
                let listing = if meant {
                    self.executors[index].hold(&hold, self.now)
                } else {
                    None
                };
                if !answered || !self.agents[index].waiting.contains_key(&id) {
                    return;
                }
                let waits = !hold.max_wait.is_zero()
                    && listing
                        .as_ref()
                        .is_some_and(|listing| listing.ended.is_empty());
                if waits {
                    let wait = hold.max_wait.as_micros() as u64;
                    self.after(
                        wait,
                        Event::HoldOver {
                            agent: index,
                            boot,
                            hold: id,
                        },
                    );
                    return;
                }
                self.hold_over(index, boot, id);
                return;
            }
        };
        if answered {
            self.after(back, Event::Deliver { to, boot, message });
        }
    }

    /// Answers a hold and lets the agent ask again.
    pub(super) fn hold_over(&mut self, index: usize, boot: u64, hold: u64) {
        if self.agents[index].boot != boot {
            return;
        }
        let Some((asked, probe)) = self.agents[index].waiting.remove(&hold) else {
            return;
        };
        self.executors[index].advance(self.now);
        let listing = self.executors[index].listing(self.now);
        let to = Process::Agent(index);
        self.after(
            200,
            Event::Deliver {
                to,
                boot,
                message: Message::Listing(listing, asked),
            },
        );
        if !probe {
            self.after(400, Event::NextHold { agent: index, boot });
        }
    }

    pub(super) fn start(
        &mut self,
        index: usize,
        name: TaskName,
        number: u64,
        until: u64,
        token: u64,
        sent: u64,
    ) -> StartAnswer {
        let Some(&job) = self.work.get(&name.job.0) else {
            return StartAnswer::Refused;
        };
        let job_of = self.callers[job].job;
        let last = |spans: &BTreeMap<usize, u64>| spans.get(&index).copied().unwrap_or(0);
        let errs = last(&self.erring) > self.now;
        let stands = last(&self.hanging).saturating_sub(self.now);
        let executor = &mut self.executors[index];
        let took = if errs {
            ERRS_WITHIN
        } else {
            (job_of.work as f64 * executor.slowness) as u64
        };
        let work = Work {
            name,
            began: self.now,
            ends: self.now + took + stands,
            fails: job_of.fails || errs,
            stops: false,
            cpu: job_of.cpu,
        };
        let answer = executor.start(number, until, token, work, self.now);
        if answer != StartAnswer::Started {
            return answer;
        }
        self.seen.starts += 1;
        self.callers[job].started = true;
        if executor.used() > executor.capacity {
            let used = executor.used();
            self.violation(&format!("server {index} is over its capacity: {used}"));
        }
        // An order that was carried out late counts from when it was sent.
        let drained = |since: u64| sent > since + DRAIN;
        if self.agents[index].draining.is_some_and(drained) {
            self.violation(&format!("{name} started on the draining server {index}"));
        }
        for other in 0..self.executors.len() {
            self.executors[other].advance(self.now);
            let runs = self.executors[other]
                .running
                .iter()
                .filter(|(run, work)| work.name == name && (other != index || **run != number))
                .count();
            if runs > 0 {
                self.violation(&format!("{name} runs twice: on server {index} and {other}"));
            }
        }
        answer
    }
}
