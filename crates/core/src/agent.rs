//! Decisions of an agent: the only starter of tasks on its backend server.
//!
//! The ledger remembers every start for the window, so that no task starts twice. The fence
//! lets a task start only under a permit: a stamp of this agent's own clock, at most one lease
//! old, that the entry echoed.

mod ledger;
mod link;
mod orders;
mod queue;
mod run;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;

use crate::frame::{End, Hello, Load, NotStarted, Order, Outcome, Report};
use crate::job::Task;
use crate::settings::Timing;
use crate::time::{Mono, Now};

pub use ledger::{Bounds, Ledger, Record};
pub use queue::{Queue, Waiting};

use link::Link;
use run::Running;

/// Tasks that wait beyond the slots, as a multiple of the slots.
const QUEUE_PER_SLOT: usize = 4;

/// Reports of a busy connection are sent this long after its last order.
const BUSY: Duration = Duration::from_secs(2);

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A connection to an entry opened.
    Attached {
        /// Number of the connection, never used twice.
        link: u64,
    },
    /// A connection to an entry closed.
    Detached {
        /// Number of the connection.
        link: u64,
    },
    /// An entry sent an order.
    Ordered {
        /// Number of the connection.
        link: u64,
        /// The order.
        order: Order,
    },
    /// The backend server announced itself or renewed its announcement.
    Announced {
        /// Tasks that it runs at the same time.
        slots: u32,
        /// Kinds that it serves.
        kinds: Vec<String>,
    },
    /// The backend server is leaving.
    Left,
    /// A task that was started ended, or was called off before anything was sent to the backend
    /// server: as stale if its permit had expired, as leaving if the server was not reached.
    Ended {
        /// The task.
        task: Task,
        /// How.
        end: End,
    },
    /// The process was asked to stop.
    Stop,
    /// Time passed.
    Tick,
}

/// Something to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Report to an entry.
    Report {
        /// Number of the connection.
        link: u64,
        /// The report.
        report: Report,
    },
    /// Start a task at the backend server.
    Start {
        /// The task.
        task: Task,
        /// Kind of the task.
        kind: String,
        /// Input of the task.
        input: Bytes,
        /// Time within which the backend server must answer, in milliseconds.
        timeout_ms: u64,
        /// When the permit expires. Nothing may be sent to the backend server after it.
        expires: Mono,
    },
    /// Keep connections to these entries.
    Attach {
        /// Their addresses.
        entries: Vec<String>,
    },
    /// Count an order that was meant for another incarnation.
    ForeignOrder,
}

/// State of an agent.
#[derive(Debug, Clone)]
pub struct Agent {
    hello: Hello,
    incarnation: u64,
    timing: Timing,
    queue_per_slot: usize,
    epoch: u64,
    links: BTreeMap<u64, Link>,
    queue: Queue,
    running: HashMap<Task, Running>,
    ledger: Ledger,
    /// Tasks whose outcomes no entry has acknowledged and that no open connection carries.
    undelivered: HashSet<Task>,
    announcement: Option<Duration>,
    renewed: Mono,
    stopping: bool,
    idle_since: Option<Mono>,
    waited: bool,
}

impl Agent {
    /// Makes an agent whose backend server has not announced itself yet.
    pub fn new(name: &str, data_centre: &str, incarnation: u64, timing: Timing) -> Self {
        let hello = Hello {
            agent: name.to_owned(),
            data_centre: data_centre.to_owned(),
            slots: 0,
            kinds: Vec::new(),
            leaving: false,
        };
        Self {
            hello,
            incarnation,
            timing,
            queue_per_slot: QUEUE_PER_SLOT,
            epoch: 0,
            links: BTreeMap::new(),
            queue: Queue::new(),
            running: HashMap::new(),
            ledger: Ledger::new(),
            undelivered: HashSet::new(),
            announcement: None,
            renewed: Mono(0),
            stopping: false,
            idle_since: None,
            waited: false,
        }
    }

    /// Sets how many tasks may wait for each slot before further ones are declined.
    #[must_use]
    pub fn with_queue_per_slot(mut self, tasks: usize) -> Self {
        self.queue_per_slot = tasks;
        self
    }

