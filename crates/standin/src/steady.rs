//! Steady load of jobs whose run times follow from their ids.

use std::hash::Hasher as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::{caller, local};

/// Shortest and longest run time of a task in milliseconds.
const RUN_MS: (u64, u64) = (50, 350);

/// Timeout of each job.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time between looks at which entries take work, as a balancer does.
const HEALTH_EVERY: Duration = Duration::from_millis(200);

/// Mean run time of a task in milliseconds.
pub const MEAN_RUN_MS: u64 = u64::midpoint(RUN_MS.0, RUN_MS.1);

/// What a load is like.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Tasks of each job.
    pub tasks_per_job: u32,
    /// Time between jobs.
    pub interval: Duration,
}

/// The end of one job.
#[derive(Debug, Clone)]
pub struct Ended {
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted: u64,
    /// Time until its answer.
    pub took: Duration,
    /// Reason of its refusal, `None` if it is complete.
    pub refused: Option<String>,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    pump: thread::JoinHandle<()>,
    ended: Arc<Mutex<Vec<Ended>>>,
}

/// Returns the present in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Returns the run time of a task in milliseconds.
pub fn run_ms(job: &str, index: u32) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(job.as_bytes());
    hasher.write_u32(index);
    RUN_MS.0 + hasher.finish() % (RUN_MS.1 - RUN_MS.0 + 1)
}

impl Load {
    /// Starts to submit jobs at even intervals, whether earlier ones have ended or not.
    pub fn start(settings: Settings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::<Mutex<Vec<Ended>>>::default();
        let healthy = watch_health(&settings.entries, &stop);
        let (stopped, results) = (Arc::clone(&stop), Arc::clone(&ended));
        let pump = thread::spawn(move || {
            let mut jobs = Vec::new();
            let begun = Instant::now();
            let mut number: u32 = 0;
            while !stopped.load(Ordering::Relaxed) {
                let entry = pick(&settings.entries, &healthy, number as usize);
                let (tasks, results) = (settings.tasks_per_job, Arc::clone(&results));
                jobs.push(thread::spawn(move || {
                    let end = submit(&entry, tasks);
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(end);
                }));
                number += 1;
                thread::sleep((settings.interval * number).saturating_sub(begun.elapsed()));
            }
            for job in jobs {
                let _panicked = job.join();
            }
        });
        Self { stop, pump, ended }
    }

    /// Submits no more jobs, waits for those under way and returns all ends.
    pub fn finish(self) -> Vec<Ended> {
        self.stop.store(true, Ordering::Relaxed);
        let _panicked = self.pump.join();
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.clone()
    }
}

fn watch_health(entries: &[String], stop: &Arc<AtomicBool>) -> Arc<Vec<AtomicBool>> {
    let healthy: Arc<Vec<AtomicBool>> =
        Arc::new(entries.iter().map(|_entry| AtomicBool::new(true)).collect());
    let (entries, stop, watched) = (entries.to_vec(), Arc::clone(stop), Arc::clone(&healthy));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for (entry, healthy) in entries.iter().zip(watched.iter()) {
                healthy.store(local::is_ready(entry), Ordering::Relaxed);
            }
            thread::sleep(HEALTH_EVERY);
        }
    });
    healthy
}

/// Returns the next entry by turns among those that take work, any if none does.
fn pick(entries: &[String], healthy: &[AtomicBool], number: usize) -> String {
    let taking: Vec<&String> = entries
        .iter()
        .zip(healthy)
        .filter(|(_entry, healthy)| healthy.load(Ordering::Relaxed))
        .map(|(entry, _healthy)| entry)
        .collect();
    match taking.len() {
        0 => entries[number % entries.len()].clone(),
        count => taking[number % count].clone(),
    }
}

fn submit(entry: &str, tasks: u32) -> Ended {
    let id = caller::new_id();
    let name = id.to_string();
    let inputs: Vec<_> = (0..tasks)
        .map(|index| json!({ "run_ms": run_ms(&name, index) }))
        .collect();
    let submitted = wall_ms();
    let begun = Instant::now();
    let answer = caller::submit(entry, &id, local::ECHO, &inputs, TIMEOUT);
    let took = begun.elapsed();
    let refused = match answer {
        Ok(answer) if answer.state == "complete" => None,
        Ok(answer) => Some(answer.reason),
        Err(error) => Some(format!("{error:#}")),
    };
    Ended {
        submitted,
        took,
        refused,
    }
}
