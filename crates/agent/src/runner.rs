//! Runs tasks at the backend server, one thread a slot.

use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender};
use ibisspool_core::agent::Event;
use ibisspool_core::frame::End;
use ibisspool_core::job::Task;
use ibisspool_kernel::part::{Kernel, Name};

use crate::announce::Target;
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
}

/// The runner threads; more are started when more slots are announced.
#[derive(Debug)]
pub struct Runner {
    kernel: Kernel,
    starts: Receiver<Start>,
    events: Sender<Event>,
    target: Target,
    metrics: Metrics,
    threads: u32,
}

impl Runner {
    /// Makes a runner without threads.
    pub fn new(
        kernel: &Kernel,
        starts: Receiver<Start>,
        events: Sender<Event>,
        target: Target,
        metrics: Metrics,
    ) -> Self {
        Self {
            kernel: kernel.clone(),
            starts,
            events,
            target,
            metrics,
            threads: 0,
        }
    }

    /// Makes sure that there is a thread for each slot.
    pub fn grow(&mut self, slots: u32) {
        while self.threads < slots {
            self.threads += 1;
            let (starts, events) = (self.starts.clone(), self.events.clone());
            let (target, metrics) = (self.target.clone(), self.metrics.clone());
            self.kernel.spawn(Name::Runner, move || {
                while let Ok(start) = starts.recv() {
                    let end = run(&start, &target, &metrics);
                    let _ended = events.send(Event::Ended {
                        task: start.task,
                        end,
                    });
                }
            });
        }
    }
}

fn run(start: &Start, target: &Target, metrics: &Metrics) -> End {
    metrics.starts.inc();
    let Some(address) = target.get() else {
        return End::Failed("no backend server has announced itself".to_owned());
    };
    let Task { job, index } = start.task;
    let sent = attohttpc::post(format!("{address}/tasks/{job}/{index}"))
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(start.timeout)
        .header("Ibisspool-Kind", &start.kind)
        .header("Content-Type", "application/json")
        .bytes(start.input.as_ref())
        .send();
    let response = match sent {
        Ok(response) => response,
        Err(error) => return End::Unknown(format!("no answer of the backend server: {error}")),
    };
    let echoed = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let mine = echoed("Ibisspool-Job") == Some(job.to_string())
        && echoed("Ibisspool-Index") == Some(index.to_string());
    if !mine {
        metrics.crossed.inc();
        return End::Unknown("the backend server answered another task".to_owned());
    }
    let status = response.status();
    match response.bytes() {
        Ok(body) if status.is_success() => End::Done(Bytes::from(body)),
        Ok(body) => End::Failed(format!("{status} {}", String::from_utf8_lossy(&body))),
        Err(error) => End::Unknown(format!("the backend server's answer broke off: {error}")),
    }
}
