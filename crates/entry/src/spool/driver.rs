//! Drives the state machine of an entry, which does no I/O itself: applies events to it and carries
//! out the resulting actions on the connections.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::catalogue::{Queue, Snapshot};
use ibisspool_core::spool::entry::startup::Waiting;
use ibisspool_core::spool::entry::{
    Action, Answer, ConnectionKey, Entry, JobKey, Peer, Refusal, Route,
};
use ibisspool_core::spool::job::Request;
use ibisspool_core::spool::message::{AgentHello, Gossip, Member, QueueLoad};
use ibisspool_core::time::{Monotonic, Now};
use ibisspool_kernel::channel::{Sender, WithPart};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::metrics::Metrics;
use ibisspool_kernel::spool as common;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

use super::catalogue_wait::{CatalogueWait, Ticket};
use super::metrics::EntryMetrics;
use super::settings::Settings;

/// Prefix of the log lines that the state machine writes.
const LOG_PREFIX: &str = "entry";

/// The state machine of an entry with its connections. It is shared by all tasks of the event loop.
#[derive(Debug)]
pub struct Driver {
    own_member: Member,
    clock: Clock,
    entry: RefCell<Entry>,
    connection_senders: RefCell<SecondaryMap<ConnectionKey, Sender>>,
    answer_senders: RefCell<SecondaryMap<JobKey, oneshot::Sender<Answer>>>,
    metrics: EntryMetrics,
    startup_wait: Duration,
    catalogue_wait: RefCell<CatalogueWait>,
    /// Notified when the list of known entries has grown.
    pub members_grew: Notify,
}

impl Driver {
    /// Creates an entry without connections.
    pub fn new(settings: &Settings) -> Rc<Self> {
        let own_member = Member {
            name: settings.common.name.clone(),
            address: settings.advertised_address,
        };
        let entry = Entry::new(own_member.clone(), settings.common.safety, rand::random())
            .with_remote_data_factor(settings.remote_run_factor)
            .with_shedding(settings.sheds_waiting)
            .with_startup_wait(settings.startup_wait);
        let entry = if settings.separates_interfering {
            entry.with_separation()
        } else {
            entry
        };
        let clock = Clock::new();
        let metrics = EntryMetrics::new();
        metrics
            .vm_seconds
            .set(clock.vm_time_at_start().as_secs_f64());
        Rc::new(Self {
            own_member,
            clock,
            entry: RefCell::new(entry),
            connection_senders: RefCell::default(),
            answer_senders: RefCell::default(),
            metrics,
            startup_wait: settings.startup_wait,
            catalogue_wait: RefCell::default(),
            members_grew: Notify::new(),
        })
    }

    /// Returns the name and address by which other processes know this entry.
    pub fn own_member(&self) -> &Member {
        &self.own_member
    }

    /// Returns the time from the start of the VM to that of this process.
    pub fn vm_time_at_start(&self) -> Duration {
        self.clock.vm_time_at_start()
    }

