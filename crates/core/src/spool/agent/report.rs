//! Connections to entries: what they are told, and how long their tasks may go on.

use std::time::Duration;

use super::super::message::{End, Load, Outcome, Report, Server, Stamp};
use super::super::note::Note;
use super::{Action, Agent, LinkKey, Phase, Run, RunKey};
use crate::time::{Mono, Now};

/// Time between two reports to an entry without tasks here; entries place nothing on an agent
/// that was silent for most of the silence bound.
const IDLE_REPORT: Duration = Duration::from_millis(200);

/// Time between two reports to an entry that needs few. They show it that the server is there and
/// about how busy.
const REST_REPORT: Duration = Duration::from_secs(1);

/// Time between two reports about the load alone, for each entry that needs many: 250 a second cost a
/// VM with a sixth of a core about 1% of one.
const NEWS_PAUSE: Duration = Duration::from_millis(4);

/// Part of the server's capacity by which its room has to change for a report to an entry that needs
/// few: in a burst such entries have to know that there is no room.
const MUCH: f64 = 1.0 / 3.0;

/// Part of the silence bound after which an agent asks an entry for a sign of life.
const RENEW_PART: f64 = 0.45;

/// Estimated work beyond which more reports do not help placement, in tasks.
const MANY: u32 = 1_000;

/// A connection to an entry.
#[derive(Debug, Clone)]
pub(super) struct Link {
    pub entry: String,
    /// Tasks of the entry may run until then.
    pub permit_until: Mono,
    pub seen: u64,
    pub outcomes: Vec<Outcome>,
    pub last_report: Option<Mono>,
    pub server_sent: Option<Server>,
    pub last_load: Load,
    /// Whether the entry needs few reports.
    pub rests: bool,
}

impl Agent {
    /// Notes a new connection to an entry.
    pub fn connect(&mut self, entry: &str, now: Now) -> LinkKey {
        let note = Note::new("Connected to an entry.").with("entry", entry);
        self.note(note);
        let key = self.links.insert(Link {
            entry: entry.to_owned(),
            permit_until: Mono(0),
            seen: 0,
            outcomes: Vec::new(),
            last_report: None,
            server_sent: None,
            last_load: Load::default(),
            rests: false,
        });
        self.report(key, self.load(now.mono), now.mono);
        key
    }

    /// Notes the end of a connection: everything that came over it stops.
    pub fn disconnect(&mut self, link: LinkKey, now: Now) {
        let Some(gone) = self.links.remove(link) else {
            return;
        };
        let note = Note::warn("Lost the connection to an entry.").with("entry", &gone.entry);
        self.note(note);
        self.stop_link(link, "connection lost", now);
    }

