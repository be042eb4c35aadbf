//! Open-loop load on an ibisspool: jobs at a fixed rate with pseudo-random run times. The run time
//! of a task follows from its job id and index, so that it can be computed again from a recorded
//! start.

use std::hash::Hasher as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::{caller, local};

/// Shortest and longest run time of a task, in milliseconds.
const RUN_RANGE_MS: (u64, u64) = (50, 350);

/// Timeout of each job.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between health checks of all entries, which a load balancer would make.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Mean run time of a task, in milliseconds.
pub const MEAN_RUN_MS: u64 = u64::midpoint(RUN_RANGE_MS.0, RUN_RANGE_MS.1);

/// Configuration of a load.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Tasks of each job.
    pub tasks_per_job: u32,
    /// Time between the submissions of two jobs.
    pub interval: Duration,
}

/// How and when one job ended.
#[derive(Debug, Clone)]
pub struct JobEnd {
    /// Time of submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Time from the submission to the answer.
    pub response_time: Duration,
    /// Reason of the refusal, or error of the submission; `None` if the job is complete.
    pub refusal: Option<String>,
}

/// A load that a thread of its own submits.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    submitter: thread::JoinHandle<()>,
    ends: Arc<Mutex<Vec<JobEnd>>>,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Returns the run time of a task in milliseconds, the same for each call with the same arguments.
pub fn run_ms(job: &str, index: u32) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(job.as_bytes());
    hasher.write_u32(index);
    RUN_RANGE_MS.0 + hasher.finish() % (RUN_RANGE_MS.1 - RUN_RANGE_MS.0 + 1)
}

impl Load {
    /// Starts to submit jobs at even intervals, whether or not earlier jobs have ended.
    pub fn start(settings: Settings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ends = Arc::<Mutex<Vec<JobEnd>>>::default();
        let ready_flags = start_health_checks(&settings.entries, &stop);
        let (stopped, results) = (Arc::clone(&stop), Arc::clone(&ends));
        let submitter = thread::spawn(move || {
            let mut jobs = Vec::new();
            let started = Instant::now();
            let mut number: u32 = 0;
            while !stopped.load(Ordering::Relaxed) {
                let entry = pick_entry(&settings.entries, &ready_flags, number as usize);
                let (tasks, results) = (settings.tasks_per_job, Arc::clone(&results));
                jobs.push(thread::spawn(move || {
                    let end = submit(&entry, tasks);
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(end);
                }));
                number += 1;
                thread::sleep((settings.interval * number).saturating_sub(started.elapsed()));
            }
            for job in jobs {
                let _panicked = job.join();
            }
        });
        Self {
            stop,
            submitter,
            ends,
        }
    }

    /// Stops the submissions, waits for the jobs in flight and returns how each job ended.
    pub fn finish(self) -> Vec<JobEnd> {
        self.stop.store(true, Ordering::Relaxed);
        let _panicked = self.submitter.join();
        let ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        ends.clone()
    }
}

fn start_health_checks(entries: &[String], stop: &Arc<AtomicBool>) -> Arc<Vec<AtomicBool>> {
    let ready_flags: Arc<Vec<AtomicBool>> =
        Arc::new(entries.iter().map(|_entry| AtomicBool::new(true)).collect());
    let (entries, stop, checked_flags) =
        (entries.to_vec(), Arc::clone(stop), Arc::clone(&ready_flags));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for (entry, ready_flag) in entries.iter().zip(checked_flags.iter()) {
                ready_flag.store(local::is_ready(entry), Ordering::Relaxed);
            }
            thread::sleep(HEALTH_CHECK_INTERVAL);
        }
    });
    ready_flags
}

/// Returns the entry for the submission of the given number: round robin among the ready entries,
/// or among all if none is ready.
fn pick_entry(entries: &[String], ready_flags: &[AtomicBool], number: usize) -> String {
    let ready: Vec<&String> = entries
        .iter()
        .zip(ready_flags)
        .filter(|(_entry, ready_flag)| ready_flag.load(Ordering::Relaxed))
        .map(|(entry, _healthy)| entry)
        .collect();
    match ready.len() {
        0 => entries[number % entries.len()].clone(),
        count => ready[number % count].clone(),
    }
}

fn submit(entry: &str, tasks: u32) -> JobEnd {
    let id = caller::new_id();
    let name = id.to_string();
    let inputs: Vec<_> = (0..tasks)
        .map(|index| json!({ "run_ms": run_ms(&name, index) }))
        .collect();
    let submitted_ms = unix_time_ms();
    let started = Instant::now();
    let answer = caller::submit(entry, &id, local::ECHO, &inputs, JOB_TIMEOUT);
    let response_time = started.elapsed();
    let refusal = match answer {
        Ok(answer) if answer.state == "complete" => None,
        Ok(answer) => Some(answer.reason),
        Err(error) => Some(format!("{error:#}")),
    };
    JobEnd {
        submitted_ms,
        response_time,
        refusal,
    }
}
