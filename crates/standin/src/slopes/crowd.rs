//! Many agents in one thread over real streams: the decisions and edges of agents, without their
//! HTTP interface and with tasks that end at once.

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

/// Pause when no agent has anything to do.
const IDLE: Duration = Duration::from_micros(200);

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Slots of each agent.
const SLOTS: u32 = 8;

/// Running agents; they end when this is dropped.
#[derive(Debug)]
pub struct Crowd {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    _runtime: Runtime,
}

#[derive(Debug)]
struct Member {
    agent: Agent,
    links: Links,
    events: Receiver<Event>,
    sender: Sender<Event>,
}

impl Crowd {
    /// Starts `count` agents that serve the kind and know the entries.
    ///
    /// # Errors
    /// Fails if the runtime cannot start.
    pub fn start(count: usize, kind: &str, entries: &[String]) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let members: Vec<Member> = (0..count)
            .map(|number| new_member(number, kind, entries, runtime.handle()))
            .collect();
        let ended = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&ended);
        let thread = thread::spawn(move || run(members, &stop));
        Ok(Self {
            ended,
            thread: Some(thread),
            _runtime: runtime,
        })
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _panicked = thread.join();
        }
    }
}

fn new_member(
    number: usize,
    kind: &str,
    entries: &[String],
    runtime: &tokio::runtime::Handle,
) -> Member {
    let (sender, events) = unbounded();
    let metrics = Metrics::new();
    let links = Links::new(runtime.clone(), sender.clone(), metrics, entries);
    links.set_entries(Vec::new());
    let name = format!("crowd-{number}");
    let agent = Agent::new(&name, "north", rand::random(), Timing::default());
    let _held = sender.send(Event::Registered {
        slots: SLOTS,
        kinds: vec![kind.to_owned()],
    });
    Member {
        agent,
        links,
        events,
        sender,
    }
}

fn run(mut members: Vec<Member>, ended: &AtomicBool) {
    let clock = Clock::new();
    let mut next_tick = clock.mono();
    while !ended.load(Ordering::Relaxed) {
        let mut busy = false;
        if clock.mono() >= next_tick {
            next_tick = clock.mono().plus(TICK);
            for member in &mut members {
                member.step(Event::Tick, clock);
            }
        }
        for member in &mut members {
            while let Ok(event) = member.events.try_recv() {
                busy = true;
                member.step(event, clock);
            }
        }
        if !busy {
            thread::sleep(IDLE);
        }
    }
}

impl Member {
    fn step(&mut self, event: Event, clock: Clock) {
        let mut actions = Vec::new();
        self.agent.handle(event, clock.now(), &mut actions);
        for action in actions {
            match action {
                Action::Report { link, report } => self.links.send_report(link, report),
                Action::Start { task, input, .. } => {
                    let end = End::Done(input);
                    let _held = self.sender.send(Event::TaskEnded { task, end });
                }
                Action::Connect { entries } => self.links.set_entries(entries),
                Action::ForeignOrder => {}
            }
        }
    }
}
