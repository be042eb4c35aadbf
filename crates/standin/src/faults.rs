//! Fault injection on real processes: entries and agents are killed and suspended and the table
//! service fails, while callers submit each job several times through different entries. Afterwards
//! the answers are checked against the starts that the backend servers recorded.

mod takeovers;

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

pub use takeovers::measure_takeovers;

const ENTRY_COUNT: usize = 3;
const AGENT_COUNT: usize = 4;
const SLOTS_PER_BACKEND: u32 = 4;
const CALLERS_PER_ROUND: usize = 6;
const MAX_TASKS_PER_JOB: u32 = 12;

/// Submissions of each job id, each through an entry chosen at random.
const SUBMISSIONS_PER_JOB: usize = 2;

/// Run time of each task.
const RUN_MS: f64 = 30.0;
const JOB_TIMEOUT: Duration = Duration::from_secs(6);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest fault in milliseconds. A process suspended for so long loses its lease, and entries
/// treat a suspended agent as silent.
const MAX_FAULT_MS: u64 = 3_000;

/// Faults of one round, which follow one another.
const FAULTS_PER_ROUND: u32 = 3;

/// Totals over all rounds.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Submissions by all callers.
    pub submissions: usize,
    /// Submissions with a complete answer.
    pub complete: usize,
    /// Submissions without an answer.
    pub unanswered: usize,
    /// Injected faults.
    pub faults: usize,
    /// Violations of the guarantees to callers, each with the id of its job.
    pub violations: Vec<(Violation, String)>,
}

/// An entry or agent with its addresses, which stay the same over restarts.
#[derive(Debug)]
struct ManagedProcess {
    name: String,
    listen: SocketAddr,
    peer: SocketAddr,
    /// `None` while the process is down; setting `None` kills the process.
    process: Option<Process>,
}

/// All processes of a system, with the table service and the backend servers, which run in this
/// process.
#[derive(Debug)]
struct System {
    platform: Platform,
    entries: Vec<ManagedProcess>,
    agents: Vec<ManagedProcess>,
    backends: Vec<Backend>,
}

impl ManagedProcess {
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
        let name_args = [
            "ibisspool",
            "serve",
            "--name",
            &self.name,
            "--data-centre",
            "north",
        ];
        let address_args = [
            "--listen",
            &listen,
            "--peer-listen",
            &peer,
            "--platform",
            platform,
        ];
        self.process = Some(Process::start(
            &[&name_args[..], &address_args[..]].concat(),
        )?);
        Ok(())
    }

    fn start_agent(&mut self, entries: &str) -> Result<()> {
        let listen = self.listen.to_string();
        let name_args = [
            "ibisspool-agent",
            "--name",
            &self.name,
            "--data-centre",
            "north",
        ];
        let address_args = ["--listen", &listen, "--entries", entries];
        self.process = Some(Process::start(
            &[&name_args[..], &address_args[..]].concat(),
        )?);
        Ok(())
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            let _already_ended = kill(Pid::from_raw(process.id().cast_signed()), signal);
        }
    }
}