    /// Replaces the bounds of the ledger.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.ledger = Ledger::new().with_bounds(bounds);
        self
    }

    /// Lets an announcement of the backend server lapse unless it is renewed within `timeout`.
    #[must_use]
    pub fn with_announcement_timeout(mut self, timeout: Duration) -> Self {
        self.announcement = Some(timeout);
        self
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Now, actions: &mut Vec<Action>) {
        match event {
            Event::Attached { link } => {
                self.links.insert(link, Link::new(now.mono));
            }
            Event::Detached { link } => self.detached(link),
            Event::Ordered { link, order } => self.ordered(link, order, now, actions),
            Event::Announced { slots, kinds } => self.announced(slots, kinds, now),
            Event::Left => self.leave(now),
            Event::Stop => {
                self.stopping = true;
                self.leave(now);
            }
            Event::Ended { task, end } => self.ended(task, end, now),
            Event::Tick => self.tick(now),
        }
        self.start_ready(now, actions);
        self.report(now, actions);
    }

    /// Returns the load by all entries together.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        }
    }

    /// Returns the ledger of starts.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether nothing runs or waits and the entries have acknowledged every outcome, or
    /// have had the time after which they give the agent up.
    pub fn is_drained(&self) -> bool {
        self.hello.leaving && self.is_idle() && (self.waited || self.is_settled())
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn is_settled(&self) -> bool {
        self.undelivered.is_empty() && self.links.values().all(Link::is_settled)
    }

    fn tick(&mut self, now: Now) {
        let undelivered = &mut self.undelivered;
        self.ledger.expire(now.mono, self.timing.window, |task| {
            undelivered.remove(task);
        });
        let lapsed = self
            .announcement
            .is_some_and(|timeout| now.mono.since(self.renewed) > timeout);
        if lapsed && self.hello.slots > 0 && !self.hello.leaving {
            self.leave(now);
        }
        if !(self.hello.leaving && self.is_idle()) {
            self.idle_since = None;
            self.waited = false;
            return;
        }
        let since = *self.idle_since.get_or_insert(now.mono);
        self.waited = now.mono.since(since) > self.timing.agent_silence;
    }

    fn detached(&mut self, link: u64) {
        if let Some(state) = self.links.remove(&link) {
            self.undelivered.extend(state.into_unsettled());
        }
    }

    fn announced(&mut self, slots: u32, kinds: Vec<String>, now: Now) {
        self.renewed = now.mono;
        let hello = Hello {
            slots,
            kinds,
            leaving: self.stopping,
            ..self.hello.clone()
        };
        if hello != self.hello {
            self.hello = hello;
            self.tell_all();
        }
    }

    /// Gives back what waits; what runs goes on.
    fn leave(&mut self, now: Now) {
        self.hello.leaving = true;
        self.tell_all();
        while let Some(waiting) = self.queue.pop() {
            self.decline(&waiting, NotStarted::Leaving, now);
        }
    }

    fn tell_all(&mut self) {
        for link in self.links.values_mut() {
            link.told = false;
        }
    }

    fn tell(&mut self, link: u64, outcome: Outcome) {
        if let Some(state) = self.links.get_mut(&link) {
            self.undelivered.remove(&outcome.task);
            state.outcomes.push(outcome);
        } else {
            self.undelivered.insert(outcome.task);
        }
    }

    fn report(&mut self, now: Now, actions: &mut Vec<Action>) {
        let load = self.load();
        for (link, state) in &mut self.links {
            if state.told && state.outcomes.is_empty() && now.mono < state.next_report {
                continue;
            }
            let pause = if now.mono < state.busy_until {
                self.timing.report
            } else {
                self.timing.idle_report
            };
            state.next_report = now.mono.plus(pause);
            let hello = (!state.told).then(|| self.hello.clone());
            state.told = true;
            let report = Report {
                incarnation: self.incarnation,
                epoch: self.epoch,
                stamp: now.mono,
                load,
                hello,
                outcomes: state.take_outcomes(),
            };
            actions.push(Action::Report {
                link: *link,
                report,
            });
        }
    }
}
