//! Reconciles the agent's runs with the lists of running and ended tasks that the backend server
//! returns to a long poll.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::TaskName;
use super::super::log_line::LogLine;
use super::super::message::{DeclineReason, End};
use super::announcement::ClockReading;
use super::progress::{Case, Sample, Verdict, Votes};
use super::run::UnknownRun;
use super::{Action, Agent, Evidence, Phase, RunKey};
use crate::time::{Monotonic, Now};

/// Time after which a run that only lists with gaps could show is stopped: more than two long polls,
/// so that a few unreadable rows stop no run.
const MAX_HIDDEN_TIME: Duration = Duration::from_millis(500);

/// A task that the backend server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Name of the task.
    pub name: TaskName,
    /// Start number of the run.
    pub start_number: u64,
    /// Share of the work that is done, `None` if the server did not tell it.
    pub percent: Option<u8>,
}

/// A task that has ended at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Sequence number of the end, rising from 1 in each incarnation of the server.
    pub sequence: u64,
    /// Start number of the run.
    pub start_number: u64,
    /// How the task ended.
    pub end: End,
}

/// Run lists of the backend server at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Incarnation that the poll named, and so the one that answered.
    pub incarnation: Arc<str>,
    /// Wall clock time of the server's start in milliseconds, which tells its incarnations apart; 0
    /// if it was not told.
    pub started_at_ms: u64,
    /// Time on the server's clock in milliseconds.
    pub clock_ms: u64,
    /// Running tasks.
    pub running: Vec<Running>,
    /// Whether `running` lacks tasks: some could not be read, or the list was left out.
    pub lacks_running: bool,
    /// Ends that the agent has not acknowledged, in the order of their sequence numbers.
    pub ended: Vec<Ended>,
    /// Whether `ended` lacks ends: some could not be read, the list was left out, or there were more
    /// than one answer holds.
    pub lacks_ended: bool,
    /// Position in `ended` before which the first unreadable end stood, `None` if all were read.
    pub unreadable_end_at: Option<usize>,
}

impl Listing {
    /// Returns whether the answer tells when the server started. Any server tells it, so an answer
    /// without it proves nothing.
    pub(super) fn tells_start(&self) -> bool {
        self.started_at_ms != 0
    }

    /// Returns whether the lists show the run with the start number `number` as running or ended.
    pub(super) fn contains_run(&self, number: u64) -> bool {
        self.running.iter().any(|run| run.start_number == number)
            || self.ended.iter().any(|end| end.start_number == number)
    }

    /// Returns whether the lists show that the server does not have the run with the start number
    /// `number`. What a list lacks may be that run.
    pub(super) fn rules_out_run(&self, number: u64) -> bool {
        !self.has_gaps() && !self.contains_run(number)
    }

    /// Returns whether one of the lists lacks runs.
    pub fn has_gaps(&self) -> bool {
        self.lacks_running || self.lacks_ended
    }
}

impl Agent {
    /// Handles the answer to a long poll that was sent at `poll_sent_at`. An answer that may be older
    /// than the last one handled is ignored, as is one of an earlier incarnation.
    pub fn handle_listing(&mut self, listing: &Listing, poll_sent_at: Monotonic, now: Now) {
        self.handle_expiries(now);
        if !self.identify_backend(listing, poll_sent_at, now) {
            return;
        }
        self.record_answer(listing, poll_sent_at, now);
        self.process_ends(listing, poll_sent_at, now);
        self.reconcile_running(listing, poll_sent_at, now);
        if !self.has_read_run_lists && !listing.lacks_running {
            self.has_read_run_lists = true;
            let line = LogLine::new("Read the run lists of the backend server.")
                .with("running", listing.running.len())
                .with("strays", self.unknown_runs.len());
            self.log(line);
            self.schedule_load_reports(now.mono);
        }
        self.retry_stops(now);
        self.start_queued_runs(now);
        self.send_due_reports(now.mono);
    }

    fn record_answer(&mut self, listing: &Listing, poll_sent_at: Monotonic, now: Now) {
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        let previous = backend.clock_reading.replace(ClockReading {
            clock_ms: listing.clock_ms,
            requested_at: poll_sent_at,
            received_at: now.mono,
        });
        backend.consecutive_failures = 0;
        if backend.unanswered_at.is_some_and(|at| at <= poll_sent_at) {
            backend.unanswered_at = None;
        }
        if backend.is_unreachable {
            backend.is_unreachable = false;
            self.log(LogLine::new("The backend server is reachable again."));
            self.schedule_load_reports(now.mono);
        }
        if let Some(previous) = previous.filter(|reading| listing.clock_ms < reading.clock_ms) {
            // Leases since then ended too late on the true clock.
            self.allow_for_long_lease(now.mono);
            let line = LogLine::warn("The backend server's clock went back.")
                .with("from_ms", previous.clock_ms)
                .with("to_ms", listing.clock_ms);
            self.log(line);
        }
    }

