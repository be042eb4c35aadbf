//! Lets concurrent operators change the catalogue while the table service fails, and checks that
//! each accepted change reaches every entry and no change is lost or reverted.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use ibisspool_core::entry::operator::{ChangeResult, RejectionReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::local::{self, BackendShape, LocalSystem};
use crate::operator;
use crate::platform::{Faults, Platform};

const OPERATORS: usize = 2;

/// Changes that one operator has in flight at the same time.
const CHANGES_IN_FLIGHT: usize = 4;

const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);

/// Seed of the first worker's random choices; the next workers use the numbers that follow.
const SEED: u64 = 6;

/// Time between two reads of each entry's catalogue.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time between writes of the table service whose answer is dropped.
const LOST_ANSWER_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two outages of the table service.
const OUTAGE_INTERVAL: Duration = Duration::from_secs(8);
/// Length of each outage.
const OUTAGE_LENGTH: Duration = Duration::from_millis(1_500);

/// Time after the last change within which every entry must adopt it.
const ADOPTION_WAIT: Duration = Duration::from_secs(5);

/// A change that an entry reported to be in force. Each change adds one kind of a unique name.
#[derive(Debug, Clone)]
struct Accepted {
    epoch: u64,
    kind: String,
    latency: Duration,
    answered_at: Instant,
}

/// What the operators were answered.
#[derive(Debug, Default)]
struct OperatorLog {
    accepted: Vec<Accepted>,
    refused_kinds: Vec<String>,
    retries: usize,
    refusal_reasons: BTreeMap<String, usize>,
}

/// Names of the kinds in one entry's catalogue by its version, with the time of the first
/// observation.
type ObservedVersions = BTreeMap<u64, (BTreeSet<String>, Instant)>;

/// Results of one run.
#[derive(Debug)]
pub struct Outcome {
    log: OperatorLog,
    observed: Vec<ObservedVersions>,
    version_regressions: usize,
    lost_answers: usize,
    outages: usize,
}

/// Lets two operators make changes until `count` are accepted, and reads every entry's catalogue
/// meanwhile.
///
/// # Errors
/// Fails if the local system does not start.
pub fn run(count: usize) -> Result<Outcome> {
    let names = ["karditsa", "larissa", "trikala"];
    let shapes = names.map(|name| BackendShape {
        data_centre: name.to_owned(),
        slots: 8,
        speed: 1.0,
    });
    let local = local::start(&names, &shapes, 50.0)?;
    let stop = Arc::new(AtomicBool::new(false));
    let faults = start_faults(&local.platform, &stop);
    let watchers = start_watchers(&local, &stop);
    let log = run_operators(&local.entry_urls(), count);
    thread::sleep(ADOPTION_WAIT);
    stop.store(true, Ordering::Relaxed);
    let (lost_answers, outages) = faults.join().unwrap_or_default();
    let mut observed = Vec::new();
    let mut version_regressions = 0;
    for watcher in watchers {
        let (versions, regressions) = watcher.join().unwrap_or_default();
        observed.push(versions);
        version_regressions += regressions;
    }
    Ok(Outcome {
        log,
        observed,
        version_regressions,
        lost_answers,
        outages,
    })
}

/// Makes the table service lose answers and fail until `stop` is set; returns a thread that yields
/// the numbers of lost answers and outages.
fn start_faults(platform: &Platform, stop: &Arc<AtomicBool>) -> thread::JoinHandle<(usize, usize)> {
    let (platform, stop) = (platform.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let (mut lost_answers, mut outages) = (0, 0);
        let mut next_outage = Instant::now() + OUTAGE_INTERVAL;
        while !stop.load(Ordering::Relaxed) {
            if Instant::now() >= next_outage {
                set_faults(&platform, true, 0);
                thread::sleep(OUTAGE_LENGTH);
                next_outage = Instant::now() + OUTAGE_INTERVAL;
                outages += 1;
            }
            set_faults(&platform, false, 1);
            lost_answers += 1;
            thread::sleep(LOST_ANSWER_INTERVAL);
        }
        set_faults(&platform, false, 0);
        (lost_answers, outages)
    })
}

fn set_faults(platform: &Platform, down: bool, lose_answers: u32) {
    platform.set_faults(Faults {
        down,
        lose_answers,
        ..Faults::default()
    });
}

/// Reads each entry's catalogue until `stop` is set; returns threads that yield the kinds at each
/// version and how often the version went down.
fn start_watchers(
    local: &LocalSystem,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<(ObservedVersions, usize)>> {
    let watchers = local.entry_urls().into_iter().map(|url| {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut observed = ObservedVersions::new();
            let (mut last_version, mut version_regressions) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                if let Ok(adopted) = operator::catalogue(&url) {
                    version_regressions += usize::from(adopted.version < last_version);
                    last_version = adopted.version;
                    let kinds = adopted.catalogue.kinds.into_iter().map(|kind| kind.name);
                    observed
                        .entry(last_version)
                        .or_insert_with(|| (kinds.collect(), Instant::now()));
                }
                thread::sleep(WATCH_INTERVAL);
            }
            (observed, version_regressions)
        })
    });
    watchers.collect()
}

