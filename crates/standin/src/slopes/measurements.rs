//! The measurements: resource usage of an entry at several sizes of its surroundings.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use ibisspool_core::catalogue::Catalogue;
use ibisspool_core::control::{Member, Row};
use ibisspool_core::time::Wall;
use serde_json::{Value, json};

use super::agent_group::AgentGroup;
use super::fit::Sample;
use crate::caller;
use crate::children::{self, Process, Usage};
use crate::local::{self, ECHO};
use crate::platform::Platform;

/// Time before a measurement in which entries join and agents send their first reports.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Tasks of each job in [`measure_tasks`].
const TASKS_PER_JOB: usize = 20;

/// Callers that submit jobs concurrently in [`measure_tasks`].
const CONCURRENT_CALLERS: usize = 8;

const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// Samples of several quantities at several sizes.
#[derive(Debug, Clone, Default)]
pub struct Measurement {
    /// What the size counts.
    pub size_unit: &'static str,
    /// Each quantity, named with its unit, and its samples.
    pub samples_by_quantity: Vec<(&'static str, Vec<Sample>)>,
}

impl Measurement {
    fn new(size_unit: &'static str) -> Self {
        Self {
            size_unit,
            samples_by_quantity: Vec::new(),
        }
    }

    fn add_sample(&mut self, name: &'static str, size: f64, value: f64) {
        let existing = self
            .samples_by_quantity
            .iter_mut()
            .find(|(other, _samples)| *other == name);
        let sample = Sample { size, value };
        match existing {
            Some((_name, samples)) => samples.push(sample),
            None => self.samples_by_quantity.push((name, vec![sample])),
        }
    }
}

/// An entry that runs as a process of its own, with its addresses.
#[derive(Debug)]
struct EntryProcess {
    process: Process,
    url: String,
    peer: SocketAddr,
}

fn start_platform() -> Result<Platform> {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    local::write_initial_rows(&platform, &local::catalogue());
    Ok(platform)
}

fn start_entry(number: usize, platform: &Platform) -> Result<EntryProcess> {
    let (listen, peer) = (children::free_address()?, children::free_address()?);
    let name = format!("entry-{number}");
    let process = Process::start(&[
        "ibisspool",
        "serve",
        "--name",
        &name,
        "--data-centre",
        "north",
        "--listen",
        &listen.to_string(),
        "--peer-listen",
        &peer.to_string(),
        "--platform",
        &platform.url(),
    ])?;
    Ok(EntryProcess {
        process,
        url: format!("http://{listen}"),
        peer,
    })
}

/// Resources that a process and the loopback device used in an interval.
#[derive(Debug, Clone, Copy)]
struct UsageInterval {
    seconds: f64,
    cpu_s: f64,
    loopback_bytes: f64,
    usage_at_end: Usage,
}

fn observe_process(process: &Process, interval: Duration) -> Result<UsageInterval> {
    let (usage_before, bytes_before, started_at) = (
        process.usage()?,
        children::loopback_bytes()?,
        Instant::now(),
    );
    thread::sleep(interval);
    let usage_at_end = process.usage()?;
    Ok(UsageInterval {
        seconds: started_at.elapsed().as_secs_f64(),
        cpu_s: usage_at_end.cpu_s - usage_before.cpu_s,
        loopback_bytes: children::loopback_bytes()? - bytes_before,
        usage_at_end,
    })
}

fn add_usage(measurement: &mut Measurement, size: f64, interval: UsageInterval) {
    measurement.add_sample(
        "% of a core",
        size,
        interval.cpu_s / interval.seconds * 100.0,
    );
    measurement.add_sample(
        "loopback bytes/s",
        size,
        interval.loopback_bytes / interval.seconds,
    );
    measurement.add_sample("memory bytes", size, interval.usage_at_end.memory_bytes);
    measurement.add_sample("threads", size, interval.usage_at_end.threads);
}

/// Measures one entry with idle agents: what each agent costs an entry. `sizes` are numbers of
/// agents.
///
/// # Errors
/// Fails if a process cannot start.
pub fn measure_agents(sizes: &[usize], interval: Duration) -> Result<Measurement> {
    let mut measurement = Measurement::new("idle agent, at one entry");
    for size in sizes {
        let platform = start_platform()?;
        let entry = start_entry(0, &platform)?;
        let _agents = AgentGroup::start(*size, ECHO, &[entry.peer.to_string()])?;
        thread::sleep(SETTLE_TIME);
        add_usage(
            &mut measurement,
            *size as f64,
            observe_process(&entry.process, interval)?,
        );
    }
    Ok(measurement)
}

/// Measures one of several entries without agents: what each other entry costs an entry. `sizes`
/// are numbers of entries.
///
/// # Errors
/// Fails if a process cannot start.
pub fn measure_entries(sizes: &[usize], interval: Duration) -> Result<Measurement> {
    let mut measurement = Measurement::new("entry, at one entry");
    for size in sizes {
        let platform = start_platform()?;
        let entries: Result<Vec<EntryProcess>> = (0..*size)
            .map(|number| start_entry(number, &platform))
            .collect();
        let entries = entries?;
        thread::sleep(SETTLE_TIME);
        let counts_before = platform.read_and_write_counts();
        let observed = observe_process(&entries[0].process, interval)?;
        let counts_after = platform.read_and_write_counts();
        add_usage(&mut measurement, *size as f64, observed);
        measurement.add_sample(
            "table reads/s",
            *size as f64,
            (counts_after.0 - counts_before.0) as f64 / observed.seconds,
        );
        measurement.add_sample(
            "table writes/s",
            *size as f64,
            (counts_after.1 - counts_before.1) as f64 / observed.seconds,
        );
    }
    Ok(measurement)
}

/// Measures one entry that runs jobs whose tasks end at once: what each task costs an entry.
/// `sizes` are ascending total numbers of tasks.
///
/// # Errors
/// Fails if a process cannot start or a job is refused.
pub fn measure_tasks(sizes: &[usize]) -> Result<Measurement> {
    let mut measurement = Measurement::new("task, at one entry");
    let platform = start_platform()?;
    let entry = start_entry(0, &platform)?;
    let _agents = AgentGroup::start(10, ECHO, &[entry.peer.to_string()])?;
    thread::sleep(SETTLE_TIME);
    let usage_before = entry.process.usage()?;
    let started_at = Instant::now();
    let mut tasks_done = 0;
    for size in sizes {
        run_jobs(
            &entry.url,
            (size - tasks_done) / TASKS_PER_JOB / CONCURRENT_CALLERS,
        )?;
        tasks_done = *size;
        let usage = entry.process.usage()?;
        measurement.add_sample(
            "core seconds",
            tasks_done as f64,
            usage.cpu_s - usage_before.cpu_s,
        );
        measurement.add_sample("memory bytes", tasks_done as f64, usage.memory_bytes);
        measurement.add_sample(
            "seconds",
            tasks_done as f64,
            started_at.elapsed().as_secs_f64(),
        );
    }
    Ok(measurement)
}

fn run_jobs(url: &str, jobs_per_caller: usize) -> Result<()> {
    let callers: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|_caller| {
            let url = url.to_owned();
            thread::spawn(move || submit_jobs(&url, jobs_per_caller))
        })
        .collect();
    for caller in callers {
        caller
            .join()
            .map_err(|_panic| anyhow::anyhow!("a caller panicked"))??;
    }
    Ok(())
}

