//! Many agents in one thread, to put load on entries at little cost. Each has the state machine and
//! the gRPC connections of a production agent, but no HTTP interface, and its tasks end at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Result;
use crossbeam::channel::{Receiver, Sender, unbounded};
use ibisspool_agent::links::Links;
use ibisspool_agent::metrics::Metrics;
use ibisspool_core::agent::{Action, Agent, Event};
use ibisspool_core::frame::End;
use ibisspool_core::settings::Timing;
use ibisspool_kernel::clock::Clock;
use tokio::runtime::{Builder, Runtime};

/// Sleep of the thread when no agent had an event.
const IDLE_SLEEP: Duration = Duration::from_micros(200);

/// Time between two ticks of each agent.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Slots of each agent.
const SLOTS_PER_AGENT: u32 = 8;

/// Running agents; dropping the value stops them.
#[derive(Debug)]
pub struct AgentGroup {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    _runtime: Runtime,
}

#[derive(Debug)]
struct GroupAgent {
    state: Agent,
    links: Links,
    events: Receiver<Event>,
    sender: Sender<Event>,
}

impl AgentGroup {
    /// Starts `count` agents that serve tasks of `kind` and connect to the peer addresses
    /// `entries`.
    ///
    /// # Errors
    /// Fails if the async runtime cannot start.
    pub fn start(count: usize, kind: &str, entries: &[String]) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let agents: Vec<GroupAgent> = (0..count)
            .map(|number| new_agent(number, kind, entries, runtime.handle()))
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let agents_stop = Arc::clone(&stop);
        let thread = thread::spawn(move || run_agents(agents, &agents_stop));
        Ok(Self {
            stop,
            thread: Some(thread),
            _runtime: runtime,
        })
    }
}

impl Drop for AgentGroup {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _panicked = thread.join();
        }
    }
}

fn new_agent(
    number: usize,
    kind: &str,
    entries: &[String],
    runtime: &tokio::runtime::Handle,
) -> GroupAgent {
    let (sender, events) = unbounded();
    let metrics = Metrics::new();
    let links = Links::new(runtime.clone(), sender.clone(), metrics, entries);
    links.set_entries(Vec::new());
    let name = format!("crowd-{number}");
    let agent = Agent::new(&name, "north", rand::random(), Timing::default());
    let _receiver_dropped = sender.send(Event::Registered {
        slots: SLOTS_PER_AGENT,
        kinds: vec![kind.to_owned()],
    });
    GroupAgent {
        state: agent,
        links,
        events,
        sender,
    }
}

fn run_agents(mut agents: Vec<GroupAgent>, stop: &AtomicBool) {
    let clock = Clock::new();
    let mut next_tick = clock.mono();
    while !stop.load(Ordering::Relaxed) {
        let mut has_handled_event = false;
        if clock.mono() >= next_tick {
            next_tick = clock.mono().plus(TICK_INTERVAL);
            for agent in &mut agents {
                agent.handle_event(Event::Tick, clock);
            }
        }
        for agent in &mut agents {
            while let Ok(event) = agent.events.try_recv() {
                has_handled_event = true;
                agent.handle_event(event, clock);
            }
        }
        if !has_handled_event {
            thread::sleep(IDLE_SLEEP);
        }
    }
}

impl GroupAgent {
    fn handle_event(&mut self, event: Event, clock: Clock) {
        let mut actions = Vec::new();
        self.state.handle(event, clock.now(), &mut actions);
        for action in actions {
            match action {
                Action::Report { link, report } => self.links.send_report(link, report),
                Action::Start { task, input, .. } => {
                    let end = End::Done(input);
                    let _receiver_dropped = self.sender.send(Event::TaskEnded { task, end });
                }
                Action::Connect { entries } => self.links.set_entries(entries),
                Action::ForeignOrder => {}
            }
        }
    }
}