    fn process_ends(&mut self, listing: &Listing, poll_sent_at: Monotonic, now: Now) {
        for ended in &listing.ended {
            let Some(&key) = self.runs_by_start_number.get(&ended.start_number) else {
                continue;
            };
            let run = &self.runs[key];
            let (name, retried) = (run.start.name, run.start.has_failed_elsewhere);
            match ended.end {
                End::Done => {
                    self.health.record_success();
                    let ran = now.mono.since(run.start_sent_at).as_secs_f64();
                    let estimate = run.start.estimate;
                    if !estimate.is_zero() {
                        let ratio = ran / estimate.as_secs_f64();
                        let is_supported = self.is_supported(key, ratio, now.mono);
                        self.record_ratio(key, ratio, is_supported, now.mono);
                    }
                }
                End::Failed => self.record_failed_task(name, retried, now),
                End::Lost | End::NotStarted(_) => {}
            }
            self.finish_run(key, ended.end, Evidence::ListedEnd(poll_sent_at), now);
        }
        self.acknowledge_ends(listing);
    }

    /// Acknowledges the ends up to the first one that could not be read. The server would list that
    /// one for ever, so it is passed over once no run is left whose end it can be.
    fn acknowledge_ends(&mut self, listing: &Listing) {
        let is_running = |number: &u64| listing.running.iter().any(|r| r.start_number == *number);
        let count = match listing.unreadable_end_at {
            Some(position) if !self.runs_by_start_number.keys().all(is_running) => position,
            _ => listing.ended.len(),
        };
        let sequences = listing.ended.iter().take(count).map(|end| end.sequence);
        if let Some(backend) = self.backend.as_mut() {
            backend.acknowledged_end = sequences.fold(backend.acknowledged_end, u64::max);
        }
    }

    pub(super) fn record_failed_task(&mut self, name: TaskName, retried: bool, now: Now) {
        if self.health.record_failure(name.job, retried, now.mono) {
            let line = LogLine::warn(
                "Opened the circuit breaker of the backend server: consecutive jobs failed.",
            )
            .with("job", name);
            self.log(line);
            self.schedule_load_reports(now.mono);
        }
    }

    /// Reconciles the server's list of running tasks with the runs that the agent has sent to it.
    fn reconcile_running(&mut self, listing: &Listing, poll_sent_at: Monotonic, now: Now) {
        for running in &listing.running {
            match self.runs_by_start_number.get(&running.start_number) {
                Some(&key) => self.handle_listed_run(key, running.percent, now),
                None => self.add_unknown_run(running, now),
            }
        }
        self.judge_listed_runs(listing, now);
        let is_listed = |number: u64| listing.running.iter().any(|run| run.start_number == number);
        self.unknown_runs
            .retain(|unknown| listing.lacks_running || is_listed(unknown.start_number));
        let unlisted: Vec<RunKey> = self
            .runs_by_start_number
            .iter()
            .filter(|(number, _key)| !is_listed(**number))
            .map(|(_number, key)| *key)
            .collect();
        for key in unlisted {
            if listing.has_gaps() {
                self.stop_run_hidden_for_long(key, now);
            } else {
                self.handle_unlisted_run(key, poll_sent_at, now);
            }
        }
    }

    fn add_unknown_run(&mut self, running: &Running, now: Now) {
        if self
            .unknown_runs
            .iter()
            .any(|unknown| unknown.start_number == running.start_number)
        {
            return;
        }
        let line = LogLine::warn("Stopping an unknown run at the backend server.")
            .with("job", running.name)
            .with("run", running.start_number);
        self.log(line);
        self.unknown_runs.push(UnknownRun {
            name: running.name,
            start_number: running.start_number,
            found_at: now.mono,
            stop_sent_at: None,
        });
    }

