//! State machine of an agent, the only process that starts tasks on its backend server.
//!
//! The [`Ledger`] remembers every start for [`Timing::retention_window`], so that no task starts
//! twice.
//!
//! A permit acts as a fencing token. The agent puts a timestamp of its own clock into each report;
//! an entry echoes, in its orders, the newest timestamp that it received before it confirmed its
//! lease; and the agent starts a task only while the echoed timestamp is at most one lease old. A
//! permit therefore expires no later than the lease of the entry, and an entry that has lost its
//! lease can start no task.

mod connection;
mod ledger;
mod orders;
mod queue;
mod run;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;

use crate::frame::{End, Hello, Load, NotStarted, Order, Outcome, Report};
use crate::job::Task;
use crate::settings::Timing;
use crate::time::{Monotonic, Now};

pub use ledger::{Bounds, Ledger, Record};
pub use queue::{Queue, QueuedTask};

use connection::Connection;
use run::RunningTask;

/// Default number of queued tasks per slot; further dispatches are declined.
const DEFAULT_MAX_QUEUED_PER_SLOT: usize = 4;

/// An agent reports at the shorter interval to an entry for this long after its last order, so that
/// the entry holds a fresh permit for its next task.
const FREQUENT_REPORTS_AFTER_ORDER: Duration = Duration::from_secs(2);

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A connection to an entry was opened.
    Connected {
        /// Number of the connection; numbers are never reused.
        link: u64,
    },
    /// A connection to an entry was closed.
    Disconnected {
        /// Number of the connection.
        link: u64,
    },
    /// An entry sent an order.
    OrderReceived {
        /// Number of the connection.
        link: u64,
        /// The order.
        order: Order,
    },
    /// The backend server registered with this agent or renewed its registration.
    Registered {
        /// Number of tasks that the backend server runs concurrently.
        slots: u32,
        /// Kinds of task that the backend server can run.
        kinds: Vec<String>,
    },
    /// The backend server has deregistered and takes no new tasks.
    Deregistered,
    /// A started task ended, or was abandoned before anything was sent to the backend server: with
    /// [`NotStarted::Stale`] if its permit had expired, with [`NotStarted::Leaving`] if the backend
    /// server could not be reached.
    TaskEnded {
        /// The task.
        task: Task,
        /// How the task ended.
        end: End,
    },
    /// The agent process was asked to shut down.
    Shutdown,
    /// A periodic timer fired.
    Tick,
}

/// An effect that the caller of [`Agent::handle`] must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a report to an entry.
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
        /// When the permit expires. After this time the task must not be sent to the backend
        /// server, because another entry may have taken over the job.
        expires: Monotonic,
    },
    /// Keep a connection open to each of these entries.
    Connect {
        /// Addresses of the entries, `IP:port`.
        entries: Vec<String>,
    },
    /// Count an order that was meant for another incarnation of this agent and was ignored.
    ForeignOrder,
}

/// State machine of one agent.
#[derive(Debug, Clone)]
pub struct Agent {
    hello: Hello,
    incarnation: u64,
    timing: Timing,
    max_queued_per_slot: usize,
    epoch: u64,
    connections: BTreeMap<u64, Connection>,
    queue: Queue,
    running: HashMap<Task, RunningTask>,
    ledger: Ledger,
    /// Tasks whose outcomes no entry has acknowledged and whose connection has closed; an entry
    /// must query them over a new connection.
    undelivered: HashSet<Task>,
    /// Time after which a registration that is not renewed lapses; `None` for never.
    announcement_timeout: Option<Duration>,
    announced_at: Monotonic,
    is_stopping: bool,
    /// Since when a leaving agent has neither running nor queued tasks.
    drained_since: Option<Monotonic>,
    /// Whether the agent has waited long enough for the last acknowledgements to exit anyway.
    is_drain_wait_over: bool,
}

