//! What is measured, each at several sizes.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use ibisspool_core::catalogue::Catalogue;
use ibisspool_core::control::{Member, Row};
use ibisspool_core::time::Wall;
use serde_json::{Value, json};

use super::crowd::Crowd;
use super::fit::Sample;
use crate::caller;
use crate::children::{self, Process, Usage};
use crate::local::{self, ECHO};
use crate::platform::Platform;

/// Time for joins and first reports before a measurement.
const SETTLE: Duration = Duration::from_secs(4);

/// Tasks of each job of the tasks scene.
const TASKS_PER_JOB: usize = 20;

/// Callers that submit at the same time in the tasks scene.
const CALLERS: usize = 8;

const TIMEOUT: Duration = Duration::from_secs(30);

/// What was measured at several sizes, by quantity.
#[derive(Debug, Clone, Default)]
pub struct Scene {
    /// What grows.
    pub unit: &'static str,
    /// Quantities with their unit and points.
    pub quantities: Vec<(&'static str, Vec<Sample>)>,
}

impl Scene {
    fn new(unit: &'static str) -> Self {
        Self {
            unit,
            quantities: Vec::new(),
        }
    }

    fn add(&mut self, name: &'static str, size: f64, value: f64) {
        let known = self
            .quantities
            .iter_mut()
            .find(|(other, _samples)| *other == name);
        let sample = Sample { size, value };
        match known {
            Some((_name, samples)) => samples.push(sample),
            None => self.quantities.push((name, vec![sample])),
        }
    }
}

/// An entry process with its addresses.
#[derive(Debug)]
struct EntryProcess {
    process: Process,
    url: String,
    peer: SocketAddr,
}

fn start_platform() -> Result<Platform> {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    local::seed(&platform, &local::catalogue());
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

/// What a process and the loopback device used in a span of time.
#[derive(Debug, Clone, Copy)]
struct Span {
    seconds: f64,
    cpu_s: f64,
    bytes: f64,
    end: Usage,
}

fn observe(process: &Process, span: Duration) -> Result<Span> {
    let (usage, bytes, begun) = (
        process.usage()?,
        children::loopback_bytes()?,
        Instant::now(),
    );
    thread::sleep(span);
    let end = process.usage()?;
    Ok(Span {
        seconds: begun.elapsed().as_secs_f64(),
        cpu_s: end.cpu_s - usage.cpu_s,
        bytes: children::loopback_bytes()? - bytes,
        end,
    })
}

fn add_span(scene: &mut Scene, size: f64, span: Span) {
    scene.add("% of a core", size, span.cpu_s / span.seconds * 100.0);
    scene.add("loopback bytes/s", size, span.bytes / span.seconds);
    scene.add("memory bytes", size, span.end.memory_bytes);
    scene.add("threads", size, span.end.threads);
}

/// One entry with idle agents: cost of an agent to an entry.
///
/// # Errors
/// Fails if a process cannot start.
pub fn agents(sizes: &[usize], span: Duration) -> Result<Scene> {
    let mut scene = Scene::new("idle agent, at one entry");
    for size in sizes {
        let platform = start_platform()?;
        let entry = start_entry(0, &platform)?;
        let _crowd = Crowd::start(*size, ECHO, &[entry.peer.to_string()])?;
        thread::sleep(SETTLE);
        add_span(&mut scene, *size as f64, observe(&entry.process, span)?);
    }
    Ok(scene)
}

/// Several entries without agents: cost of an entry to another.
///
/// # Errors
/// Fails if a process cannot start.
pub fn entries(sizes: &[usize], span: Duration) -> Result<Scene> {
    let mut scene = Scene::new("entry, at one entry");
    for size in sizes {
        let platform = start_platform()?;
        let started: Result<Vec<EntryProcess>> = (0..*size)
            .map(|number| start_entry(number, &platform))
            .collect();
        let started = started?;
        thread::sleep(SETTLE);
        let calls = platform.read_and_write_counts();
        let seen = observe(&started[0].process, span)?;
        let after = platform.read_and_write_counts();
        add_span(&mut scene, *size as f64, seen);
        scene.add(
            "table reads/s",
            *size as f64,
            (after.0 - calls.0) as f64 / seen.seconds,
        );
        scene.add(
            "table writes/s",
            *size as f64,
            (after.1 - calls.1) as f64 / seen.seconds,
        );
    }
    Ok(scene)
}

/// One entry that runs jobs of zero-length tasks: cost of a task.
///
/// # Errors
/// Fails if a process cannot start or a job is not answered whole.
pub fn tasks(sizes: &[usize]) -> Result<Scene> {
    let mut scene = Scene::new("task, at one entry");
    let platform = start_platform()?;
    let entry = start_entry(0, &platform)?;
    let _crowd = Crowd::start(10, ECHO, &[entry.peer.to_string()])?;
    thread::sleep(SETTLE);
    let before = entry.process.usage()?;
    let begun = Instant::now();
    let mut done = 0;
    for size in sizes {
        run_jobs(&entry.url, (size - done) / TASKS_PER_JOB / CALLERS)?;
        done = *size;
        let usage = entry.process.usage()?;
        scene.add("core seconds", done as f64, usage.cpu_s - before.cpu_s);
        scene.add("memory bytes", done as f64, usage.memory_bytes);
        scene.add("seconds", done as f64, begun.elapsed().as_secs_f64());
    }
    Ok(scene)
}

fn run_jobs(url: &str, jobs_each: usize) -> Result<()> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_caller| {
            let url = url.to_owned();
            thread::spawn(move || submit_jobs(&url, jobs_each))
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
        let answer = caller::submit(url, &caller::new_id(), ECHO, &inputs, TIMEOUT)?;
        ensure!(
            answer.status == 200,
            "a job was refused: {} {}",
            answer.reason,
            answer.detail
        );
    }
    Ok(())
}

/// Bytes of the control row by members, and of the catalogue by kinds; computed, not timed.
///
/// # Errors
/// Fails if a row cannot be encoded.
pub fn changes(sizes: &[usize]) -> Result<Scene> {
    let mut scene = Scene::new("member of the row, or kind of the catalogue");
    for size in sizes {
        let row = sizes_row(*size);
        let catalogue = sized_catalogue(*size);
        let bytes = |value: &Value| value.to_string().len() as f64;
        scene.add("row bytes", *size as f64, bytes(&json!(row)));
        scene.add("catalogue bytes", *size as f64, bytes(&json!(catalogue)));
    }
    Ok(scene)
}

fn sizes_row(members: usize) -> Row {
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

fn sized_catalogue(kinds: usize) -> Catalogue {
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
