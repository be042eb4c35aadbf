//! Rounds of faults against real processes: entries and agents are killed and paused and the
//! table service fails, while callers submit and resubmit the same ids through all entries.

mod takeover;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::backend::{self, Backend};
use crate::caller;
use crate::children::{self, Process};
use crate::history::{self, ReceivedAnswer, Violation};
use crate::local::{self, ECHO};
use crate::platform::{self, Platform};

pub use takeover::takeovers;

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
const SLOTS: u32 = 4;
const CALLERS: usize = 6;
const MAX_TASKS: u32 = 12;

/// Submissions of each job, through entries chosen at random.
const SUBMISSIONS: usize = 2;

const RUN_MS: f64 = 30.0;
const JOB_TIMEOUT: Duration = Duration::from_secs(6);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest pause of a process: past the lease and the entries' silence.
const PAUSE_MS: u64 = 3_000;

/// Faults of one round, one after the other.
const FAULTS: u32 = 3;

/// Totals over all rounds.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Submissions.
    pub submissions: usize,
    /// Submissions answered whole.
    pub whole: usize,
    /// Submissions that got no answer at all.
    pub unanswered: usize,
    /// Faults.
    pub faults: usize,
    /// Broken promises with the job that shows each.
    pub violations: Vec<(Violation, String)>,
}

#[derive(Debug)]
struct Slot {
    name: String,
    listen: SocketAddr,
    peer: SocketAddr,
    process: Option<Process>,
}

#[derive(Debug)]
struct System {
    platform: Platform,
    entries: Vec<Slot>,
    agents: Vec<Slot>,
    backends: Vec<Backend>,
}

impl Slot {
    fn new(name: String) -> Result<Self> {
        let (listen, peer) = (children::free_address()?, children::free_address()?);
        Ok(Self {
            name,
            listen,
            peer,
            process: None,
        })
    }

    fn url(&self) -> String {
        format!("http://{}", self.listen)
    }

    fn start_entry(&mut self, platform: &str) -> Result<()> {
        let (listen, peer) = (self.listen.to_string(), self.peer.to_string());
        let args = [
            "ibisspool",
            "serve",
            "--name",
            &self.name,
            "--data-centre",
            "north",
        ];
        let rest = [
            "--listen",
            &listen,
            "--peer-listen",
            &peer,
            "--platform",
            platform,
        ];
        self.process = Some(Process::start(&[&args[..], &rest[..]].concat())?);
        Ok(())
    }

    fn start_agent(&mut self, entries: &str) -> Result<()> {
        let listen = self.listen.to_string();
        let args = [
            "ibisspool-agent",
            "--name",
            &self.name,
            "--data-centre",
            "north",
        ];
        let rest = ["--listen", &listen, "--entries", entries];
        self.process = Some(Process::start(&[&args[..], &rest[..]].concat())?);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            let _ended = kill(Pid::from_raw(process.id().cast_signed()), signal);
        }
    }
}

