//! Drives the state machine of an agent, which does no I/O itself: applies events to it and carries
//! out the resulting actions on the connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{Action, Agent, ConnectionKey, Listing, LongPoll, StartAnswer};
use ibisspool_core::spool::message::{AgentHello, Member};
use ibisspool_core::time::{Monotonic, Now};
use ibisspool_kernel::channel::{Sender, WithPart};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::metrics::Metrics;
use ibisspool_kernel::spool as common;
use ibisspool_platform::executor::{Executor, Incarnation, LongPollError};
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::metrics::AgentMetrics;
use super::settings::Settings;

/// Prefix of the log lines that the state machine writes.
const LOG_PREFIX: &str = "agent";

/// Time after an unanswered call during which the task lists are also polled by a second loop. With
/// 5% of the calls unanswered, the next one comes well within this time, so the second loop goes
/// on.
const UNANSWERED_CALL_WINDOW: Duration = Duration::from_secs(2);

/// The state machine of an agent with its connections. It is shared by all tasks of the event loop.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    agent: RefCell<Agent>,
    /// HTTP client of the backend server, which the platform calls an executor.
    executor: Executor,
    connection_senders: RefCell<SecondaryMap<ConnectionKey, Sender>>,
    members: RefCell<Vec<Member>>,
    /// Notified when `members` has grown.
    pub members_grew: Notify,
    /// Notified at each announcement of the backend server.
    pub backend_announced: Notify,
    /// Notified when a call to the backend server got no answer.
    pub call_unanswered: Notify,
    last_unanswered_call: Cell<Option<Monotonic>>,
    is_report_scheduled: Cell<bool>,
    metrics: AgentMetrics,
}

impl Driver {
    /// Creates an agent without connections.
    pub fn new(settings: &Settings) -> Rc<Self> {
        let clock = Clock::new();
        let hello = AgentHello {
            name: settings.common.name.clone(),
            data_centre: settings.common.data_centre.clone(),
        };
        let agent = Agent::new(hello, settings.common.safety, clock.now());
        Rc::new(Self {
            clock,
            agent: RefCell::new(agent),
            executor: Executor::new(settings.backend_address),
            connection_senders: RefCell::default(),
            members: RefCell::default(),
            members_grew: Notify::new(),
            backend_announced: Notify::new(),
            call_unanswered: Notify::new(),
            last_unanswered_call: Cell::new(None),
            is_report_scheduled: Cell::new(false),
            metrics: AgentMetrics::new(),
        })
    }

