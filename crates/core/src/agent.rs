//! Decisions of an agent: the only starter of tasks on its backend server.
//!
//! The ledger remembers every start for the window, so that no task starts twice. The fence
//! lets a task start only under a permit: a stamp of this agent's own clock, at most one lease
//! old, that the entry echoed.

mod ledger;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::frame::{Attempt, Dispatch, End, Hello, Load, NotStarted, Order, Outcome, Report};
use crate::job::Task;
use crate::settings::Timing;
use crate::time::{Mono, Now};

pub use ledger::{Ledger, Record};

/// Tasks that wait beyond the slots, as a multiple of the slots.
const QUEUE_PER_SLOT: usize = 4;

/// Reports of a busy connection are sent this long after its last order.
const BUSY: std::time::Duration = std::time::Duration::from_secs(2);

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
    /// A task that was started ended.
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
    },
    /// Keep connections to these entries.
    Attach {
        /// Their addresses.
        entries: Vec<String>,
    },
    /// Count an order that was meant for another incarnation.
    ForeignOrder,
}

#[derive(Debug, Clone)]
struct Link {
    permit: Option<Mono>,
    told: bool,
    next_report: Mono,
    busy_until: Mono,
    outcomes: Vec<Outcome>,
}

#[derive(Debug, Clone)]
struct Waiting {
    link: u64,
    dispatch: Dispatch,
    since: Mono,
}