/// Makes all changes; each worker begins its next change once its last one is accepted.
fn run_operators(entries: &[String], count: usize) -> OperatorLog {
    let log = Arc::<Mutex<OperatorLog>>::default();
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..OPERATORS * CHANGES_IN_FLIGHT).map(|worker| {
        let (entries, log, next) = (entries.to_vec(), Arc::clone(&log), Arc::clone(&next));
        let mut rng = SmallRng::seed_from_u64(SEED + worker as u64);
        thread::spawn(move || {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return;
                }
                make_change(&entries, number, &mut rng, &log);
            }
        })
    });
    let workers: Vec<_> = workers.collect();
    for worker in workers {
        let _panicked = worker.join();
    }
    std::mem::take(&mut log.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Makes one change. A refused change is replaced by one with another kind and another id, so that
/// a kind that appears in a catalogue shows which attempt took effect.
fn make_change(entries: &[String], number: usize, rng: &mut SmallRng, log: &Mutex<OperatorLog>) {
    for attempt in 0.. {
        let kind = format!("kind-{number}-{attempt}");
        let started = Instant::now();
        let end = retry_until_decided(entries, &kind, rng, log);
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        match end {
            Ok(epoch) => {
                log.accepted.push(Accepted {
                    epoch,
                    kind,
                    latency: started.elapsed(),
                    answered_at: Instant::now(),
                });
                return;
            }
            Err(reason) => {
                *log.refusal_reasons.entry(reason.to_string()).or_default() += 1;
                log.refused_kinds.push(kind);
            }
        }
        drop(log);
        thread::sleep(Duration::from_millis(rng.random_range(5..50)));
    }
}

/// Repeats one change under its id until the entry answers that it is in force or was not accepted.
/// Returns the epoch in which the change is in force.
fn retry_until_decided(
    entries: &[String],
    kind: &str,
    rng: &mut SmallRng,
    log: &Mutex<OperatorLog>,
) -> Result<u64, RejectionReason> {
    let file = format!("[[kind]]\nname = \"{kind}\"\nowner = \"local\"\n");
    loop {
        let entry = &entries[rng.random_range(0..entries.len())];
        match operator::put_catalogue(entry, &file, kind, CHANGE_TIMEOUT).map(|outcome| outcome.end)
        {
            Ok(ChangeResult::InForce { epoch, .. }) => return Ok(epoch),
            Ok(ChangeResult::NotAccepted { reason, .. }) => return Err(reason),
            Ok(
                ChangeResult::Written { .. }
                | ChangeResult::Unsettled { .. }
                | ChangeResult::DryRun,
            )
            | Err(_) => {
                log.lock().unwrap_or_else(PoisonError::into_inner).retries += 1;
            }
        }
    }
}

impl Outcome {
    /// Prints the figures and checks the catalogues that were observed.
    ///
    /// # Errors
    /// Fails if a catalogue version went down, an accepted change was reverted, out of order or not
    /// observed, or a refused change was observed.
    pub fn report_and_check(&self) -> Result<()> {
        let log = &self.log;
        println!(
            "{} changes accepted, {} refused {:?}, {} retries; table service: {} lost answers injected, {} outages of {OUTAGE_LENGTH:?}",
            log.accepted.len(),
            log.refused_kinds.len(),
            log.refusal_reasons,
            log.retries,
            self.lost_answers,
            self.outages
        );
        let mut latencies_ms: Vec<u128> = log
            .accepted
            .iter()
            .map(|accepted| accepted.latency.as_millis())
            .collect();
        latencies_ms.sort_unstable();
        let quantile =
            |share: f64| latencies_ms[((latencies_ms.len() - 1) as f64 * share) as usize];
        println!(
            "time until a change is in force: p50 {} ms, p99 {} ms, max {} ms",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
        let mut accepted_by_epoch = log.accepted.clone();
        accepted_by_epoch.sort_by_key(|accepted| accepted.epoch);
        ensure!(
            self.version_regressions == 0,
            "the catalogue version of an entry went down {} times",
            self.version_regressions
        );
        for (entry, observed) in self.observed.iter().enumerate() {
            check_entry_history(entry, observed, &accepted_by_epoch, &log.refused_kinds)?;
        }
        println!(
            "every accepted change was observed at every entry, in order, and none was reverted"
        );
        Ok(())
    }
}

/// Checks that each observed catalogue of one entry holds the accepted changes up to some epoch
/// without a gap and no refused change, and that every accepted change was observed.
fn check_entry_history(
    entry: usize,
    observed: &ObservedVersions,
    accepted_by_epoch: &[Accepted],
    refused_kinds: &[String],
) -> Result<()> {
    let rank_by_kind: HashMap<&str, usize> = accepted_by_epoch
        .iter()
        .enumerate()
        .map(|(rank, accepted)| (accepted.kind.as_str(), rank))
        .collect();
    for (version, (kinds, _at)) in observed {
        let ranks: BTreeSet<usize> = kinds
            .iter()
            .filter_map(|kind| rank_by_kind.get(kind.as_str()).copied())
            .collect();
        let is_prefix = ranks.iter().copied().eq(0..ranks.len());
        ensure!(
            is_prefix,
            "entry-{entry}: catalogue version {version} lacks a change that was accepted before one that it has"
        );
        let refused_but_observed = refused_kinds.iter().find(|kind| kinds.contains(*kind));
        ensure!(
            refused_but_observed.is_none(),
            "entry-{entry}: the change {refused_but_observed:?} was refused, but catalogue version {version} has it"
        );
    }
    let mut late_changes = 0;
    for accepted in accepted_by_epoch {
        let observations = observed
            .values()
            .filter(|(kinds, _at)| kinds.contains(&accepted.kind));
        let first_observed_at = observations.map(|(_kinds, at)| *at).min();
        let Some(first_observed_at) = first_observed_at else {
            anyhow::bail!(
                "entry-{entry}: the change {} was accepted, but never observed",
                accepted.kind
            );
        };
        late_changes += usize::from(first_observed_at > accepted.answered_at + 2 * WATCH_INTERVAL);
    }
    println!(
        "entry-{entry}: {} versions observed, {late_changes} changes observed later than their answer",
        observed.len()
    );
    Ok(())
}