    /// Returns the registry of the metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics.registry.clone()
    }

    /// Returns the description of this agent for the first message of a connection.
    pub fn hello(&self) -> AgentHello {
        self.agent.borrow().hello().clone()
    }

    /// Returns the present by the monotonic clock.
    pub fn now(&self) -> Monotonic {
        self.clock.mono()
    }

    /// Applies a change to the state machine, carries out the resulting actions and schedules the
    /// next report if one is due.
    pub fn apply<R, F>(self: &Rc<Self>, change: F) -> R
    where
        F: FnOnce(&mut Agent, Now) -> R,
    {
        let (result, actions, report_due_in) = {
            let mut agent = self.agent.borrow_mut();
            let result = change(&mut agent, self.clock.now());
            (
                result,
                agent.take_actions(),
                agent.report_due_in(self.clock.mono()),
            )
        };
        for action in actions {
            self.execute(action);
        }
        if let Some(delay) = report_due_in
            && !self.is_report_scheduled.replace(true)
        {
            let driver = Rc::clone(self);
            spawn_local(async move {
                tokio::time::sleep(delay).await;
                driver.is_report_scheduled.set(false);
                driver.tick();
            });
        }
        result
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Start {
                key,
                name,
                number,
                spec,
                until,
                token,
                incarnation,
                started_at_ms,
            } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    let target = Incarnation::new(&incarnation, started_at_ms);
                    let answer = driver
                        .executor
                        .start(name, number, &spec, until, token, target)
                        .await;
                    if answer == StartAnswer::Silent {
                        driver.record_unanswered_call();
                    }
                    driver.apply(|agent, now| agent.handle_start_answer(key, answer, now));
                });
            }
            Action::Stop {
                name,
                number,
                token,
            } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    if driver.executor.stop(name, number, token).await {
                        driver.apply(|agent, now| agent.handle_stop_answer(number, token, now));
                    } else {
                        driver.record_unanswered_call();
                    }
                });
            }
            Action::PollNow => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    if let Some(hold) = driver.apply(Agent::next_poll) {
                        let hold = LongPoll {
                            max_wait: Duration::ZERO,
                            ..hold
                        };
                        driver.poll_task_lists_once(hold).await;
                    }
                });
            }
            Action::Report(connection, report, neighbourhood) => {
                for outcome in &report.outcomes {
                    self.metrics.record_outcome(outcome);
                }
                if let Some(sender) = self.connection_senders.borrow().get(connection) {
                    sender.send(&WithPart {
                        message: report,
                        part: neighbourhood,
                    });
                }
            }
            Action::CountEnd(evidence) => self.metrics.record_evidence(evidence),
            Action::CountStop(verdict) => self.metrics.record_stop(verdict),
            Action::CountDoubt(doubt) => self.metrics.record_doubt(doubt),
            Action::WriteLog(line) => common::write_log_line(LOG_PREFIX, &line),
        }
    }

    /// Polls the backend server's lists of running and ended tasks once, which also renews its
    /// lease and acknowledges ends; returns whether it answered with whole lists.
    pub async fn poll_task_lists_once(self: &Rc<Self>, hold: LongPoll) -> bool {
        let asked_at = self.now();
        let incarnation = Arc::clone(&hold.incarnation);
        let listing: Result<Listing, LongPollError> = self.executor.long_poll(hold).await;
        match listing {
            Ok(listing) => {
                self.apply(|agent, now| agent.handle_listing(&listing, asked_at, now));
                !listing.has_gaps()
            }
            Err(LongPollError::Fenced) => {
                self.apply(|agent, _now| agent.raise_fencing_token());
                false
            }
            Err(LongPollError::OtherIncarnation) => {
                self.apply(|agent, now| agent.handle_misdirected_poll(&incarnation, asked_at, now));
                false
            }
            Err(error) => {
                self.record_unanswered_call();
                let refused = error == LongPollError::ConnectionRefused;
                self.apply(|agent, now| agent.handle_failed_poll(refused, now));
                false
            }
        }
    }

    fn record_unanswered_call(&self) {
        self.metrics.unanswered_calls.inc();
        self.last_unanswered_call.set(Some(self.now()));
        self.call_unanswered.notify_one();
    }

    /// Returns whether a call to the backend server got no answer within the last two seconds.
    pub fn had_recent_unanswered_call(&self) -> bool {
        let is_recent = |at| self.now().since(at) < UNANSWERED_CALL_WINDOW;
        self.last_unanswered_call.get().is_some_and(is_recent)
    }

    /// Adds a connection to an entry. The first report is sent over it at once.
    pub fn add_entry_connection(self: &Rc<Self>, entry: &str, sender: Sender) -> ConnectionKey {
        self.apply(|agent, now| {
            let connection = agent.add_connection(entry, now);
            // The sender must be in place before `apply` carries out the first report.
            self.connection_senders
                .borrow_mut()
                .insert(connection, sender);
            connection
        })
    }

    /// Removes a connection to an entry that has ended.
    pub fn remove_entry_connection(self: &Rc<Self>, connection: ConnectionKey) {
        self.connection_senders.borrow_mut().remove(connection);
        self.apply(|agent, now| agent.remove_connection(connection, now));
    }

    /// Returns whether the entry at a connection has no use for this agent now. Such an entry gets
    /// few reports and sends few messages itself.
    pub fn is_idle_connection(&self, connection: ConnectionKey) -> bool {
        self.agent.borrow().has_reduced_reporting(connection)
    }

    /// Lets the state machine handle what is due by now: expiries, starts and reports.
    pub fn tick(self: &Rc<Self>) {
        self.apply(Agent::handle_tick);
    }

    /// Starts the planned stop: no new tasks are accepted, running ones may end.
    pub fn start_drain(self: &Rc<Self>) {
        self.apply(Agent::start_drain);
    }

    /// Returns the number of tasks that are running or queued.
    pub fn task_count(&self) -> usize {
        self.agent.borrow().unfinished_run_count()
    }

    /// Returns all entries known so far.
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// Adds entries to those known and notifies `members_grew` if any is new.
    pub fn add_members(&self, members: Vec<Member>) {
        let mut known = self.members.borrow_mut();
        let known_before = known.len();
        for member in members {
            if !known.contains(&member) {
                known.push(member);
            }
        }
        if known.len() > known_before {
            self.members_grew.notify_waiters();
        }
    }
}
