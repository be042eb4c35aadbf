//! Measurement of a data centre that leaves and returns under steady load.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::{Result, anyhow, ensure};
use ibisspool_core::entry::operator::{ChangeResult, ServiceState};
use plotters::prelude::*;

use crate::local::{self, Local, Shape};
use crate::steady::{self, Ended, Load, wall_ms};
use crate::{operator, platform};

/// Data centres with the number of backend servers in each.
const DATA_CENTRES: [(&str, usize); 3] = [("karditsa", 4), ("larissa", 3), ("trikala", 3)];

/// The data centre that leaves and returns.
const LEAVING: &str = "trikala";

const SLOTS: u32 = 8;
const LOAD: f64 = 0.6;
const TASKS_PER_JOB: u32 = 8;
const WARM_UP: Duration = Duration::from_secs(4);
const PHASE: Duration = Duration::from_secs(10);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);

/// Share of its earlier work at which a data centre that returned carries its share again.
const CARRIES: f64 = 0.9;

/// Length of one period of the figures.
const PERIOD_MS: u64 = 1_000;

/// A change of the data centre's service state.
#[derive(Debug, Clone, Copy)]
pub struct Switch {
    /// When it was asked for, in milliseconds since the Unix epoch.
    pub asked: u64,
    /// When the answer said that it is in force.
    pub in_force: u64,
}

/// Slot-seconds of work done in each second, for each data centre.
type Work = HashMap<&'static str, Vec<f64>>;

/// Results of one run.
#[derive(Debug)]
pub struct Outcome {
    begun: u64,
    out: Switch,
    back: Switch,
    work: Work,
    jobs: Vec<Ended>,
    last_start: Option<u64>,
    doubled: usize,
    offered: f64,
}

/// Runs the measurement; the table service is down while the data centre is out if so asked.
///
/// # Errors
/// Fails if the system does not start or a change is not in force in time.
pub fn run(store_down: bool) -> Result<Outcome> {
    let local = start()?;
    let entries = local.entry_urls();
    let slots: usize = DATA_CENTRES.iter().map(|(_name, count)| count).sum();
    let offered = LOAD * slots as f64 * f64::from(SLOTS);
    let jobs_per_second = offered * 1_000.0 / steady::MEAN_RUN_MS as f64 / f64::from(TASKS_PER_JOB);
    let load = Load::start(steady::Settings {
        entries: entries.clone(),
        tasks_per_job: TASKS_PER_JOB,
        interval: Duration::from_secs_f64(1.0 / jobs_per_second),
    });
    thread::sleep(WARM_UP);
    let begun = wall_ms();
    thread::sleep(PHASE);
    let out = switch(&entries[0], ServiceState::Out, "leave")?;
    set_store(&local, store_down);
    thread::sleep(PHASE);
    set_store(&local, false);
    let back = switch(&entries[0], ServiceState::In, "return")?;
    thread::sleep(PHASE);
    let ended = wall_ms();
    let jobs = load.finish();
    let starts = collect(&local);
    let last_start = starts
        .iter()
        .filter(|start| start.data_centre == LEAVING && start.time < back.asked)
        .map(|start| start.time)
        .max();
    Ok(Outcome {
        begun,
        out,
        back,
        work: work(&starts, begun, ended),
        jobs,
        last_start,
        doubled: doubled(&starts),
        offered,
    })
}

fn start() -> Result<Local> {
    let names: Vec<&str> = DATA_CENTRES.iter().map(|(name, _count)| *name).collect();
    let shapes: Vec<Shape> = DATA_CENTRES
        .iter()
        .flat_map(|(name, count)| {
            let shape = Shape {
                data_centre: (*name).to_owned(),
                slots: SLOTS,
                speed: 1.0,
            };
            std::iter::repeat_n(shape, *count)
        })
        .collect();
    local::start(&names, &shapes, steady::MEAN_RUN_MS as f64)
}

fn set_store(local: &Local, down: bool) {
    let faults = platform::Faults {
        down,
        ..platform::Faults::default()
    };
    local.platform.set_faults(faults);
}

fn switch(entry: &str, state: ServiceState, change: &str) -> Result<Switch> {
    let asked = wall_ms();
    let outcome = operator::set_data_centre(entry, LEAVING, state, change, CHANGE_TIMEOUT)?;
    ensure!(
        matches!(outcome.end, ChangeResult::InForce { .. }),
        "the change is not in force: {outcome:?}"
    );
    Ok(Switch {
        asked,
        in_force: wall_ms(),
    })
}

struct Start {
    data_centre: &'static str,
    job: String,
    index: u32,
    time: u64,
}

fn collect(local: &Local) -> Vec<Start> {
    let places = DATA_CENTRES
        .iter()
        .flat_map(|(name, count)| std::iter::repeat_n(*name, *count));
    let starts = places.zip(&local.backends).flat_map(|(place, backend)| {
        backend.starts().into_iter().map(move |start| Start {
            data_centre: place,
            job: start.job,
            index: start.index,
            time: start.time,
        })
    });
    starts.collect()
}

