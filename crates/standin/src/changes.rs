//! Measurement of catalogue changes by racing operators under faults of the table service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use ibisspool_core::entry::operator::{ChangeResult, RejectionReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::local::{self, Local, Shape};
use crate::operator;
use crate::platform::{Faults, Platform};

const OPERATORS: usize = 2;

/// Changes that one operator has under way at the same time.
const UNDER_WAY: usize = 4;

const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);
const SEED: u64 = 6;

/// Time between looks at each entry's catalogue.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time between lost answers of the table service.
const LOSE_EVERY: Duration = Duration::from_millis(400);

/// Time between outages of the table service, and how long each lasts.
const OUTAGE_EVERY: Duration = Duration::from_secs(8);
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after the last change for every entry to have adopted it.
const SETTLE: Duration = Duration::from_secs(5);

/// A change that was accepted.
#[derive(Debug, Clone)]
struct Accepted {
    epoch: u64,
    kind: String,
    took: Duration,
    told: Instant,
}

#[derive(Debug, Default)]
struct Log {
    accepted: Vec<Accepted>,
    refused: Vec<String>,
    repeated: usize,
    reasons: BTreeMap<String, usize>,
}

/// What one entry's catalogue held at one version.
type Seen = BTreeMap<u64, (BTreeSet<String>, Instant)>;

/// Results of one run.
#[derive(Debug)]
pub struct Outcome {
    log: Log,
    seen: Vec<Seen>,
    fell: usize,
    lost: usize,
    outages: usize,
}

/// Lets two operators make `count` changes, and watches every entry's catalogue.
///
/// # Errors
/// Fails if the system does not start.
pub fn run(count: usize) -> Result<Outcome> {
    let names = ["karditsa", "larissa", "trikala"];
    let shapes = names.map(|name| Shape {
        data_centre: name.to_owned(),
        slots: 8,
        speed: 1.0,
    });
    let local = local::start(&names, &shapes, 50.0)?;
    let stop = Arc::new(AtomicBool::new(false));
    let faults = start_faults(&local.platform, &stop);
    let watchers = watch(&local, &stop);
    let log = operate(&local.entry_urls(), count);
    thread::sleep(SETTLE);
    stop.store(true, Ordering::Relaxed);
    let (lost, outages) = faults.join().unwrap_or_default();
    let mut seen = Vec::new();
    let mut fell = 0;
    for watcher in watchers {
        let (versions, falls) = watcher.join().unwrap_or_default();
        seen.push(versions);
        fell += falls;
    }
    Ok(Outcome {
        log,
        seen,
        fell,
        lost,
        outages,
    })
}

fn start_faults(platform: &Platform, stop: &Arc<AtomicBool>) -> thread::JoinHandle<(usize, usize)> {
    let (platform, stop) = (platform.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let (mut lost, mut outages) = (0, 0);
        let mut next_outage = Instant::now() + OUTAGE_EVERY;
        while !stop.load(Ordering::Relaxed) {
            if Instant::now() >= next_outage {
                set(&platform, true, 0);
                thread::sleep(OUTAGE);
                next_outage = Instant::now() + OUTAGE_EVERY;
                outages += 1;
            }
            set(&platform, false, 1);
            lost += 1;
            thread::sleep(LOSE_EVERY);
        }
        set(&platform, false, 0);
        (lost, outages)
    })
}

fn set(platform: &Platform, down: bool, lose_answers: u32) {
    platform.set_faults(Faults {
        down,
        lose_answers,
        ..Faults::default()
    });
}

/// Watches each entry's catalogue: the kinds at each version, and how often the version fell.
fn watch(local: &Local, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(Seen, usize)>> {
    let watchers = local.entry_urls().into_iter().map(|url| {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut seen = Seen::new();
            let (mut last, mut fell) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                if let Ok(adopted) = operator::catalogue(&url) {
                    fell += usize::from(adopted.version < last);
                    last = adopted.version;
                    let kinds = adopted.catalogue.kinds.into_iter().map(|kind| kind.name);
                    seen.entry(last)
                        .or_insert_with(|| (kinds.collect(), Instant::now()));
                }
                thread::sleep(LOOK_EVERY);
            }
            (seen, fell)
        })
    });
    watchers.collect()
}

