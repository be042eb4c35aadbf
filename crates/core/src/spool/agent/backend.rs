//! The backend server: its announcement, its lease, its answers.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::Resources;
use super::super::message::{Declined, End, Server};
use super::super::note::Note;
use super::{Action, Agent, Health, Phase, RunKey};
use crate::time::{Mono, Now};

/// Longest wait for an end in one hold; short enough to renew the lease twice within it.
const LONGEST_WAIT: Duration = Duration::from_millis(200);

/// Answers that may fail in a row before the server counts as unreachable.
const FAILURES: u32 = 2;

/// How far a refused token is raised; doubled until the server takes it.
const TOKEN_STEP: u64 = 4_000;

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Names the incarnation; orders for another one are refused.
    pub incarnation: Arc<str>,
    /// Wall time of its start in milliseconds; a newer one is another incarnation.
    pub born: u64,
    /// Rises with each announcement of one incarnation.
    pub sequence: u64,
    /// Its service.
    pub service: Arc<str>,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// Whether it takes new tasks; false while it drains.
    pub ready: bool,
}

/// The next look at the lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Incarnation of the server that it is meant for. Another one counts time from its own start,
    /// so the end of the lease would be far off.
    pub incarnation: Arc<str>,
    /// Token that fences off earlier agents.
    pub token: u64,
    /// Ends up to this one were taken note of.
    pub acknowledged: u64,
    /// New end of the lease on the server's clock; `None` lets it run out.
    pub until: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// Answer of the server to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// It does not run and will not: the token was too low.
    Fenced,
    /// It does not run and will not.
    Refused,
    /// Nobody listens at the server's address: no process is there that could run anything.
    Absent,
    /// No connection could be made. The start was not sent; other runs may go on.
    NotSent,
    /// No answer came; it may run, or start later.
    Silent,
}

/// What is known of the server.
#[derive(Debug, Clone)]
pub(super) struct Backend {
    pub incarnation: Arc<str>,
    pub born: u64,
    pub sequence: u64,
    pub service: Arc<str>,
    pub capacity: Resources,
    pub labels: Vec<String>,
    pub ready: bool,
    /// Whether it cannot be reached.
    pub down: bool,
    pub failures: u32,
    /// Its clock, with our time at which it was read.
    pub clock: Option<(u64, Mono)>,
    pub acknowledged: u64,
    /// When the last message that renews the lease was sent.
    pub lease_sent: Option<Mono>,
}

impl Backend {
    pub fn server(&self) -> Server {
        Server {
            service: Arc::clone(&self.service),
            capacity: self.capacity,
            labels: self.labels.clone(),
            ready: self.ready,
        }
    }
}

impl Agent {
    /// Handles an announcement. Older ones than known are ignored.
    pub fn announce(&mut self, announcement: Announcement, now: Now) {
        self.expire(now);
        let known = self.backend.as_ref().map(|b| (b.born, b.sequence));
        let this = (announcement.born, announcement.sequence);
        if known.is_some_and(|known| known > this) {
            let note = Note::new("Ignored an outdated announcement.")
                .with("born", announcement.born)
                .with("sequence", announcement.sequence);
            self.note(note);
            return;
        }
        if known.is_none_or(|(born, _sequence)| born < announcement.born) {
            self.replace_backend(&announcement, now);
        }
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        let changed = backend.ready != announcement.ready
            || backend.service != announcement.service
            || backend.capacity != announcement.capacity;
        backend.incarnation = announcement.incarnation;
        backend.sequence = announcement.sequence;
        backend.ready = announcement.ready;
        backend.service = announcement.service;
        backend.capacity = announcement.capacity;
        backend.labels = announcement.labels;
        if changed {
            let note = Note::new("The backend server changed.")
                .with("service", &backend.service)
                .with("ready", backend.ready)
                .with("cpu", backend.capacity.cpu)
                .with("born", backend.born);
            self.note(note);
            self.decline_queued(now);
            self.report_all(now.mono);
        }
        self.report_due(now.mono);
    }

    /// Starts anew with another incarnation, which runs nothing of ours.
    fn replace_backend(&mut self, announcement: &Announcement, now: Now) {
        let note = Note::new("A backend server started.")
            .with("born", announcement.born)
            .with("service", &announcement.service)
            .with("cpu", announcement.capacity.cpu);
        self.note(note);
        if self.backend.is_some() {
            self.lose_started(|_started| true, now);
            self.fence_incarnation();
        }
        self.strays.clear();
        self.swept = false;
        self.health = Health::default();
        self.backend = Some(Backend {
            incarnation: Arc::clone(&announcement.incarnation),
            born: announcement.born,
            sequence: announcement.sequence,
            service: Arc::clone(&announcement.service),
            capacity: announcement.capacity,
            labels: announcement.labels.clone(),
            ready: announcement.ready,
            down: false,
            failures: 0,
            clock: None,
            acknowledged: 0,
            lease_sent: None,
        });
    }

    /// Raises the token for another incarnation of the server. Its clock starts anew, so the end of
    /// the lease in an order to the incarnation before says nothing; the token refuses it.
    pub(super) fn fence_incarnation(&mut self) {
        self.token += 1;
    }

    /// Handles the server's farewell.
    pub fn leave(&mut self, now: Now) {
        if let Some(backend) = self.backend.as_mut() {
            backend.ready = false;
            self.note(Note::new("The backend server left."));
            self.decline_queued(now);
        }
    }