    /// Stops what came over a link and forgets whom to tell.
    fn stop_link(&mut self, link: LinkKey, reason: &'static str, now: Now) {
        let keys: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_key, run)| run.link == Some(link))
            .map(|(key, _run)| key)
            .collect();
        for key in keys {
            self.stop_run(key, End::Lost, reason, now);
            if !self.links.contains_key(link)
                && let Some(run) = self.runs.get_mut(key)
            {
                run.link = None;
            }
        }
    }

    /// Stops the tasks of entries that were silent for too long.
    pub(super) fn expire_links(&mut self, now: Now) {
        let silent: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_key, link)| link.permit_until <= now.mono)
            .map(|(key, _link)| key)
            .collect();
        for link in silent {
            self.stop_link(link, "entry silent", now);
        }
    }

    pub(super) fn is_link_alive(&self, run: &Run, now: Mono) -> bool {
        run.link
            .and_then(|link| self.links.get(link))
            .is_some_and(|link| link.permit_until > now)
    }

    /// Sends the reports that are due.
    pub(super) fn report_due(&mut self, now: Mono) {
        let all = self.report_all_at.is_some_and(|at| at <= now);
        if all {
            self.report_all_at = None;
        }
        let load = self.load(now);
        let pause = self.news_pause();
        let mut next: Option<Mono> = None;
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for key in keys {
            let link = &self.links[key];
            let age = link.last_report.map(|at| now.since(at));
            let waited = |pause| age.is_none_or(|age| age >= pause);
            let (idle, changed) = if link.rests {
                let much = self.has_changed_much(&link.last_load, &load);
                (waited(REST_REPORT), much && waited(IDLE_REPORT))
            } else {
                let news = all && is_news(&link.last_load, &load);
                if news && !waited(pause) {
                    let due = link.last_report.unwrap_or(now).plus(pause);
                    next = Some(next.map_or(due, |next| next.min(due)));
                }
                (waited(IDLE_REPORT), news && waited(pause))
            };
            let renew = self.needs_renewal(key, now)
                && waited(self.safety.silence.mul_f64(RENEW_PART / 2.0));
            if idle || changed || renew || !link.outcomes.is_empty() {
                self.report(key, load, now);
            }
        }
        if let Some(due) = next {
            self.report_all_at = Some(due);
        }
    }

    /// Returns the least time between two reports to one entry that are about the load alone.
    fn news_pause(&self) -> Duration {
        let close = self.links.values().filter(|link| !link.rests).count();
        NEWS_PAUSE * close as u32
    }

    fn has_changed_much(&self, old: &Load, new: &Load) -> bool {
        let capacity = self.backend.as_ref().map_or(0, |known| known.capacity.cpu);
        let change = old.free.cpu.abs_diff(new.free.cpu);
        f64::from(change) > f64::from(capacity) * MUCH || (old.open == 0) != (new.open == 0)
    }

    /// Notes how many reports an entry needs; one that wants many again gets the first at once.
    pub(super) fn set_rest(&mut self, key: LinkKey, rest: bool, now: Mono) {
        if let Some(link) = self.links.get_mut(key) {
            let woken = link.rests && !rest;
            link.rests = rest;
            if woken {
                self.report(key, self.load(now), now);
            }
        }
    }

    /// Returns whether the entry at a connection needs few reports, and so says little itself.
    pub fn rests(&self, key: LinkKey) -> bool {
        self.links.get(key).is_some_and(|link| link.rests)
    }

    /// Returns whether tasks of the entry would soon outlive its permit.
    fn needs_renewal(&self, key: LinkKey, now: Mono) -> bool {
        let link = &self.links[key];
        let soon = now.plus(self.safety.silence.mul_f64(1.0 - RENEW_PART));
        link.permit_until <= soon
            && self
                .runs
                .values()
                .any(|run| run.link == Some(key) && run.phase != Phase::Stopping)
    }

    fn load(&self, now: Mono) -> Load {
        let waiting = || self.runs.values().filter(|run| run.phase == Phase::Queued);
        let queued = waiting().fold(0, |sum: u32, run| sum.saturating_add(run.start.needs.cpu));
        let open = if self.is_open() && !self.is_stop_stuck(now) && self.strays.is_empty() {
            let most = self.health.open(self.started_runs(), now).min(MANY);
            most.saturating_sub(waiting().count() as u32)
        } else {
            0
        };
        let free = waiting().fold(self.free(), |free, run| free.without(&run.start.needs));
        Load {
            free,
            queued,
            open,
            pace: self.health.pace(now),
        }
    }

    fn report(&mut self, key: LinkKey, load: Load, now: Mono) {
        let server = self.backend.as_ref().map(|backend| Server {
            ready: self.is_open(),
            ..backend.server()
        });
        let swept = self.swept;
        let link = &self.links[key];
        let owes = |run: &Run| run.entry == link.entry && run.link != Some(key);
        let cleared = swept && self.strays.is_empty() && !self.runs.values().any(owes);
        let link = &mut self.links[key];
        link.last_report = Some(now);
        link.last_load = load;
        let server = if server == link.server_sent {
            None
        } else {
            link.server_sent.clone_from(&server);
            server
        };
        let report = Report {
            stamp: Stamp(now.0),
            seen: link.seen,
            cleared,
            server,
            load,
            outcomes: std::mem::take(&mut link.outcomes),
        };
        self.actions.push(Action::Report(key, report));
    }
}

/// Returns whether an entry would place differently knowing the new load.
fn is_news(old: &Load, new: &Load) -> bool {
    let opened = (old.open == 0) != (new.open == 0);
    let room = (old.free.cpu < new.free.cpu && old.queued > 0) || (old.free.cpu < LITTLE_CPU);
    opened || (room && old.free.cpu != new.free.cpu)
}

/// Room below which each change counts: about two tasks of the largest usual size.
const LITTLE_CPU: u32 = 4_600;
