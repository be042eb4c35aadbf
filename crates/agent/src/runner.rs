//! Threads that send tasks to the backend server and wait for the answers, one thread for each
//! slot.

use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::agent::Event;
use ibisspool_core::frame::{End, NotStarted};
use ibisspool_core::job::Task;
use ibisspool_core::time::Monotonic;
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::part::{Kernel, PartName};

use crate::announce::BackendAddress;
use crate::call::{self, Error, TaskCall};
use crate::metrics::Metrics;

/// Time limit for opening a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A task that the decider has chosen to start.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// Job id and index of the task.
    pub task: Task,
    /// Kind of the task, which tells the backend server what to run.
    pub kind: String,
    /// Input of the task, sent as the request body.
    pub input: Bytes,
    /// Time limit for the backend server's answer.
    pub timeout: Duration,
    /// End of the permit of the entry that sent the task. After it, the entry may have lost its
    /// lease and another entry may have the task started elsewhere, so nothing may be sent any
    /// more.
    pub permit_expires_at: Monotonic,
}

/// What each runner thread needs.
#[derive(Debug, Clone)]
pub struct Context {
    /// Queue of tasks to start.
    pub starts: Receiver<StartRequest>,
    /// Mailbox of the decider, which is told how each task ended.
    pub events: Sender<Event>,
    /// Base URL of the backend server.
    pub backend_address: BackendAddress,
    /// Clock by which permits expire.
    pub clock: Clock,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Largest accepted body of an answer.
    pub max_answer_bytes: usize,
}

/// The runner threads. Threads are added when the backend server announces more slots and never
/// end.
#[derive(Debug)]
pub struct RunnerPool {
    kernel: Kernel,
    context: Context,
    threads: u32,
}

impl RunnerPool {
    /// Creates a pool without threads.
    pub fn new(kernel: &Kernel, context: Context) -> Self {
        Self {
            kernel: kernel.clone(),
            context,
            threads: 0,
        }
    }

    /// Starts threads until there is one for each slot.
    pub fn ensure_threads(&mut self, slots: u32) {
        while self.threads < slots {
            self.threads += 1;
            let context = self.context.clone();
            self.kernel
                .spawn(PartName::Runner, move || context.run_tasks());
        }
    }
}

impl Context {
    fn run_tasks(&self) {
        while let Ok(start) = self.starts.recv() {
            let end = self.run_task(&start);
            if !matches!(end, End::NotStarted(_)) {
                self.metrics.tasks_started.inc();
            }
            let _ended = self.events.send(Event::TaskEnded {
                task: start.task,
                end,
            });
        }
    }

    fn run_task(&self, start: &StartRequest) -> End {
        let time_left = start.permit_expires_at.since(self.clock.mono());
        let Some(address) = self.backend_address.get() else {
            return End::NotStarted(NotStarted::Leaving);
        };
        if time_left.is_zero() {
            return End::NotStarted(NotStarted::Stale);
        }
        let called = call::send_task(&TaskCall {
            base_url: &address,
            start,
            connect_timeout: CONNECT_TIMEOUT.min(time_left),
            max_answer_bytes: self.max_answer_bytes,
        });
        self.classify_end(start, called)
    }

    fn classify_end(&self, start: &StartRequest, called: Result<call::Answer, Error>) -> End {
        match called {
            Ok(answer) if answer.is_success() => End::Done(answer.body),
            Ok(answer) => End::Failed(answer.describe()),
            Err(Error::NotConnected(error)) => {
                let reason = if start.permit_expires_at <= self.clock.mono() {
                    NotStarted::Stale
                } else {
                    log::warn!("runner: Cannot connect to the backend server: {error}.");
                    NotStarted::Leaving
                };
                End::NotStarted(reason)
            }
            Err(error @ Error::TooLarge(_)) => End::Failed(error.to_string()),
            Err(error) => {
                if matches!(error, Error::WrongTask) {
                    self.metrics.wrong_task_answers.inc();
                }
                End::Unknown(error.to_string())
            }
        }
    }
}