    /// Ends what the server may have run of the starts sent at the times named: it certainly runs no
    /// more.
    pub(super) fn lose_started<F>(&mut self, is_gone: F, now: Now)
    where
        F: Fn(Mono) -> bool,
    {
        let started = self.by_number.values().copied();
        let keys: Vec<RunKey> = started
            .filter(|key| is_gone(self.runs[*key].started))
            .collect();
        for key in keys {
            self.finish(key, End::Lost, now);
        }
    }

    /// Returns the next look at the lists, `None` while no server is known.
    pub fn next_hold(&mut self, now: Now) -> Option<Hold> {
        self.expire(now);
        let token = self.token;
        let until = self.lease_end(now.mono);
        let backend = self.backend.as_ref()?;
        // A server that does not answer keeps its lease no longer than the last answer allows.
        let renew =
            self.started_runs() > 0 && backend.failures < FAILURES && !self.is_stop_stuck(now.mono);
        let hold = Hold {
            incarnation: Arc::clone(&backend.incarnation),
            token,
            acknowledged: backend.acknowledged,
            until: until.filter(|_| renew),
            wait: if self.swept {
                LONGEST_WAIT
            } else {
                Duration::ZERO
            },
        };
        if hold.until.is_some() {
            self.lease_sent(now.mono);
        }
        Some(hold)
    }

    /// Returns the end of a lease that starts now, on the server's clock.
    ///
    /// The server's clock reads at least what it showed plus the time since, less 2%; the lower
    /// bound keeps the lease short.
    pub(super) fn lease_end(&self, now: Mono) -> Option<u64> {
        let (clock, at) = self.backend.as_ref()?.clock?;
        let since = now.since(at).mul_f64(super::super::safety::SLOWEST_CLOCK);
        Some(clock + (since + self.safety.lease).as_millis() as u64)
    }

    pub(super) fn lease_sent(&mut self, now: Mono) {
        if let Some(backend) = self.backend.as_mut() {
            backend.lease_sent = Some(now);
        }
    }

    /// Handles the answer to a start.
    pub fn start_answer(&mut self, key: RunKey, answer: StartAnswer, now: Now) {
        self.expire(now);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (name, sent) = (run.start.name, run.started);
        if run.phase == Phase::Stopping {
            // The stop has overtaken this answer and decides.
            return;
        }
        match answer {
            StartAnswer::Started => {
                if run.phase != Phase::Running {
                    self.enter(key, Phase::Running, now.mono);
                }
                return;
            }
            StartAnswer::Fenced => self.raise_token(),
            StartAnswer::Refused => {}
            StartAnswer::Absent => self.fail_contact(Some(sent), now),
            StartAnswer::NotSent => self.fail_contact(None, now),
            StartAnswer::Silent => {
                if run.phase == Phase::Starting {
                    self.enter(key, Phase::Unsure, now.mono);
                    self.note(Note::warn("A start got no answer.").with("job", name));
                    self.actions.push(Action::Probe);
                }
                return;
            }
        }
        let note = Note::new("The backend server refused a task.")
            .with("job", name)
            .with("answer", format_args!("{answer:?}"));
        self.note(note);
        if answer == StartAnswer::Refused {
            self.count_bad(name, false, now);
        }
        self.finish(key, End::NotStarted(Declined::Unreachable), now);
        self.report_due(now.mono);
    }

    /// Raises the token above that of an earlier agent.
    pub fn raise_token(&mut self) {
        let excess = self.token.saturating_sub(self.last_number).max(TOKEN_STEP);
        self.token += excess * 2;
        let note = Note::warn("Raised the fencing token.").with("token", self.token);
        self.note(note);
    }

    /// Notes that a hold asked for at `asked` got no answer; `refused` if nobody listens at the
    /// address.
    pub fn hold_failed(&mut self, refused: bool, asked: Mono, now: Now) {
        self.expire(now);
        self.fail_contact(refused.then_some(asked), now);
        self.report_due(now.mono);
    }

    /// Notes a call without an answer, with its time if nobody listened at the address: then no
    /// process is left that could run what was started before. What was started since may be with a
    /// new process; the refusal can have waited while this one announced itself.
    fn fail_contact(&mut self, refused: Option<Mono>, now: Now) {
        let Some(backend) = self.backend.as_mut() else {
            return;
        };
        backend.failures += 1;
        if backend.failures >= FAILURES && !backend.down {
            backend.down = true;
            let note = Note::warn("The backend server does not answer.")
                .with("refused", refused.is_some());
            self.note(note);
            self.decline_queued(now);
            self.report_all(now.mono);
        }
        if let Some(asked) = refused {
            self.lose_started(|started| started < asked, now);
            self.strays.retain(|stray| stray.since >= asked);
        }
    }

    /// Ends the runs whose lease has certainly lapsed.
    pub(super) fn expire_backend(&mut self, now: Now) {
        let Some(sent) = self.backend.as_ref().and_then(|b| b.lease_sent) else {
            return;
        };
        let lapsed = now.mono.since(sent) > self.safety.longest_lease();
        if lapsed && self.started_runs() > 0 {
            self.note(Note::warn("The lease at the backend server lapsed."));
            self.lose_started(|_started| true, now);
        }
    }
}
