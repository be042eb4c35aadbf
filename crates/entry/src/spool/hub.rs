//! Holds the decisions of an entry and carries out their actions.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::catalogue::{Queue, Snapshot};
use ibisspool_core::spool::entry::{Action, Answer, Entry, JobKey, LinkKey, Peer};
use ibisspool_core::spool::job::Request;
use ibisspool_core::spool::message::{AgentHello, Gossip, Member};
use ibisspool_core::time::Now;
use ibisspool_kernel::channel::Sender;
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::metrics::Metrics;
use ibisspool_kernel::spool as common;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

use super::metrics::EntryMetrics;
use super::settings::Settings;

/// Prefix of the log lines of decisions.
const LOG_PREFIX: &str = "entry";

/// The decisions with the ends of the connections that they act on.
#[derive(Debug)]
pub struct Hub {
    own_member: Member,
    clock: Clock,
    entry: RefCell<Entry>,
    senders: RefCell<SecondaryMap<LinkKey, Sender>>,
    answer_senders: RefCell<SecondaryMap<JobKey, oneshot::Sender<Answer>>>,
    metrics: EntryMetrics,
    /// Rung when the list of entries has grown.
    pub members_grew: Notify,
}

impl Hub {
    /// Makes the hub of an entry without connections.
    pub fn new(settings: &Settings) -> Rc<Self> {
        let own_member = Member {
            name: settings.common.name.clone(),
            address: settings.advertised_address,
        };
        let entry = Entry::new(own_member.clone(), settings.common.safety, rand::random())
            .with_far(settings.remote_run_factor);
        Rc::new(Self {
            own_member,
            clock: Clock::new(),
            entry: RefCell::new(entry),
            senders: RefCell::default(),
            answer_senders: RefCell::default(),
            metrics: EntryMetrics::new(),
            members_grew: Notify::new(),
        })
    }

    /// Returns this entry as others know it.
    pub fn own_member(&self) -> &Member {
        &self.own_member
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics.registry.clone()
    }

    /// Lets the decisions handle something and carries out what they say.
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
                Action::Answer(key, answer) => {
                    if let Some(answer_sender) = self.answer_senders.borrow_mut().remove(key) {
                        // A caller that has just left needs no answer.
                        let _left = answer_sender.send(answer);
                    }
                }
                Action::Order(link, order) => {
                    if let Some(sender) = self.senders.borrow().get(link) {
                        sender.send(&order);
                    }
                }
                Action::Retried(reason) => self.metrics.count_retry(reason),
                Action::Note(note) => common::log_note(LOG_PREFIX, &note),
            }
        }
    }

    /// Submits a job; its answer comes through the receiver.
    pub fn submit(&self, request: Request, queue: Queue) -> (JobKey, oneshot::Receiver<Answer>) {
        let (answer_sender, answer) = oneshot::channel();
        let key = self.apply(|entry, now| {
            let key = entry.submit(request, queue, now);
            // The answer may be among the actions that follow.
            self.answer_senders.borrow_mut().insert(key, answer_sender);
            key
        });
        (key, answer)
    }

    /// Notes that a caller has gone.
    pub fn abandon_job(&self, key: JobKey) {
        self.metrics.callers_left.inc();
        self.answer_senders.borrow_mut().remove(key);
        self.apply(|entry, now| entry.close(key, now));
    }

    /// Counts an answer.
    pub fn record_answer(&self, answer: Answer, seconds: f64) {
        self.metrics.record_answer(answer, seconds);
    }

    /// Notes a connection of an agent.
    pub fn add_agent_link(&self, hello: AgentHello, sender: Sender) -> LinkKey {
        self.apply(|entry, now| {
            let link = entry.connect(hello, now);
            self.senders.borrow_mut().insert(link, sender);
            link
        })
    }

    /// Notes the end of an agent's connection.
    pub fn remove_agent_link(&self, link: LinkKey) {
        self.senders.borrow_mut().remove(link);
        self.apply(|entry, now| entry.disconnect(link, now));
    }

    /// Does what is due.
    pub fn tick(&self) {
        self.apply(Entry::tick);
    }

    /// Begins the planned stop: each job is answered within `left`.
    pub fn start_drain(&self, time_left: Duration) {
        self.apply(|entry, now| entry.stop(now.mono.plus(time_left)));
    }

    /// Returns the number of jobs whose callers wait.
    pub fn open_jobs(&self) -> usize {
        self.entry.borrow().open_jobs()
    }

    /// Looks at the decisions' state.
    pub fn read<R, F>(&self, view: F) -> R
    where
        F: FnOnce(&Entry) -> R,
    {
        view(&self.entry.borrow())
    }

    /// Returns whether callers are served here.
    pub fn is_ready(&self) -> bool {
        self.entry.borrow().is_ready(self.clock.now().mono)
    }

    /// Takes in what another entry says, or what the store says of entries.
    pub fn add_members(&self, members: &[Member]) {
        if self.apply(|entry, _now| entry.learn_members(members)) {
            self.members_grew.notify_waiters();
        }
    }

    /// Takes a catalogue into force.
    pub fn set_catalogue(&self, catalogue: Arc<Snapshot>, source: &'static str) {
        self.apply(|entry, now| entry.set_catalogue(catalogue, source, now));
    }

    /// Takes in what another entry says.
    pub fn receive_gossip(&self, gossip: Gossip, peer: &mut Peer) {
        peer.hear(&gossip);
        let mut members = gossip.members;
        members.push(gossip.from);
        self.add_members(&members);
        if let Some(catalogue) = gossip.catalogue {
            self.set_catalogue(catalogue, "another entry");
        }
    }
}
