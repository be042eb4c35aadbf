//! Runs tasks at the backend server, one thread a slot.

use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::agent::Event;
use ibisspool_core::frame::{End, NotStarted};
use ibisspool_core::job::Task;
use ibisspool_core::time::Mono;
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::part::{Kernel, PartName};

use crate::announce::Target;
use crate::call::{self, Call, Error};
use crate::metrics::Metrics;

/// Time within which the backend server must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A task to start.
#[derive(Debug, Clone)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// Kind of the task.
    pub kind: String,
    /// Input of the task.
    pub input: Bytes,
    /// Time within which the backend server must answer.
    pub timeout: Duration,
    /// When the permit expires.
    pub expires: Mono,
}

/// What a runner thread needs.
#[derive(Debug, Clone)]
pub struct Context {
    /// Tasks to start.
    pub starts: Receiver<Start>,
    /// Mailbox of the decider.
    pub events: Sender<Event>,
    /// Address of the backend server.
    pub target: Target,
    /// The clock of the permits.
    pub clock: Clock,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Most bytes of an answer.
    pub answer_bytes: usize,
}

/// The runner threads; more are started when more slots are announced.
#[derive(Debug)]
pub struct Runner {
    kernel: Kernel,
    context: Context,
    threads: u32,
}

impl Runner {
    /// Makes a runner without threads.
    pub fn new(kernel: &Kernel, context: Context) -> Self {
        Self {
            kernel: kernel.clone(),
            context,
            threads: 0,
        }
    }

    /// Makes sure that there is a thread for each slot.
    pub fn grow(&mut self, slots: u32) {
        while self.threads < slots {
            self.threads += 1;
            let context = self.context.clone();
            self.kernel
                .spawn(PartName::Runner, move || context.run_all());
        }
    }
}

impl Context {
    fn run_all(&self) {
        while let Ok(start) = self.starts.recv() {
            let end = self.run(&start);
            if !matches!(end, End::NotStarted(_)) {
                self.metrics.starts.inc();
            }
            let _ended = self.events.send(Event::Ended {
                task: start.task,
                end,
            });
        }
    }

    fn run(&self, start: &Start) -> End {
        let rest = start.expires.since(self.clock.mono());
        let Some(address) = self.target.get() else {
            return End::NotStarted(NotStarted::Leaving);
        };
        if rest.is_zero() {
            return End::NotStarted(NotStarted::Stale);
        }
        let called = call::send(&Call {
            address: &address,
            start,
            connect_timeout: CONNECT_TIMEOUT.min(rest),
            answer_bytes: self.answer_bytes,
        });
        self.end(start, called)
    }

    fn end(&self, start: &Start, called: Result<call::Answer, Error>) -> End {
        match called {
            Ok(answer) if answer.is_success() => End::Done(answer.body),
            Ok(answer) => End::Failed(answer.describe()),
            Err(Error::NotConnected(error)) => {
                let reason = if start.expires <= self.clock.mono() {
                    NotStarted::Stale
                } else {
                    log::warn!("runner: The backend server takes no connection: {error}.");
                    NotStarted::Leaving
                };
                End::NotStarted(reason)
            }
            Err(error @ Error::TooLong(_)) => End::Failed(error.to_string()),
            Err(error) => {
                if matches!(error, Error::Crossed) {
                    self.metrics.crossed.inc();
                }
                End::Unknown(error.to_string())
            }
        }
    }
}
