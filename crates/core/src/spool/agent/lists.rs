//! The backend server's lists: what they say of our runs.

use super::super::job::TaskName;
use super::super::message::{Declined, End};
use super::super::note::Note;
use super::run::Stray;
use super::{Agent, Health, Phase, RunKey, Verdict};
use crate::time::{Mono, Now};

/// A run in the server's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Name of the task.
    pub name: TaskName,
    /// Number of the start.
    pub number: u64,
    /// Share of the work that is done.
    pub percent: u8,
}

/// An end in the server's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Number of the end, rising from 1 in each incarnation.
    pub sequence: u64,
    /// Number of the start.
    pub number: u64,
    /// How it ended.
    pub end: End,
}

/// Both lists at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Incarnation of the server, 0 if it did not say.
    pub born: u64,
    /// Time on the server's clock in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<Ended>,
}

impl Agent {
    /// Handles an answer to a hold that was asked for at `asked`.
    pub fn listing(&mut self, listing: &Listing, asked: Mono, now: Now) {
        self.expire(now);
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        let outdated = backend
            .clock
            .is_some_and(|(clock, _at)| listing.clock < clock);
        if listing.born < backend.born || (listing.born == backend.born && outdated) {
            return;
        }
        if listing.born > backend.born {
            backend.born = listing.born;
            backend.sequence = 0;
            backend.acknowledged = 0;
            backend.clock = None;
            self.strays.clear();
            self.lose_started(|_started| true, now);
            self.fence_incarnation();
            self.note(Note::warn("The backend server started again.").with("born", listing.born));
        }
        self.reached(listing.clock, now);
        self.take_ends(listing, now);
        self.compare(listing, asked, now);
        if !self.swept {
            self.swept = true;
            let note = Note::new("Read what runs at the backend server.")
                .with("running", listing.running.len())
                .with("strays", self.strays.len());
            self.note(note);
            self.report_all(now.mono);
        }
        self.repeat_stops(now);
        self.start_queued(now);
        self.report_due(now.mono);
    }

    fn reached(&mut self, clock: u64, now: Now) {
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        backend.failures = 0;
        backend.clock = Some((clock, now.mono));
        if backend.down {
            backend.down = false;
            self.note(Note::new("The backend server answers again."));
            self.report_all(now.mono);
        }
    }

    fn take_ends(&mut self, listing: &Listing, now: Now) {
        for ended in &listing.ended {
            if let Some(backend) = self.backend.as_mut() {
                backend.acknowledged = backend.acknowledged.max(ended.sequence);
            }
            let Some(&key) = self.by_number.get(&ended.number) else {
                continue;
            };
            let run = &self.runs[key];
            let (name, retried) = (run.start.name, run.start.retried);
            let ran = now.mono.since(run.started);
            let (estimate, on_stopped) = (run.start.estimate, run.on_stopped);
            match ended.end {
                End::Done => self.health.good(ran, estimate, now.mono),
                End::Failed => self.count_bad(name, retried, now),
                End::Lost | End::NotStarted(_) => {}
            }
            let end = match ended.end {
                End::Lost => on_stopped,
                end => end,
            };
            self.finish(key, end, now);
        }
    }

    pub(super) fn count_bad(&mut self, name: TaskName, retried: bool, now: Now) {
        if self.health.bad(name.job, retried, now.mono) {
            self.note(
                Note::warn("Closed the backend server: jobs fail in a row.").with("job", name),
            );
            self.report_all(now.mono);
        }
    }

    /// Compares the list of runs with what should run.
    fn compare(&mut self, listing: &Listing, asked: Mono, now: Now) {
        for running in &listing.running {
            match self.by_number.get(&running.number) {
                Some(&key) => self.progress(key, running.percent, now),
                None => self.add_stray(running, now),
            }
        }
        let listed = |number: u64| listing.running.iter().any(|run| run.number == number);
        self.strays.retain(|stray| listed(stray.number));
        let missing: Vec<RunKey> = self
            .by_number
            .iter()
            .filter(|(number, _key)| !listed(**number))
            .map(|(_number, key)| *key)
            .collect();
        for key in missing {
            self.missing(key, asked, now);
        }
    }

    fn add_stray(&mut self, running: &Running, now: Now) {
        if self
            .strays
            .iter()
            .any(|stray| stray.number == running.number)
        {
            return;
        }
        let note = Note::warn("Stopping a run that nobody claims.")
            .with("job", running.name)
            .with("run", running.number);
        self.note(note);
        self.strays.push(Stray {
            name: running.name,
            number: running.number,
            since: now.mono,
            stop_sent: None,
        });
    }

    /// Handles a run that the list shows.
    fn progress(&mut self, key: RunKey, percent: u8, now: Now) {
        let pace = f64::from(self.health.pace(now.mono)).clamp(0.5, 2.0);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.phase, Phase::Starting | Phase::Unsure) {
            run.phase = Phase::Running;
            run.since = now.mono;
        }
        if percent > run.progress.0 {
            run.progress = (percent, now.mono);
        }
        if run.phase != Phase::Running {
            return;
        }
        let ran = now.mono.since(run.started);
        let expected = run.start.estimate.mul_f64(pace);
        let still = now.mono.since(run.progress.1);
        let (name, retried, estimate) = (run.start.name, run.start.retried, run.start.estimate);
        match Health::judge(ran, expected, percent, still) {
            Verdict::Fine => {}
            Verdict::Stuck => {
                self.count_bad(name, retried, now);
                self.stop_run(key, End::Lost, "stuck", now);
            }
            Verdict::TooSlow => {
                let predicted = ran.mul_f64(100.0 / f64::from(percent.max(1)));
                self.health.learn(predicted, estimate, now.mono);
                self.stop_run(key, End::Lost, "too slow here", now);
            }
        }
    }

    /// Handles a started run that the list, asked for at `asked`, does not show. Only a list asked for
    /// after the run was known says something; at the same reading of a coarse clock it may have been
    /// asked for before.
    fn missing(&mut self, key: RunKey, asked: Mono, now: Now) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        match run.phase {
            // The start may still be on its way: only an answered stop makes it harmless.
            Phase::Unsure if asked > run.since => {
                self.stop_run(
                    key,
                    End::NotStarted(Declined::Unanswered),
                    "no answer to the start",
                    now,
                );
            }
            Phase::Running if asked > run.since => {
                let note = Note::warn("A list no longer shows a run.")
                    .with("job", run.start.name)
                    .with("run", run.number)
                    .with("known_us", now.mono.since(run.since).as_micros())
                    .with("asked_us", now.mono.since(asked).as_micros());
                self.note(note);
                self.finish(key, End::Lost, now);
            }
            Phase::Queued | Phase::Starting | Phase::Unsure | Phase::Running => {}
            Phase::Stopping => {
                if run.stopped.is_some_and(|at| asked > at) {
                    let end = run.on_stopped;
                    self.finish(key, end, now);
                }
            }
        }
    }
}