impl Agent {
    /// Creates an agent whose backend server has not registered yet. The agent has no slots until
    /// [`Event::Registered`].
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
            max_queued_per_slot: DEFAULT_MAX_QUEUED_PER_SLOT,
            epoch: 0,
            connections: BTreeMap::new(),
            queue: Queue::new(),
            running: HashMap::new(),
            ledger: Ledger::new(),
            undelivered: HashSet::new(),
            announcement_timeout: None,
            announced_at: Monotonic(0),
            is_stopping: false,
            drained_since: None,
            is_drain_wait_over: false,
        }
    }

    /// Sets how many tasks may be queued per slot before further dispatches are declined.
    #[must_use]
    pub fn with_queue_per_slot(mut self, tasks: usize) -> Self {
        self.max_queued_per_slot = tasks;
        self
    }

    /// Replaces the ledger by an empty one with the given bounds.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.ledger = Ledger::new().with_bounds(bounds);
        self
    }

    /// Treats the backend server as leaving unless it renews its registration within `timeout`.
    /// Without this setting a registration never lapses.
    #[must_use]
    pub fn with_announcement_timeout(mut self, timeout: Duration) -> Self {
        self.announcement_timeout = Some(timeout);
        self
    }

    /// Processes one event and appends the resulting effects to `actions`.
    pub fn handle(&mut self, event: Event, now: Now, actions: &mut Vec<Action>) {
        match event {
            Event::Connected { link } => {
                self.connections.insert(link, Connection::new(now.mono));
            }
            Event::Disconnected { link } => self.close_connection(link),
            Event::OrderReceived { link, order } => self.handle_order(link, order, now, actions),
            Event::Registered { slots, kinds } => self.update_announcement(slots, kinds, now),
            Event::Deregistered => self.start_leaving(now),
            Event::Shutdown => {
                self.is_stopping = true;
                self.start_leaving(now);
            }
            Event::TaskEnded { task, end } => self.handle_task_end(task, end, now),
            Event::Tick => self.handle_tick(now),
        }
        self.start_queued_tasks(now, actions);
        self.send_due_reports(now, actions);
    }

    /// Returns the number of tasks of all entries that run or are queued here.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        }
    }

    /// Returns the ledger of started and declined tasks.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether a leaving agent may exit: no task runs or is queued, and the entries have
    /// acknowledged every outcome or `Timing::agent_loss_timeout` has passed, after which entries
    /// treat the agent as lost anyway.
    pub fn is_drained(&self) -> bool {
        self.hello.leaving
            && self.is_idle()
            && (self.is_drain_wait_over || self.has_only_acknowledged_outcomes())
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn has_only_acknowledged_outcomes(&self) -> bool {
        self.undelivered.is_empty()
            && self
                .connections
                .values()
                .all(Connection::has_only_acknowledged_outcomes)
    }

    fn handle_tick(&mut self, now: Now) {
        let undelivered = &mut self.undelivered;
        self.ledger
            .expire(now.mono, self.timing.retention_window, |task| {
                undelivered.remove(task);
            });
        let has_announcement_lapsed = self
            .announcement_timeout
            .is_some_and(|timeout| now.mono.since(self.announced_at) > timeout);
        if has_announcement_lapsed && self.hello.slots > 0 && !self.hello.leaving {
            self.start_leaving(now);
        }
        if !(self.hello.leaving && self.is_idle()) {
            self.drained_since = None;
            self.is_drain_wait_over = false;
            return;
        }
        let drained_since = *self.drained_since.get_or_insert(now.mono);
        self.is_drain_wait_over = now.mono.since(drained_since) > self.timing.agent_loss_timeout;
    }

    fn close_connection(&mut self, connection: u64) {
        if let Some(state) = self.connections.remove(&connection) {
            self.undelivered.extend(state.into_unacknowledged_tasks());
        }
    }

    fn update_announcement(&mut self, slots: u32, kinds: Vec<String>, now: Now) {
        self.announced_at = now.mono;
        let hello = Hello {
            slots,
            kinds,
            leaving: self.is_stopping,
            ..self.hello.clone()
        };
        if hello != self.hello {
            self.hello = hello;
            self.mark_hello_unsent();
        }
    }

    /// Starts to drain: declines all queued tasks and lets running tasks finish.
    fn start_leaving(&mut self, now: Now) {
        self.hello.leaving = true;
        self.mark_hello_unsent();
        while let Some(queued) = self.queue.pop() {
            self.decline_dispatch(&queued, NotStarted::Leaving, now);
        }
    }

    /// Makes the next report of every connection include the hello.
    fn mark_hello_unsent(&mut self) {
        for connection in self.connections.values_mut() {
            connection.is_hello_sent = false;
        }
    }

    /// Queues an outcome for the next report of a connection, or notes it as undelivered if the
    /// connection has closed.
    fn queue_outcome(&mut self, connection: u64, outcome: Outcome) {
        if let Some(state) = self.connections.get_mut(&connection) {
            self.undelivered.remove(&outcome.task);
            state.unreported.push(outcome);
        } else {
            self.undelivered.insert(outcome.task);
        }
    }

    fn send_due_reports(&mut self, now: Now, actions: &mut Vec<Action>) {
        let load = self.load();
        for (connection, state) in &mut self.connections {
            if state.is_hello_sent && state.unreported.is_empty() && now.mono < state.next_report_at
            {
                continue;
            }
            let interval = if now.mono < state.frequent_reports_until {
                self.timing.report_interval
            } else {
                self.timing.idle_report_interval
            };
            state.next_report_at = now.mono.plus(interval);
            let hello = (!state.is_hello_sent).then(|| self.hello.clone());
            state.is_hello_sent = true;
            let report = Report {
                incarnation: self.incarnation,
                epoch: self.epoch,
                stamp: now.mono,
                load,
                hello,
                outcomes: state.take_unreported(),
            };
            actions.push(Action::Report {
                link: *connection,
                report,
            });
        }
    }
}