#[derive(Debug, Clone)]
struct Running {
    link: u64,
    attempt: u32,
    queue_us: u64,
    since: Mono,
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
    queue: VecDeque<Waiting>,
    running: BTreeMap<Task, Running>,
    ledger: Ledger,
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
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            ledger: Ledger::new(),
        }
    }

    /// Sets how many tasks may wait for each slot before further ones are declined.
    #[must_use]
    pub fn with_queue_per_slot(mut self, tasks: usize) -> Self {
        self.queue_per_slot = tasks;
        self
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Now, actions: &mut Vec<Action>) {
        match event {
            Event::Attached { link } => self.attached(link, now),
            Event::Detached { link } => {
                self.links.remove(&link);
            }
            Event::Ordered { link, order } => self.ordered(link, order, now, actions),
            Event::Announced { slots, kinds } => self.announced(slots, kinds),
            Event::Left | Event::Stop => self.leave(now),
            Event::Ended { task, end } => self.ended(task, end, now),
            Event::Tick => self.ledger.expire(now.mono, self.timing.window),
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

    /// Returns whether nothing runs or waits and every outcome was reported.
    pub fn is_drained(&self) -> bool {
        self.hello.leaving
            && self.running.is_empty()
            && self.queue.is_empty()
            && self.links.values().all(|link| link.outcomes.is_empty())
    }

    fn attached(&mut self, link: u64, now: Now) {
        let state = Link {
            permit: None,
            told: false,
            next_report: now.mono,
            busy_until: now.mono,
            outcomes: Vec::new(),
        };
        self.links.insert(link, state);
    }

    fn announced(&mut self, slots: u32, kinds: Vec<String>) {
        if self.hello.slots == slots && self.hello.kinds == kinds && !self.hello.leaving {
            return;
        }
        self.hello.slots = slots;
        self.hello.kinds = kinds;
        self.hello.leaving = false;
        self.tell_all();
    }

    fn leave(&mut self, now: Now) {
        self.hello.leaving = true;
        self.tell_all();
        while let Some(waiting) = self.queue.pop_front() {
            self.decline(&waiting, NotStarted::Leaving, now);
        }
    }

    fn tell_all(&mut self) {
        for link in self.links.values_mut() {
            link.told = false;
        }
    }

    fn ordered(&mut self, link: u64, order: Order, now: Now, actions: &mut Vec<Action>) {
        if !order.entries.is_empty() {
            actions.push(Action::Attach {
                entries: order.entries,
            });
        }
        if order.agent_incarnation != self.incarnation {
            self.tell_all();
            return actions.push(Action::ForeignOrder);
        }
        let old_epoch = order.epoch < self.epoch;
        self.epoch = self.epoch.max(order.epoch);
        if let Some(state) = self.links.get_mut(&link) {
            if !old_epoch {
                state.permit = state.permit.max(order.permit);
            }
            state.busy_until = now.mono.plus(BUSY);
            state.next_report = state.next_report.min(now.mono.plus(self.timing.report));
        }
        for task in order.recalls {
            self.recall(task, now);
        }
        for query in order.queries {
            self.query(link, query, now);
        }
        for dispatch in order.dispatches {
            self.take(
                Waiting {
                    link,
                    dispatch,
                    since: now.mono,
                },
                old_epoch,
                now,
            );
        }
    }

    /// Queues a dispatch, answers it from the ledger, or refuses it.
    fn take(&mut self, waiting: Waiting, old_epoch: bool, now: Now) {
        let Dispatch { task, attempt, .. } = waiting.dispatch;
        match self.ledger.record(&task) {
            Some(Record::Started) => return,
            Some(Record::Ended { outcome }) => {
                let outcome = outcome.clone();
                return self.tell(waiting.link, outcome);
            }
            Some(Record::Declined {
                attempt: last,
                reason,
            }) if attempt <= *last => {
                let reason = *reason;
                return self.decline(&waiting, reason, now);
            }
            Some(Record::Declined { .. }) | None => {}
        }
        if self.queue.iter().any(|other| other.dispatch.task == task) {
            return;
        }
        if old_epoch {
            return self.decline(&waiting, NotStarted::OldEpoch, now);
        }
        if self.hello.leaving {
            return self.decline(&waiting, NotStarted::Leaving, now);
        }
        if self.queue.len() >= self.hello.slots as usize * self.queue_per_slot {
            return self.decline(&waiting, NotStarted::Full, now);
        }
        self.queue.push_back(waiting);
    }

    fn decline(&mut self, waiting: &Waiting, reason: NotStarted, now: Now) {
        let Dispatch { task, attempt, .. } = waiting.dispatch;
        self.ledger.decline(task, attempt, reason, now.mono);
        let queue_us = now.mono.since(waiting.since).as_micros() as u64;
        let end = End::NotStarted(reason);
        self.tell(
            waiting.link,
            Outcome {
                task,
                attempt,
                end,
                queue_us,
                run_us: 0,
            },
        );
    }

    fn recall(&mut self, task: Task, now: Now) {
        let at = self
            .queue
            .iter()
            .position(|waiting| waiting.dispatch.task == task);
        if let Some(waiting) = at.and_then(|at| self.queue.remove(at)) {
            self.decline(&waiting, NotStarted::Recalled, now);
        }
    }

    /// Tells what became of an attempt, or promises that it never starts.
    fn query(&mut self, link: u64, query: Attempt, now: Now) {
        let Attempt { task, attempt } = query;
        if let Some(waiting) = self
            .queue
            .iter_mut()
            .find(|waiting| waiting.dispatch.task == task)
        {
            waiting.link = link;
            return;
        }
        if let Some(running) = self.running.get_mut(&task) {
            running.link = link;
            return;
        }
        if let Some(Record::Ended { outcome }) = self.ledger.record(&task) {
            let outcome = outcome.clone();
            return self.tell(link, outcome);
        }
        self.ledger
            .decline(task, attempt, NotStarted::Tombstoned, now.mono);
        let end = End::NotStarted(NotStarted::Tombstoned);
        self.tell(
            link,
            Outcome {
                task,
                attempt,
                end,
                queue_us: 0,
                run_us: 0,
            },
        );
    }

    /// Starts queued tasks while slots are free and their permits are fresh.
    fn start_ready(&mut self, now: Now, actions: &mut Vec<Action>) {
        while self.running.len() < self.hello.slots as usize {
            let Some(waiting) = self.queue.pop_front() else {
                return;
            };
            if !self.is_permitted(waiting.link, now) {
                self.decline(&waiting, NotStarted::Stale, now);
                continue;
            }
            self.start(waiting, now, actions);
        }
    }

    fn is_permitted(&self, link: u64, now: Now) -> bool {
        let permit = self.links.get(&link).and_then(|state| state.permit);
        permit.is_some_and(|permit| now.mono.since(permit) <= self.timing.lease)
    }

    fn start(&mut self, waiting: Waiting, now: Now, actions: &mut Vec<Action>) {
        let Waiting {
            link,
            dispatch,
            since,
        } = waiting;
        let Dispatch {
            task,
            attempt,
            kind,
            input,
            timeout_ms,
        } = dispatch;
        self.ledger.start(task, now.mono);
        let queue_us = now.mono.since(since).as_micros() as u64;
        self.running.insert(
            task,
            Running {
                link,
                attempt,
                queue_us,
                since: now.mono,
            },
        );
        actions.push(Action::Start {
            task,
            kind,
            input,
            timeout_ms,
        });
    }

    fn ended(&mut self, task: Task, end: End, now: Now) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let Running {
            link,
            attempt,
            queue_us,
            since,
        } = running;
        let run_us = now.mono.since(since).as_micros() as u64;
        let outcome = Outcome {
            task,
            attempt,
            end,
            queue_us,
            run_us,
        };
        self.ledger.end(task, outcome.clone(), now.mono);
        self.tell(link, outcome);
    }

    fn tell(&mut self, link: u64, outcome: Outcome) {
        if let Some(state) = self.links.get_mut(&link) {
            state.outcomes.push(outcome);
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
                outcomes: std::mem::take(&mut state.outcomes),
            };
            actions.push(Action::Report {
                link: *link,
                report,
            });
        }
    }
}