    /// Returns the registry of the metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics.registry.clone()
    }

    /// Applies a change to the state machine and carries out the resulting actions.
    pub fn apply<R, F>(&self, change: F) -> R
    where
        F: FnOnce(&mut Entry, Now) -> R,
    {
        let (result, actions) = {
            let mut entry = self.entry.borrow_mut();
            let result = change(&mut entry, self.clock.now());
            (result, entry.take_actions())
        };
        self.execute_actions(actions);
        result
    }

    fn execute_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAnswer(key, answer) => {
                    if let Some(answer_sender) = self.answer_senders.borrow_mut().remove(key) {
                        // Sending fails if the caller has just disconnected; it needs no answer.
                        let _left = answer_sender.send(answer);
                    }
                }
                Action::SendOrder(connection, order, kinds) => {
                    if let Some(sender) = self.connection_senders.borrow().get(connection) {
                        sender.send(&WithPart {
                            message: order,
                            part: kinds,
                        });
                    }
                }
                Action::ShowInterference(pairs) => self.metrics.show_interference(&pairs),
                Action::CountRetry(reason) => self.metrics.count_retry(reason),
                Action::CountStartup(outcome) => self.metrics.count_startup(outcome),
                Action::WriteLog(line) => common::write_log_line(LOG_PREFIX, &line),
            }
        }
    }

    /// Submits a job whose request arrived at `arrived_at`; the returned receiver gets its answer.
    pub fn submit(
        &self,
        request: Request,
        queue: Queue,
        arrived_at: Monotonic,
    ) -> (JobKey, oneshot::Receiver<Answer>) {
        let (answer_sender, answer) = oneshot::channel();
        let key = self.apply(|entry, now| {
            let key = entry.submit_job_that_arrived(request, queue, arrived_at, now);
            // The sender must be in place before `apply` carries out the actions, which may already
            // include the answer.
            self.answer_senders.borrow_mut().insert(key, answer_sender);
            key
        });
        (key, answer)
    }

    /// Ends a job whose caller has disconnected: its tasks are stopped and no answer is sent.
    pub fn abandon_job(&self, key: JobKey) {
        self.metrics.callers_left.inc();
        self.answer_senders.borrow_mut().remove(key);
        self.apply(|entry, now| entry.remove_abandoned_job(key, now));
    }

    /// Records an answer and the time from the request to it, in seconds.
    pub fn record_answer(&self, answer: Answer, seconds: f64) {
        self.metrics.record_answer(answer, seconds);
    }

    /// Adds a connection that an agent has opened by `route`.
    pub fn add_agent_connection(
        &self,
        hello: AgentHello,
        route: Route,
        sender: Sender,
    ) -> ConnectionKey {
        self.apply(|entry, now| {
            let connection = entry.add_agent(hello, route, now);
            self.connection_senders
                .borrow_mut()
                .insert(connection, sender);
            connection
        })
    }

    /// Removes an agent's connection that has ended.
    pub fn remove_agent_connection(&self, connection: ConnectionKey) {
        self.connection_senders.borrow_mut().remove(connection);
        self.apply(|entry, now| entry.remove_agent(connection, now));
    }

    /// Lets the state machine handle what is due by now: expiries, dispatches and retries.
    pub fn tick(&self) {
        self.apply(Entry::handle_tick);
        let count = self
            .catalogue_wait
            .borrow_mut()
            .refusals
            .take_due(self.now());
        self.log_missing_catalogue(count);
    }

    /// Sets the metrics that are read from the state machine.
    pub fn update_gauges(&self) {
        let load = self.read(|entry| entry.admission_load(self.now()));
        self.metrics.record_admission_load(&load);
        self.metrics.set_startup_times(self.read(Entry::milestones));
    }

    /// Returns the present by the monotonic clock, which counts from the start of the process.
    pub fn now(&self) -> Monotonic {
        self.clock.mono()
    }

    /// Waits for the first catalogue with a request of `bytes` whose caller waits for `budget`.
    /// Returns at once if there is one, or if the request may not wait.
    pub async fn wait_for_catalogue(self: &Rc<Self>, bytes: usize, budget: Option<Duration>) {
        if self.read(|entry| entry.catalogue().is_some()) {
            return;
        }
        let now = self.now();
        let added = self
            .catalogue_wait
            .borrow_mut()
            .add(bytes, budget, self.startup_wait, now);
        let Some((ticket, until, released)) = added else {
            return;
        };
        let _guard = LeaveOnDrop {
            driver: Rc::clone(self),
            ticket,
        };
        // Whether it was released or timed out shows in whether there is a catalogue.
        let _released = tokio::time::timeout(until.since(now), released).await;
    }

    /// Returns the number and size of the requests that wait for the first catalogue.
    pub fn requests_without_catalogue(&self) -> Waiting {
        self.catalogue_wait.borrow().waiting()
    }

    /// Counts a job that was refused for lack of a catalogue.
    pub fn record_missing_catalogue(&self, waited: Duration) {
        let answer = Answer::Refused {
            reason: Refusal::NoCatalogue,
            retry_after: Duration::from_secs(1),
        };
        self.record_answer(answer, waited.as_secs_f64());
        let count = self.catalogue_wait.borrow_mut().refusals.record(self.now());
        self.log_missing_catalogue(count);
    }

    fn log_missing_catalogue(&self, count: Option<u64>) {
        if let Some(count) = count {
            log::warn!(
                "entry: Refused jobs: there is no catalogue yet. count={count} up_ms={}",
                self.now().since(Monotonic(0)).as_millis()
            );
        }
    }

    /// Starts the planned stop: the entry reports itself as not ready, and each job is answered
    /// within `time_left`.
    pub fn start_drain(&self, time_left: Duration) {
        self.apply(|entry, now| entry.begin_shutdown(now.mono.plus(time_left)));
    }

    /// Returns the number of jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.entry.borrow().open_job_count()
    }

    /// Reads from the state machine without changing it.
    pub fn read<R, F>(&self, view: F) -> R
    where
        F: FnOnce(&Entry) -> R,
    {
        view(&self.entry.borrow())
    }

    /// Returns whether the entry accepts jobs, as the readiness check reports it.
    pub fn is_ready(&self) -> bool {
        self.entry.borrow().is_ready(self.clock.now().mono)
    }

    /// Adds entries, named by another entry or the store, to those known, and notifies
    /// `members_grew` if any is new.
    pub fn add_members(&self, members: &[Member]) {
        if self.apply(|entry, _now| entry.add_known_entries(members)) {
            self.members_grew.notify_waiters();
        }
    }

    /// Puts a catalogue into force; `source` says in the log where it came from.
    pub fn set_catalogue(&self, catalogue: Arc<Snapshot>, source: &'static str) {
        self.apply(|entry, now| entry.apply_newer_catalogue(catalogue, source, now));
        self.catalogue_wait.borrow_mut().release_all();
    }

    /// Returns the next request to another entry, with what waits here behind it.
    pub fn gossip_request(&self, peer: &mut Peer) -> WithPart<Gossip, QueueLoad> {
        self.extend_gossip(|entry| entry.gossip_request(peer))
    }

    /// Returns the reply to another entry's request, with what waits here behind it.
    pub fn gossip_reply(&self, peer: &mut Peer) -> WithPart<Gossip, QueueLoad> {
        self.extend_gossip(|entry| entry.gossip_reply(peer))
    }

    fn extend_gossip<F>(&self, message: F) -> WithPart<Gossip, QueueLoad>
    where
        F: FnOnce(&Entry) -> Gossip,
    {
        let now = self.clock.now().mono;
        self.read(|entry| WithPart {
            message: message(entry),
            part: Some(entry.queue_load(now)),
        })
    }

    /// Handles a gossip message of another entry: what waits there, the entries that it knows, and
    /// its catalogue if that is newer. `peer` keeps what the other entry has already received.
    pub fn receive_gossip(&self, received: WithPart<Gossip, QueueLoad>, peer: &mut Peer) {
        let gossip = received.message;
        peer.record_peer_version(&gossip);
        self.apply(|entry, now| entry.record_peer_queue(&gossip.from, received.part, now));
        let mut members = gossip.members;
        members.push(gossip.from);
        self.add_members(&members);
        if let Some(catalogue) = gossip.catalogue {
            self.set_catalogue(catalogue, "another entry");
        }
    }
}

/// Gives up the place of a waiting request when dropped, also if its caller has disconnected.
struct LeaveOnDrop {
    driver: Rc<Driver>,
    ticket: Ticket,
}

impl Drop for LeaveOnDrop {
    fn drop(&mut self) {
        self.driver.catalogue_wait.borrow_mut().remove(self.ticket);
    }
}
