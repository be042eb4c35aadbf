//! The thread that owns the entry's state machine, feeds it events and carries out its actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::entry::{Action, Entry, Event};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::ticker::{Ticker, TickerEvent};

use crate::metrics::Metrics;
use crate::operator::OperatorInterface;
use crate::peers::Peers;
use crate::responder::Waiters;
use crate::store;

/// Interval of the ticks, which drive the timeouts and heartbeats of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The state machine of the entry with everything that its actions need.
#[derive(Debug)]
pub struct Decider {
    /// The state machine, which does no I/O.
    pub entry: Entry,
    /// Clocks that give each event its time.
    pub clock: Clock,
    /// Streams of agents and calls to other entries.
    pub peers: Peers,
    /// Callers and other entries that wait for an answer.
    pub waiters: Waiters,
    /// Operators' requests that wait for an answer.
    pub operators: OperatorInterface,
    /// Mailbox of the thread that calls the table service.
    pub store: Sender<store::Request>,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Whether the entry accepts jobs; updated after each event for the HTTP threads.
    pub ready: Arc<AtomicBool>,
}

impl Decider {
    /// Handles events until the entry is drained after a stop and all recipients are answered, or
    /// until every sender of events is dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        let mut ticker = Ticker::new(TICK_INTERVAL, self.clock.mono());
        loop {
            match ticker.next_event(events, || self.clock.mono()) {
                TickerEvent::Tick => self.handle_event(Event::Tick),
                TickerEvent::Message(event) => self.handle_event(event),
                TickerEvent::Disconnected => return,
            }
            if self.entry.is_drained() && self.waiters.is_empty() && self.operators.is_empty() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.entry.handle(event, now, &mut actions);
        self.ready
            .store(self.entry.is_ready(now), Ordering::Relaxed);
        self.peers
            .set_lapsed_below_epoch(self.entry.leases_lapsed_below());
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Answer { waiter, id, answer } => self.waiters.answer_job(waiter, id, answer),
            Action::AnswerTrace { waiter, id, steps } => {
                self.waiters.answer_trace(waiter, id, &steps);
            }
            Action::RejectMisdirected { waiter } => self.waiters.answer_misdirected(waiter),
            Action::AnswerHeartbeat { waiter, epoch } => {
                self.waiters.answer_heartbeat(waiter, epoch);
            }
            Action::Forward {
                waiter,
                to,
                question,
            } => self.peers.forward_question(waiter, &to, question),
            Action::SendOrder { link, order } => self.peers.send_order(link, order),
            Action::SendHeartbeat { to, epoch } => self.peers.send_heartbeat(to, epoch),
            Action::Inquire { to, id, epoch } => self.peers.inquire(to, id, epoch),
            Action::AnswerInquiry { waiter, findings } => {
                self.waiters.answer_inquiry(waiter, findings);
            }
            Action::LogClockDisagreement { is_apart: true } => log::error!(
                "decider: This entry's wall clock differs from the others', so it gives up its lease; \
                 set the clock."
            ),
            Action::LogClockDisagreement { is_apart: false } => {
                log::info!("decider: This entry's wall clock agrees with the others' again.");
            }
            Action::ReadRow => store::send_request(&self.store, store::Request::ReadRow),
            Action::WriteRow { expect, row } => {
                log::info!(
                    "decider: Writes epoch {} for {} to the control row.",
                    row.epoch,
                    row.change
                );
                store::send_request(&self.store, store::Request::WriteRow { expect, row });
            }
            Action::ReadCatalogue { version } => {
                store::send_request(&self.store, store::Request::ReadCatalogue { version });
            }
            Action::WriteCatalogue { version, catalogue } => {
                store::send_request(
                    &self.store,
                    store::Request::WriteCatalogue { version, catalogue },
                );
            }
            Action::AnswerOperator { request, answer } => {
                self.operators.send_answer(request, answer);
            }
            Action::CountRetry(reason) => {
                self.metrics
                    .retries
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
            }
        }
    }
}