impl System {
    fn start() -> Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any_port)?;
        local::write_initial_rows(&platform, &local::catalogue());
        let entries: Result<Vec<ManagedProcess>> = (0..ENTRY_COUNT)
            .map(|number| ManagedProcess::new(format!("entry-{number}")))
            .collect();
        let agents: Result<Vec<ManagedProcess>> = (0..AGENT_COUNT)
            .map(|number| ManagedProcess::new(format!("backend-{number}")))
            .collect();
        let mut system = Self {
            platform,
            entries: entries?,
            agents: agents?,
            backends: Vec::new(),
        };
        for index in 0..ENTRY_COUNT {
            system.restart_entry(index)?;
        }
        for index in 0..AGENT_COUNT {
            system.restart_agent(index)?;
            system.backends.push(Backend::start(&backend::Settings {
                listen: any_port,
                agent_url: system.agents[index].url(),
                slots: SLOTS_PER_BACKEND,
                kinds: vec![ECHO.to_owned()],
                default_run_ms: RUN_MS,
                speed: 1.0,
            })?);
        }
        system.wait_until_ready()?;
        Ok(system)
    }

    /// Starts an entry that is not running.
    fn restart_entry(&mut self, index: usize) -> Result<()> {
        let platform = self.platform.url();
        self.entries[index].start_entry(&platform)
    }

    /// Starts an agent that is not running.
    fn restart_agent(&mut self, index: usize) -> Result<()> {
        let peers: Vec<String> = self
            .entries
            .iter()
            .map(|process| process.peer.to_string())
            .collect();
        self.agents[index].start_agent(&peers.join(","))
    }

    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self
            .entries
            .iter()
            .all(|process| local::is_ready(&process.url()))
        {
            if Instant::now() > deadline {
                bail!("not all entries are ready after {START_TIMEOUT:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Injects one fault chosen at random and repairs it after a random time.
    fn inject_fault(&mut self, rng: &mut SmallRng) -> Result<()> {
        let fault_duration = Duration::from_millis(rng.random_range(300..MAX_FAULT_MS));
        match rng.random_range(0..7) {
            0 => {
                let index = rng.random_range(0..ENTRY_COUNT);
                self.entries[index].process = None;
                thread::sleep(fault_duration);
                self.restart_entry(index)?;
            }
            1 => {
                let index = rng.random_range(0..AGENT_COUNT);
                self.agents[index].process = None;
                thread::sleep(fault_duration);
                self.restart_agent(index)?;
            }
            2 => suspend_process(
                &self.entries[rng.random_range(0..ENTRY_COUNT)],
                fault_duration,
            ),
            3 => suspend_process(
                &self.agents[rng.random_range(0..AGENT_COUNT)],
                fault_duration,
            ),
            4 => self.fail_table_service(
                platform::Faults {
                    down: true,
                    ..Default::default()
                },
                fault_duration,
            ),
            5 => self.fail_table_service(
                platform::Faults {
                    slow_ms: 700,
                    ..Default::default()
                },
                fault_duration,
            ),
            _ => self.fail_table_service(
                platform::Faults {
                    lose_answers: 3,
                    ..Default::default()
                },
                fault_duration,
            ),
        }
        Ok(())
    }

    fn fail_table_service(&self, faults: platform::Faults, duration: Duration) {
        self.platform.set_faults(faults);
        thread::sleep(duration);
        self.platform.set_faults(platform::Faults::default());
    }
}

fn suspend_process(process: &ManagedProcess, duration: Duration) {
    process.send_signal(Signal::SIGSTOP);
    thread::sleep(duration);
    process.send_signal(Signal::SIGCONT);
}

/// Runs rounds of faults and checks all answers. Each round begins and ends with every process
/// running.
///
/// # Errors
/// Fails if the system does not start, a process cannot be restarted, a caller panics or the
/// entries do not become ready again after a round.
pub fn run(rounds: u32, seed: u64) -> Result<Totals> {
    let mut system = System::start()?;
    let mut totals = Totals::default();
    let mut history = Vec::new();
    for round in 0..rounds {
        let answers_before = history.len();
        history.extend(run_round(
            &mut system,
            seed + u64::from(round),
            &mut totals,
        )?);
        print_round(round, &history[answers_before..]);
    }
    // Tasks whose job timed out while they were in flight may still start.
    thread::sleep(JOB_TIMEOUT);
    let starts = system.backends.iter().flat_map(Backend::starts);
    let starts: Vec<(String, u32)> = starts.map(|start| (start.job, start.index)).collect();
    totals.complete = history
        .iter()
        .filter(|answer| answer.outputs.is_some())
        .count();
    totals.violations = history::find_violations(&history, &starts);
    Ok(totals)
}

/// Prints how the submissions of a round ended.
fn print_round(round: u32, answers: &[ReceivedAnswer]) {
    let mut count_by_end: BTreeMap<&str, usize> = BTreeMap::new();
    for answer in answers {
        let end = if answer.outputs.is_some() {
            "whole"
        } else {
            &answer.reason
        };
        *count_by_end.entry(end).or_default() += 1;
    }
    println!("round {round}: {count_by_end:?}");
}

/// Runs callers while faults are injected; returns the answers that the callers received.
fn run_round(system: &mut System, seed: u64, totals: &mut Totals) -> Result<Vec<ReceivedAnswer>> {
    let round_ended = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let urls: Vec<String> = system.entries.iter().map(ManagedProcess::url).collect();
    let callers: Vec<_> = (0..CALLERS_PER_ROUND)
        .map(|index| {
            let (urls, round_ended, answers) =
                (urls.clone(), Arc::clone(&round_ended), Arc::clone(&answers));
            let rng = SmallRng::seed_from_u64(seed * 1_000 + index as u64);
            thread::spawn(move || run_caller(&urls, rng, &round_ended, &answers))
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    for _fault in 0..FAULTS_PER_ROUND {
        system.inject_fault(&mut rng)?;
        totals.faults += 1;
    }
    round_ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let (submissions, unanswered) = caller
            .join()
            .map_err(|_panic| anyhow::anyhow!("a caller panicked"))?;
        totals.submissions += submissions;
        totals.unanswered += unanswered;
    }
    system.wait_until_ready()?;
    let answers = std::mem::take(&mut *answers.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(answers)
}

/// Submits jobs until the round ends; returns the numbers of all submissions and of those without
/// an answer.
fn run_caller(
    urls: &[String],
    mut rng: SmallRng,
    round_ended: &AtomicBool,
    answers: &Arc<Mutex<Vec<ReceivedAnswer>>>,
) -> (usize, usize) {
    let (mut submissions, mut unanswered) = (0, 0);
    while !round_ended.load(Ordering::Relaxed) {
        let id = caller::new_id();
        let inputs: Vec<Value> = (0..rng.random_range(1..=MAX_TASKS_PER_JOB))
            .map(|index| json!({ "job": id.to_string(), "index": index }))
            .collect();
        let submissions_of_job: Vec<_> = (0..SUBMISSIONS_PER_JOB)
            .map(|_number| {
                let url = urls[rng.random_range(0..urls.len())].clone();
                let delay = Duration::from_millis(rng.random_range(0..200));
                let inputs = inputs.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    caller::submit(&url, &id, ECHO, &inputs, JOB_TIMEOUT)
                })
            })
            .collect();
        for submission in submissions_of_job {
            submissions += 1;
            match submission.join() {
                Ok(Ok(answer)) => {
                    let is_complete = answer.state == "complete";
                    let outputs = answer
                        .results
                        .into_iter()
                        .map(|result| result.output)
                        .collect();
                    let answer = ReceivedAnswer {
                        job: id.to_string(),
                        inputs: inputs.clone(),
                        outputs: is_complete.then_some(outputs),
                        not_run: answer.ran == "no",
                        reason: answer.reason,
                    };
                    answers
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(answer);
                }
                _ => unanswered += 1,
            }
        }
    }
    (submissions, unanswered)
}