fn submit_jobs(url: &str, jobs: usize) -> Result<()> {
    let inputs: Vec<Value> = (0..TASKS_PER_JOB)
        .map(|number| json!({ "plot": number }))
        .collect();
    for _job in 0..jobs {
        let answer = caller::submit(url, &caller::new_id(), ECHO, &inputs, JOB_TIMEOUT)?;
        ensure!(
            answer.status == 200,
            "a job was refused: {} {}",
            answer.reason,
            answer.detail
        );
    }
    Ok(())
}

/// Computes the bytes of the control row by its number of members and of the catalogue by its
/// number of kinds. `sizes` are both numbers.
///
/// # Errors
/// This function never fails; it returns a [`Result`] like the other measurements.
pub fn measure_stored_sizes(sizes: &[usize]) -> Result<Measurement> {
    let mut measurement = Measurement::new("member of the row, or kind of the catalogue");
    for size in sizes {
        let row = row_with_members(*size);
        let catalogue = catalogue_with_kinds(*size);
        let json_bytes = |value: &Value| value.to_string().len() as f64;
        measurement.add_sample("row bytes", *size as f64, json_bytes(&json!(row)));
        measurement.add_sample(
            "catalogue bytes",
            *size as f64,
            json_bytes(&json!(catalogue)),
        );
    }
    Ok(measurement)
}

fn row_with_members(members: usize) -> Row {
    let member = |number: usize| Member {
        name: format!("entry-{number:02}"),
        incarnation: u64::MAX - number as u64,
        address: "10.100.100.100:8081".to_owned(),
        data_centre: "ar-centro-1".to_owned(),
    };
    let row = Row {
        epoch: 1_000_000,
        ..Row::default()
    };
    (0..members).fold(row, |row, number| {
        row.with_member(
            member(number),
            "join-entry",
            Wall(u64::from(u32::MAX)),
            Duration::ZERO,
        )
    })
}

fn catalogue_with_kinds(kinds: usize) -> Catalogue {
    let mut catalogue = local::catalogue();
    let (owner, kind) = (catalogue.owners[0].clone(), catalogue.kinds[0].clone());
    catalogue.owners.clear();
    catalogue.kinds.clear();
    for number in 0..kinds {
        let mut owner = owner.clone();
        owner.name = format!("owner-{number:02}");
        let mut kind = kind.clone();
        kind.name = format!("kind-{number:02}");
        kind.owner.clone_from(&owner.name);
        catalogue.owners.push(owner);
        catalogue.kinds.push(kind);
    }
    catalogue
}