/// Makes all changes; each operator has a few under way and takes the next when one has ended.
fn operate(entries: &[String], count: usize) -> Log {
    let log = Arc::<Mutex<Log>>::default();
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..OPERATORS * UNDER_WAY).map(|worker| {
        let (entries, log, next) = (entries.to_vec(), Arc::clone(&log), Arc::clone(&next));
        let mut rng = SmallRng::seed_from_u64(SEED + worker as u64);
        thread::spawn(move || {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return;
                }
                make(&entries, number, &mut rng, &log);
            }
        })
    });
    let workers: Vec<_> = workers.collect();
    for worker in workers {
        let _panicked = worker.join();
    }
    std::mem::take(&mut log.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Makes one change; after a refusal it is made anew, as another kind and under another id.
fn make(entries: &[String], number: usize, rng: &mut SmallRng, log: &Mutex<Log>) {
    for attempt in 0.. {
        let kind = format!("kind-{number}-{attempt}");
        let begun = Instant::now();
        let end = settle(entries, &kind, rng, log);
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        match end {
            Ok(epoch) => {
                log.accepted.push(Accepted {
                    epoch,
                    kind,
                    took: begun.elapsed(),
                    told: Instant::now(),
                });
                return;
            }
            Err(reason) => {
                *log.reasons.entry(reason.to_string()).or_default() += 1;
                log.refused.push(kind);
            }
        }
        drop(log);
        thread::sleep(Duration::from_millis(rng.random_range(5..50)));
    }
}

/// Repeats one change under its id until it is in force or not accepted.
fn settle(
    entries: &[String],
    kind: &str,
    rng: &mut SmallRng,
    log: &Mutex<Log>,
) -> Result<u64, RejectionReason> {
    let file = format!("[[kind]]\nname = \"{kind}\"\nowner = \"local\"\n");
    loop {
        let entry = &entries[rng.random_range(0..entries.len())];
        match operator::put_catalogue(entry, &file, kind, CHANGE_TIMEOUT).map(|o| o.end) {
            Ok(ChangeResult::InForce { epoch, .. }) => return Ok(epoch),
            Ok(ChangeResult::NotAccepted { reason, .. }) => return Err(reason),
            Ok(
                ChangeResult::Written { .. }
                | ChangeResult::Unsettled { .. }
                | ChangeResult::DryRun,
            )
            | Err(_) => {
                log.lock().unwrap_or_else(PoisonError::into_inner).repeated += 1;
            }
        }
    }
}

impl Outcome {
    /// Prints the figures and checks what must hold.
    ///
    /// # Errors
    /// Fails if an accepted change was reverted or not seen, or a refused one was seen.
    pub fn check(&self) -> Result<()> {
        let log = &self.log;
        println!(
            "{} changes accepted, {} refused {:?}, {} repeated; table service: {} answers to lose, {} outages of {OUTAGE:?}",
            log.accepted.len(),
            log.refused.len(),
            log.reasons,
            log.repeated,
            self.lost,
            self.outages
        );
        let mut took: Vec<u128> = log.accepted.iter().map(|a| a.took.as_millis()).collect();
        took.sort_unstable();
        let quantile = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
        println!(
            "time to force: p50 {} ms, p99 {} ms, max {} ms",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
        let mut order = log.accepted.clone();
        order.sort_by_key(|accepted| accepted.epoch);
        ensure!(
            self.fell == 0,
            "a catalogue version fell {} times",
            self.fell
        );
        for (entry, seen) in self.seen.iter().enumerate() {
            check_entry(entry, seen, &order, &log.refused)?;
        }
        println!("every accepted change was seen at every entry, in order, and none was reverted");
        Ok(())
    }
}

fn check_entry(entry: usize, seen: &Seen, order: &[Accepted], refused: &[String]) -> Result<()> {
    let rank: HashMap<&str, usize> = order
        .iter()
        .enumerate()
        .map(|(rank, accepted)| (accepted.kind.as_str(), rank))
        .collect();
    for (version, (kinds, _at)) in seen {
        let ranks: BTreeSet<usize> = kinds
            .iter()
            .filter_map(|k| rank.get(k.as_str()).copied())
            .collect();
        let is_prefix = ranks.iter().copied().eq(0..ranks.len());
        ensure!(
            is_prefix,
            "entry-{entry}: catalogue {version} is out of order"
        );
        let false_refusal = refused.iter().find(|kind| kinds.contains(*kind));
        ensure!(
            false_refusal.is_none(),
            "entry-{entry}: {false_refusal:?} was refused and is there"
        );
    }
    let mut late = 0;
    for accepted in order {
        let first = seen
            .values()
            .filter(|(kinds, _at)| kinds.contains(&accepted.kind));
        let first = first.map(|(_kinds, at)| *at).min();
        let Some(first) = first else {
            anyhow::bail!(
                "entry-{entry}: {} was accepted and never seen",
                accepted.kind
            );
        };
        late += usize::from(first > accepted.told + 2 * LOOK_EVERY);
    }
    println!(
        "entry-{entry}: {} versions seen, {late} changes seen later than their answer",
        seen.len()
    );
    Ok(())
}