impl System {
    fn start() -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any)?;
        local::seed(&platform, &local::catalogue());
        let entries: Result<Vec<Slot>> = (0..ENTRIES)
            .map(|number| Slot::new(format!("entry-{number}")))
            .collect();
        let agents: Result<Vec<Slot>> = (0..AGENTS)
            .map(|number| Slot::new(format!("backend-{number}")))
            .collect();
        let mut system = Self {
            platform,
            entries: entries?,
            agents: agents?,
            backends: Vec::new(),
        };
        for number in 0..ENTRIES {
            system.restart_entry(number)?;
        }
        for number in 0..AGENTS {
            system.restart_agent(number)?;
            system.backends.push(Backend::start(&backend::Settings {
                listen: any,
                agent: system.agents[number].url(),
                slots: SLOTS,
                kinds: vec![ECHO.to_owned()],
                run_ms: RUN_MS,
                speed: 1.0,
            })?);
        }
        system.wait_ready()?;
        Ok(system)
    }

    fn restart_entry(&mut self, number: usize) -> Result<()> {
        let platform = self.platform.url();
        self.entries[number].start_entry(&platform)
    }

    fn restart_agent(&mut self, number: usize) -> Result<()> {
        let peers: Vec<String> = self
            .entries
            .iter()
            .map(|slot| slot.peer.to_string())
            .collect();
        self.agents[number].start_agent(&peers.join(","))
    }

    fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.entries.iter().all(|slot| local::is_ready(&slot.url())) {
            if Instant::now() > deadline {
                bail!("the entries are not ready after {START_TIMEOUT:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Does one fault and mends it.
    fn disturb(&mut self, rng: &mut SmallRng) -> Result<()> {
        let pause = Duration::from_millis(rng.random_range(300..PAUSE_MS));
        match rng.random_range(0..7) {
            0 => {
                let number = rng.random_range(0..ENTRIES);
                self.entries[number].process = None;
                thread::sleep(pause);
                self.restart_entry(number)?;
            }
            1 => {
                let number = rng.random_range(0..AGENTS);
                self.agents[number].process = None;
                thread::sleep(pause);
                self.restart_agent(number)?;
            }
            2 => pause_process(&self.entries[rng.random_range(0..ENTRIES)], pause),
            3 => pause_process(&self.agents[rng.random_range(0..AGENTS)], pause),
            4 => self.fail_store(
                platform::Faults {
                    down: true,
                    ..Default::default()
                },
                pause,
            ),
            5 => self.fail_store(
                platform::Faults {
                    slow_ms: 700,
                    ..Default::default()
                },
                pause,
            ),
            _ => self.fail_store(
                platform::Faults {
                    lose_answers: 3,
                    ..Default::default()
                },
                pause,
            ),
        }
        Ok(())
    }

    fn fail_store(&self, faults: platform::Faults, pause: Duration) {
        self.platform.set_faults(faults);
        thread::sleep(pause);
        self.platform.set_faults(platform::Faults::default());
    }
}

fn pause_process(slot: &Slot, pause: Duration) {
    slot.signal(Signal::SIGSTOP);
    thread::sleep(pause);
    slot.signal(Signal::SIGCONT);
}

/// Runs rounds of faults; each begins and ends with every process running.
///
/// # Errors
/// Fails if the system does not start or does not become ready again after a round.
pub fn run(rounds: u32, seed: u64) -> Result<Totals> {
    let mut system = System::start()?;
    let mut totals = Totals::default();
    let mut history = Vec::new();
    for round in 0..rounds {
        let before = history.len();
        history.extend(run_round(
            &mut system,
            seed + u64::from(round),
            &mut totals,
        )?);
        print_round(round, &history[before..]);
    }
    // Tasks that were under way when their job was given up may still start.
    thread::sleep(JOB_TIMEOUT);
    let starts = system.backends.iter().flat_map(Backend::starts);
    let starts: Vec<(String, u32)> = starts.map(|start| (start.job, start.index)).collect();
    totals.whole = history.iter().filter(|told| told.outputs.is_some()).count();
    totals.violations = history::find_violations(&history, &starts);
    Ok(totals)
}

fn print_round(round: u32, told: &[ReceivedAnswer]) {
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for answer in told {
        let end = if answer.outputs.is_some() {
            "whole"
        } else {
            &answer.reason
        };
        *ends.entry(end).or_default() += 1;
    }
    println!("round {round}: {ends:?}");
}

fn run_round(system: &mut System, seed: u64, totals: &mut Totals) -> Result<Vec<ReceivedAnswer>> {
    let ended = Arc::new(AtomicBool::new(false));
    let heard = Arc::new(Mutex::new(Vec::new()));
    let urls: Vec<String> = system.entries.iter().map(Slot::url).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (urls, ended, heard) = (urls.clone(), Arc::clone(&ended), Arc::clone(&heard));
            let rng = SmallRng::seed_from_u64(seed * 1_000 + number as u64);
            thread::spawn(move || call(&urls, rng, &ended, &heard))
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    for _fault in 0..FAULTS {
        system.disturb(&mut rng)?;
        totals.faults += 1;
    }
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let (submissions, unanswered) = caller
            .join()
            .map_err(|_panic| anyhow::anyhow!("a caller panicked"))?;
        totals.submissions += submissions;
        totals.unanswered += unanswered;
    }
    system.wait_ready()?;
    let told = std::mem::take(&mut *heard.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(told)
}

/// Submits jobs until the round ends; returns how many submissions were made and not answered.
fn call(
    urls: &[String],
    mut rng: SmallRng,
    ended: &AtomicBool,
    heard: &Arc<Mutex<Vec<ReceivedAnswer>>>,
) -> (usize, usize) {
    let (mut submissions, mut unanswered) = (0, 0);
    while !ended.load(Ordering::Relaxed) {
        let id = caller::new_id();
        let inputs: Vec<Value> = (0..rng.random_range(1..=MAX_TASKS))
            .map(|index| json!({ "job": id.to_string(), "index": index }))
            .collect();
        let twins: Vec<_> = (0..SUBMISSIONS)
            .map(|_twin| {
                let url = urls[rng.random_range(0..urls.len())].clone();
                let wait = Duration::from_millis(rng.random_range(0..200));
                let inputs = inputs.clone();
                thread::spawn(move || {
                    thread::sleep(wait);
                    caller::submit(&url, &id, ECHO, &inputs, JOB_TIMEOUT)
                })
            })
            .collect();
        for twin in twins {
            submissions += 1;
            match twin.join() {
                Ok(Ok(answer)) => {
                    let whole = answer.state == "complete";
                    let outputs = answer
                        .results
                        .into_iter()
                        .map(|result| result.output)
                        .collect();
                    let told = ReceivedAnswer {
                        job: id.to_string(),
                        inputs: inputs.clone(),
                        outputs: whole.then_some(outputs),
                        not_run: answer.ran == "no",
                        reason: answer.reason,
                    };
                    heard
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(told);
                }
                _ => unanswered += 1,
            }
        }
    }
    (submissions, unanswered)
}