fn doubled(starts: &[Start]) -> usize {
    let mut counts: HashMap<(&str, u32), usize> = HashMap::new();
    for start in starts {
        *counts.entry((&start.job, start.index)).or_default() += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Spreads each task's run time over the seconds in which it ran.
fn work(starts: &[Start], begun: u64, ended: u64) -> Work {
    let seconds = ((ended - begun) / PERIOD_MS) as usize;
    let mut work = Work::new();
    for start in starts {
        let until = start.time + steady::run_ms(&start.job, start.index);
        let done = work
            .entry(start.data_centre)
            .or_insert_with(|| vec![0.0; seconds]);
        for (second, done) in done.iter_mut().enumerate() {
            let from = begun + second as u64 * PERIOD_MS;
            let overlap = until
                .min(from + PERIOD_MS)
                .saturating_sub(start.time.max(from));
            *done += overlap as f64 / PERIOD_MS as f64;
        }
    }
    work
}

impl Outcome {
    fn second(&self, time: u64) -> usize {
        (time.saturating_sub(self.begun) / PERIOD_MS) as usize
    }

    fn total(&self, second: usize) -> f64 {
        let seconds = self.work.values().filter_map(|work| work.get(second));
        seconds.sum()
    }

    fn mean<F>(from: usize, to: usize, work: F) -> f64
    where
        F: Fn(usize) -> f64,
    {
        (from..to).map(work).sum::<f64>() / (to.saturating_sub(from)).max(1) as f64
    }

    fn leaving(&self, second: usize) -> f64 {
        let work = self.work.get(LEAVING).and_then(|work| work.get(second));
        work.copied().unwrap_or(0.0)
    }

    fn seconds(&self) -> usize {
        self.work.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Prints the figures.
    pub fn print(&self) {
        let (out, back) = (self.second(self.out.asked), self.second(self.back.asked));
        let total = |second| self.total(second);
        let before = Self::mean(0, out, total);
        let during = Self::mean(out, back, total);
        let after = Self::mean(back, self.seconds(), total);
        let slots = |all: bool| {
            let centres = DATA_CENTRES.iter();
            let kept = centres.filter(|(name, _count)| all || *name != LEAVING);
            kept.map(|(_name, count)| *count as f64).sum::<f64>() * f64::from(SLOTS)
        };
        let (all, left) = (slots(true), slots(false));
        println!("offered {:.1} slot-seconds/s on {all} slots", self.offered);
        let line = |phase: &str, done: f64, slots: f64| {
            let possible = self.offered.min(slots);
            println!(
                "{phase}: {done:.1} slot-seconds/s done of {possible:.1} possible on {slots} slots: {:.1}%",
                done / possible * 100.0
            );
        };
        line("before", before, all);
        line("during", during, left);
        line("after", after, all);
        self.print_changes(out, back);
        self.print_jobs();
    }

    fn print_changes(&self, out: usize, back: usize) {
        let force = |switch: Switch| switch.in_force - switch.asked;
        println!("out in force after {} ms", force(self.out));
        if let Some(last) = self.last_start {
            println!(
                "last start in {LEAVING}: {} ms after the change was asked for, {} ms after it was in force",
                last.cast_signed() - self.out.asked.cast_signed(),
                last.cast_signed() - self.out.in_force.cast_signed()
            );
        }
        println!("in in force after {} ms", force(self.back));
        let share = Self::mean(0, out, |second| self.leaving(second));
        let carries = (back..self.seconds()).find(|s| self.leaving(*s) >= CARRIES * share);
        match carries {
            Some(second) => println!(
                "{LEAVING} carries {:.0}% of its earlier work in the second that begins {} s after it was asked back",
                CARRIES * 100.0,
                second - back
            ),
            None => println!("{LEAVING} did not carry its share again"),
        }
    }

    fn print_jobs(&self) {
        let mut reasons: HashMap<&str, usize> = HashMap::new();
        for reason in self.jobs.iter().filter_map(|job| job.refused.as_deref()) {
            *reasons.entry(reason).or_default() += 1;
        }
        let mut took: Vec<u128> = self.jobs.iter().map(|job| job.took.as_millis()).collect();
        took.sort_unstable();
        let quantile = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
        println!(
            "jobs: {}, failed {} {reasons:?}; response p50 {} ms, p99 {} ms, max {} ms; tasks started twice: {}",
            self.jobs.len(),
            reasons.values().sum::<usize>(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            self.doubled
        );
    }

    /// Writes the plot.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<()> {
        self.draw(path)
            .map_err(|error| anyhow!("cannot write the plot {}: {error}", path.display()))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let seconds = self.seconds();
        let top = f64::from(SLOTS) * 10.0;
        let mut chart = ChartBuilder::on(&area)
            .caption("A data centre leaves and returns", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0..seconds, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("slots at work")
            .draw()?;
        let line = |work: &dyn Fn(usize) -> f64| -> Vec<(usize, f64)> {
            (0..seconds).map(|second| (second, work(second))).collect()
        };
        let all = line(&|second| self.total(second));
        let one = line(&|second| self.leaving(second));
        let limit = line(&|second| {
            let is_out =
                (self.second(self.out.asked)..self.second(self.back.asked)).contains(&second);
            if is_out {
                top - f64::from(SLOTS) * 3.0
            } else {
                top
            }
        });
        for (points, colour, label) in [
            (all, &BLUE, "work done"),
            (one, &RED, LEAVING),
            (limit, &BLACK, "slots in service"),
        ] {
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}
