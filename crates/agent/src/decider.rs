//! The thread that owns the agent's state machine, feeds it events and carries out its actions.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::agent::{Action, Agent, Event};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::ticker::{Ticker, TickerEvent};

use crate::links::Links;
use crate::metrics::Metrics;
use crate::runner::{RunnerPool, StartRequest};

/// Interval of the ticks, which drive the timeouts of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The state machine of the agent with everything that its actions need.
#[derive(Debug)]
pub struct Decider {
    /// The state machine, which does no I/O.
    pub agent: Agent,
    /// Clocks that give each event its time.
    pub clock: Clock,
    /// Streams to the entries.
    pub links: Links,
    /// Threads that send tasks to the backend server.
    pub runner: RunnerPool,
    /// Queue of tasks to start, from which the runner threads take them.
    pub starts: Sender<StartRequest>,
    /// Metrics of the agent.
    pub metrics: Metrics,
}

impl Decider {
    /// Handles events until the agent is drained after a stop, or every sender of events is
    /// dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        let mut ticker = Ticker::new(TICK_INTERVAL, self.clock.mono());
        let mut stopping = false;
        loop {
            match ticker.next_event(events, || self.clock.mono()) {
                TickerEvent::Tick => self.handle_event(Event::Tick),
                TickerEvent::Message(event) => {
                    stopping |= matches!(event, Event::Shutdown);
                    self.handle_event(event);
                }
                TickerEvent::Disconnected => return,
            }
            if stopping && self.agent.is_drained() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Registered { slots, .. } = &event {
            self.runner.ensure_threads(*slots);
        }
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.agent.handle(event, now, &mut actions);
        for action in actions {
            self.execute(action);
        }
        let ledger = self.agent.ledger();
        self.metrics.ledger_records.set(ledger.len() as f64);
        self.metrics
            .ledger_output_bytes
            .set(ledger.output_bytes() as f64);
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Report { link, report } => {
                for outcome in &report.outcomes {
                    self.metrics.count_end(&outcome.end);
                }
                self.links.send_report(link, report);
            }
            Action::Start {
                task,
                kind,
                input,
                timeout_ms,
                expires,
            } => {
                let timeout = Duration::from_millis(timeout_ms);
                let _ended = self.starts.send(StartRequest {
                    task,
                    kind,
                    input,
                    timeout,
                    permit_expires_at: expires,
                });
            }
            Action::Connect { entries } => self.links.set_entries(entries),
            Action::ForeignOrder => self.metrics.foreign_orders.inc(),
        }
    }
}