    /// Updates the phase and the progress of a run that the server lists.
    fn handle_listed_run(&mut self, key: RunKey, percent: Option<u8>, now: Now) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.is_listed = true;
        run.hidden_since = None;
        // A run that was being stopped as not started has started meanwhile.
        run.end_if_stopped = End::Lost;
        if matches!(run.phase, Phase::Starting | Phase::Unconfirmed) {
            run.phase = Phase::Running;
            run.phase_since = now.mono;
        }
        if let Some(percent) = percent {
            run.progress.record(percent, now.mono);
        }
    }

    /// Judges the runs whose progress the lists tell, all by the same lists, and stops those that
    /// have stalled or are too slow here, so that their entries can run them on other servers.
    fn judge_listed_runs(&mut self, listing: &Listing, now: Now) {
        let samples = self.speed_samples(now.mono);
        let listed = listing.running.iter().filter(|row| row.percent.is_some());
        for row in listed {
            let Some(&key) = self.runs_by_start_number.get(&row.start_number) else {
                continue;
            };
            self.judge_run(key, &samples, now);
        }
    }

    /// Returns the evidence of the server's speed: its runs in progress and those that have just
    /// ended. A run that is being stopped tells nothing.
    fn speed_samples(&self, now: Monotonic) -> Vec<Sample> {
        let running = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Running)
            .filter_map(|run| {
                Sample::of_progress(run.start_number, &run.progress, run.start.estimate)
            });
        running.chain(self.recent_ends.samples(now)).collect()
    }

    fn judge_run(&mut self, key: RunKey, samples: &[Sample], now: Now) {
        let slowdown = f64::from(self.health.slowdown(now.mono));
        let run = &self.runs[key];
        if run.phase != Phase::Running {
            return;
        }
        let case = Case {
            start_number: run.start_number,
            progress: &run.progress,
            estimate: run.start.estimate,
            slowdown,
            samples,
        };
        let verdict = (self.policy.judge)(&case, now.mono);
        let reason = match verdict {
            Verdict::OnTrack => return,
            Verdict::Stalled => "stuck",
            Verdict::TooSlow => "too slow here",
        };
        let votes = case.votes();
        let (expected, percent) = (case.expected(), run.progress.percent());
        let predicted = case
            .predicted_and_remaining()
            .map(|(predicted, _remaining)| Duration::from_secs_f64(predicted));
        let (name, retried) = (run.start.name, run.start.has_failed_elsewhere);
        if verdict == Verdict::TooSlow {
            // The task may be long as well, which says nothing about the server.
            let estimate = run.start.estimate.as_secs_f64();
            let own = predicted.map_or(1.0, |predicted| predicted.as_secs_f64() / estimate);
            let ratio = if votes.is_slow() {
                own.min(votes.ratio)
            } else {
                own
            };
            // The votes are those of the verdict: runs that these lists have stopped no longer count.
            self.record_ratio(key, ratio, votes.is_slow(), now.mono);
        } else {
            self.record_failed_task(name, retried, now);
        }
        self.actions.push(Action::CountStop(verdict));
        let details = |line: LogLine| {
            let line = line
                .with("percent", percent)
                .with("expected_ms", expected.as_millis())
                .with("slow_votes", votes.slow)
                .with("healthy_votes", votes.healthy)
                .with("others_ratio", format_args!("{:.2}", votes.ratio))
                .with("slowdown", format_args!("{slowdown:.2}"));
            match predicted {
                Some(predicted) => line.with("predicted_ms", predicted.as_millis()),
                None => line,
            }
        };
        self.stop_run_with_details(key, End::Lost, reason, details, now);
    }

    /// Adds the ratio of run time to estimate of a run to what is known of the server's speed.
    fn record_ratio(&mut self, key: RunKey, ratio: f64, is_supported: bool, now: Monotonic) {
        let run = &self.runs[key];
        let (number, started_at) = (run.start_number, run.start_sent_at);
        self.health.record_ratio(ratio as f32, is_supported, now);
        self.recent_ends.record(number, started_at, ratio, now);
    }

    /// Returns whether other runs support that a run is an outlier because the server is slow.
    fn is_supported(&self, key: RunKey, ratio: f64, now: Monotonic) -> bool {
        let run = &self.runs[key];
        self.health.is_outlier(ratio as f32, now) && {
            let slowdown = f64::from(self.health.slowdown(now));
            let samples = self.speed_samples(now);
            Votes::count(&samples, run.start_number, run.start_sent_at, slowdown).is_slow()
        }
    }

    /// Stops a run that lists with gaps have not shown for a while. The stop is confirmed by whole
    /// lists; without them the lease expires.
    fn stop_run_hidden_for_long(&mut self, key: RunKey, now: Now) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let hidden_since = *run.hidden_since.get_or_insert(now.mono);
        if now.mono.since(hidden_since) >= MAX_HIDDEN_TIME {
            self.stop_run(key, End::Lost, "hidden by gaps in the run lists", now);
        }
    }

    /// Handles a started run that is missing from the whole run lists requested at `poll_sent_at`.
    ///
    /// The lists only say something about the run if they were requested after the run entered its
    /// phase. Equal readings of a coarse clock do not show that, hence the strict comparisons.
    fn handle_unlisted_run(&mut self, key: RunKey, poll_sent_at: Monotonic, now: Now) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        match run.phase {
            // The start request may still be in flight. Only a stop request that was answered makes
            // certain that it has no effect any more.
            Phase::Unconfirmed if poll_sent_at > run.phase_since => {
                self.stop_run(
                    key,
                    End::NotStarted(DeclineReason::Unanswered),
                    "no answer to the start",
                    now,
                );
            }
            Phase::Running if poll_sent_at > run.phase_since => {
                let line = LogLine::warn("A run disappeared from the backend server's lists.")
                    .with("job", run.start.name)
                    .with("run", run.start_number)
                    .with("known_us", now.mono.since(run.phase_since).as_micros())
                    .with("asked_us", now.mono.since(poll_sent_at).as_micros());
                self.log(line);
                self.finish_run(key, End::Lost, Evidence::Unlisted(poll_sent_at), now);
            }
            Phase::Queued | Phase::Starting | Phase::Unconfirmed | Phase::Running => {}
            Phase::Stopping => {
                if run.stop_answered_at.is_some_and(|at| poll_sent_at > at) {
                    let end = run.end_if_stopped;
                    self.finish_run(key, end, Evidence::StoppedAndUnlisted(poll_sent_at), now);
                }
            }
        }
    }
}
