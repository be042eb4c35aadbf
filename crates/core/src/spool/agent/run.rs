//! One task at the agent, from its arrival to its end.

use std::time::Duration;

use super::super::job::TaskName;
use super::super::message::{Declined, End, Outcome, Start};
use super::super::note::Note;
use super::{Action, Agent, LinkKey, RunKey};
use crate::time::{Mono, Now};

/// Time between two stops of the same run.
const STOP_AGAIN: Duration = Duration::from_millis(40);

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for room.
    Queued,
    /// The start was sent.
    Starting,
    /// The start got no answer; the lists will show whether it runs.
    Unsure,
    /// The server runs it.
    Running,
    /// It has to go; its room stays reserved until that is certain.
    Stopping,
}

/// One task at the agent.
#[derive(Debug, Clone)]
pub struct Run {
    /// What the entry sent.
    pub start: Start,
    /// Connection that it came over; `None` once that is gone.
    pub link: Option<LinkKey>,
    /// Name of the entry.
    pub entry: String,
    /// When it arrived.
    pub arrived: Mono,
    /// Latest start that meets the objective.
    pub latest_start: Mono,
    /// Where it stands.
    pub phase: Phase,
    /// Since when it stands there.
    pub since: Mono,
    /// Number of the start, 0 before.
    pub number: u64,
    /// When the start was sent.
    pub started: Mono,
    /// Share of the work that is done, in percent, and when that last grew.
    pub progress: (u8, Mono),
    /// When the last stop was sent.
    pub stop_sent: Option<Mono>,
    /// Whether a stop was answered, and when.
    pub stopped: Option<Mono>,
    /// What the entry is told when a stop is confirmed.
    pub on_stopped: End,
}

/// A run that this process did not start, found in the server's list.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stray {
    pub name: TaskName,
    pub number: u64,
    pub since: Mono,
    pub stop_sent: Option<Mono>,
}

impl Agent {
    pub(super) fn enter(&mut self, key: RunKey, phase: Phase, now: Mono) {
        if let Some(run) = self.runs.get_mut(key) {
            run.phase = phase;
            run.since = now;
        }
    }

    /// Stops a run, or drops it if it has not been sent to the server.
    pub(super) fn stop_run(&mut self, key: RunKey, end: End, reason: &'static str, now: Now) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Queued => {
                let end = match end {
                    End::Lost => End::NotStarted(Declined::Stale),
                    end => end,
                };
                self.finish(key, end, now);
            }
            Phase::Stopping => {}
            Phase::Starting | Phase::Unsure | Phase::Running => {
                run.on_stopped = end;
                run.phase = Phase::Stopping;
                run.since = now.mono;
                let note = Note::new("Stopping a task.")
                    .with("job", run.start.name)
                    .with("run", run.number)
                    .with("reason", reason)
                    .with("age_ms", now.mono.since(run.started).as_millis());
                self.note(note);
                self.send_stop(key, now);
            }
        }
    }

    fn send_stop(&mut self, key: RunKey, now: Now) {
        let token = self.token;
        if let Some(run) = self.runs.get_mut(key) {
            run.stop_sent = Some(now.mono);
            let (name, number) = (run.start.name, run.number);
            self.actions.push(Action::Stop {
                name,
                number,
                token,
            });
        }
    }

    /// Repeats each stop until the lists confirm it.
    pub(super) fn repeat_stops(&mut self, now: Now) {
        let due = |sent: Option<Mono>| sent.is_none_or(|at| now.mono.since(at) >= STOP_AGAIN);
        let again: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_key, run)| run.phase == Phase::Stopping && due(run.stop_sent))
            .map(|(key, _run)| key)
            .collect();
        for key in again {
            self.send_stop(key, now);
        }
        let token = self.token;
        for stray in self.strays.iter_mut().filter(|stray| due(stray.stop_sent)) {
            stray.stop_sent = Some(now.mono);
            self.actions.push(Action::Stop {
                name: stray.name,
                number: stray.number,
                token,
            });
        }
    }

    /// Returns whether a stop has gone unconfirmed for so long that the lease has to lapse.
    pub(super) fn is_stop_stuck(&self, now: Mono) -> bool {
        let stuck = |since: Mono| now.since(since) > self.safety.stop_patience;
        self.strays.iter().any(|stray| stuck(stray.since))
            || self
                .runs
                .values()
                .any(|run| run.phase == Phase::Stopping && stuck(run.since))
    }

    /// Notes that the server answered a stop: from now on it refuses the run.
    pub fn stop_answer(&mut self, number: u64, now: Now) {
        if let Some(&key) = self.by_number.get(&number)
            && let Some(run) = self.runs.get_mut(key)
        {
            run.stopped.get_or_insert(now.mono);
            // The lists say whether it is gone; the running hold may wait long for another end.
            self.actions.push(Action::Probe);
        }
    }

    /// Removes a run that certainly does not run any more and tells its entry.
    pub(super) fn finish(&mut self, key: RunKey, end: End, now: Now) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let ran = if run.phase == Phase::Queued {
            Duration::ZERO
        } else {
            self.reserved = self.reserved.without(&run.start.needs);
            self.by_number.remove(&run.number);
            now.mono.since(run.started)
        };
        let note = Note::new("A task ended.")
            .with("job", run.start.name)
            .with("run", run.number)
            .with("end", format_args!("{end:?}"))
            .with("ran_ms", ran.as_millis())
            .with(
                "waited_ms",
                (now.mono.since(run.arrived).saturating_sub(ran)).as_millis(),
            )
            .with("entry", &run.entry);
        self.note(note);
        if let Some(link) = run.link.and_then(|link| self.links.get_mut(link)) {
            link.outcomes.push(Outcome {
                ticket: run.start.ticket,
                end,
                ran,
            });
        }
        self.report_all(now.mono);
    }
}
