//! Measures how much work is done before, during and after an operator takes one data centre out of
//! service, under steady load.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::{Result, anyhow, ensure};
use ibisspool_core::entry::operator::{ChangeResult, ServiceState};
use plotters::prelude::*;

use crate::local::{self, BackendShape, LocalSystem};
use crate::steady::{self, JobEnd, Load, unix_time_ms};
use crate::{operator, platform};

/// Data centres with the number of backend servers in each.
const DATA_CENTRES: [(&str, usize); 3] = [("karditsa", 4), ("larissa", 3), ("trikala", 3)];

/// The data centre that is taken out of service and returned.
const LEAVING_DATA_CENTRE: &str = "trikala";

const SLOTS_PER_BACKEND: u32 = 8;
/// Offered load as a share of all slots.
const LOAD_SHARE: f64 = 0.6;
const TASKS_PER_JOB: u32 = 8;
/// Time under load before the first phase.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time with all data centres in service, without one, and with all again.
const PHASE_LENGTH: Duration = Duration::from_secs(10);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);

/// Share of its earlier work at which the returned data centre counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// Length of one interval of the time series, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Times of one change of the data centre's service state.
#[derive(Debug, Clone, Copy)]
pub struct StateChange {
    /// When the change was requested, in milliseconds since the Unix epoch.
    pub requested_ms: u64,
    /// When the answer arrived that the change is in force, in milliseconds since the Unix epoch.
    pub in_force_ms: u64,
}

/// For each data centre, slot-seconds of work done in each interval.
type WorkByDataCentre = HashMap<&'static str, Vec<f64>>;

/// Results of one run; times are in milliseconds since the Unix epoch.
#[derive(Debug)]
pub struct Outcome {
    first_phase_ms: u64,
    removal: StateChange,
    restoration: StateChange,
    work: WorkByDataCentre,
    jobs: Vec<JobEnd>,
    last_start_ms: Option<u64>,
    duplicate_starts: usize,
    offered_load: f64,
}

/// Runs the measurement. With `is_table_service_down` the table service is down while the data
/// centre is out of service.
///
/// # Errors
/// Fails if the local system does not start or a change is not in force within 13 s.
pub fn run(is_table_service_down: bool) -> Result<Outcome> {
    let local = start()?;
    let entries = local.entry_urls();
    let slots: usize = DATA_CENTRES.iter().map(|(_name, count)| count).sum();
    let offered_load = LOAD_SHARE * slots as f64 * f64::from(SLOTS_PER_BACKEND);
    let jobs_per_second =
        offered_load * 1_000.0 / steady::MEAN_RUN_MS as f64 / f64::from(TASKS_PER_JOB);
    let load = Load::start(steady::Settings {
        entries: entries.clone(),
        tasks_per_job: TASKS_PER_JOB,
        interval: Duration::from_secs_f64(1.0 / jobs_per_second),
    });
    thread::sleep(WARM_UP);
    let first_phase_ms = unix_time_ms();
    thread::sleep(PHASE_LENGTH);
    let removal = change_state(&entries[0], ServiceState::Out, "leave")?;
    set_table_service_down(&local, is_table_service_down);
    thread::sleep(PHASE_LENGTH);
    set_table_service_down(&local, false);
    let restoration = change_state(&entries[0], ServiceState::In, "return")?;
    thread::sleep(PHASE_LENGTH);
    let ended_ms = unix_time_ms();
    let jobs = load.finish();
    let starts = collect_starts(&local);
    let last_start_ms = starts
        .iter()
        .filter(|start| {
            start.data_centre == LEAVING_DATA_CENTRE && start.started_ms < restoration.requested_ms
        })
        .map(|start| start.started_ms)
        .max();
    Ok(Outcome {
        first_phase_ms,
        removal,
        restoration,
        work: work_by_interval(&starts, first_phase_ms, ended_ms),
        jobs,
        last_start_ms,
        duplicate_starts: count_duplicate_starts(&starts),
        offered_load,
    })
}

fn start() -> Result<LocalSystem> {
    let names: Vec<&str> = DATA_CENTRES.iter().map(|(name, _count)| *name).collect();
    let shapes: Vec<BackendShape> = DATA_CENTRES
        .iter()
        .flat_map(|(name, count)| {
            let shape = BackendShape {
                data_centre: (*name).to_owned(),
                slots: SLOTS_PER_BACKEND,
                speed: 1.0,
            };
            std::iter::repeat_n(shape, *count)
        })
        .collect();
    local::start(&names, &shapes, steady::MEAN_RUN_MS as f64)
}

fn set_table_service_down(local: &LocalSystem, down: bool) {
    let faults = platform::Faults {
        down,
        ..platform::Faults::default()
    };
    local.platform.set_faults(faults);
}

fn change_state(entry: &str, state: ServiceState, change: &str) -> Result<StateChange> {
    let requested_ms = unix_time_ms();
    let outcome =
        operator::set_data_centre(entry, LEAVING_DATA_CENTRE, state, change, CHANGE_TIMEOUT)?;
    ensure!(
        matches!(outcome.end, ChangeResult::InForce { .. }),
        "the change of {LEAVING_DATA_CENTRE} is not in force: {outcome:?}"
    );
    Ok(StateChange {
        requested_ms,
        in_force_ms: unix_time_ms(),
    })
}

/// A task start with the data centre of its backend server.
struct LocatedStart {
    data_centre: &'static str,
    job: String,
    index: u32,
    started_ms: u64,
}

fn collect_starts(local: &LocalSystem) -> Vec<LocatedStart> {
    let data_centre_of_backend = DATA_CENTRES
        .iter()
        .flat_map(|(name, count)| std::iter::repeat_n(*name, *count));
    let starts = data_centre_of_backend
        .zip(&local.backends)
        .flat_map(|(data_centre, backend)| {
            backend.starts().into_iter().map(move |start| LocatedStart {
                data_centre,
                job: start.job,
                index: start.index,
                started_ms: start.time,
            })
        });
    starts.collect()
}

/// Returns the number of tasks that started more than once.
fn count_duplicate_starts(starts: &[LocatedStart]) -> usize {
    let mut counts: HashMap<(&str, u32), usize> = HashMap::new();
    for start in starts {
        *counts.entry((&start.job, start.index)).or_default() += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Spreads the run time of each task over the intervals in which the task ran.
fn work_by_interval(
    starts: &[LocatedStart],
    first_phase_ms: u64,
    run_ended_ms: u64,
) -> WorkByDataCentre {
    let interval_count = ((run_ended_ms - first_phase_ms) / INTERVAL_MS) as usize;
    let mut work = WorkByDataCentre::new();
    for start in starts {
        let ended_ms = start.started_ms + steady::run_ms(&start.job, start.index);
        let done = work
            .entry(start.data_centre)
            .or_insert_with(|| vec![0.0; interval_count]);
        for (interval, done) in done.iter_mut().enumerate() {
            let from = first_phase_ms + interval as u64 * INTERVAL_MS;
            let overlap = ended_ms
                .min(from + INTERVAL_MS)
                .saturating_sub(start.started_ms.max(from));
            *done += overlap as f64 / INTERVAL_MS as f64;
        }
    }
    work
}

impl Outcome {
    /// Returns the interval of a time in milliseconds since the Unix epoch.
    fn interval_of(&self, time_ms: u64) -> usize {
        (time_ms.saturating_sub(self.first_phase_ms) / INTERVAL_MS) as usize
    }

    fn total_work(&self, interval: usize) -> f64 {
        let work = self.work.values().filter_map(|work| work.get(interval));
        work.sum()
    }

    fn mean_work<F>(from: usize, to: usize, work: F) -> f64
    where
        F: Fn(usize) -> f64,
    {
        (from..to).map(work).sum::<f64>() / (to.saturating_sub(from)).max(1) as f64
    }

    /// Returns the work done in the data centre that leaves.
    fn leaving_work(&self, interval: usize) -> f64 {
        let work = self
            .work
            .get(LEAVING_DATA_CENTRE)
            .and_then(|work| work.get(interval));
        work.copied().unwrap_or(0.0)
    }

    fn interval_count(&self) -> usize {
        self.work.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Prints the work done in each phase, the times of both changes and the response times.
    pub fn print(&self) {
        let (removal_interval, restoration_interval) = (
            self.interval_of(self.removal.requested_ms),
            self.interval_of(self.restoration.requested_ms),
        );
        let total_work = |interval| self.total_work(interval);
        let before = Self::mean_work(0, removal_interval, total_work);
        let during = Self::mean_work(removal_interval, restoration_interval, total_work);
        let after = Self::mean_work(restoration_interval, self.interval_count(), total_work);
        let slots = |all: bool| {
            let centres = DATA_CENTRES.iter();
            let counted = centres.filter(|(name, _count)| all || *name != LEAVING_DATA_CENTRE);
            counted.map(|(_name, count)| *count as f64).sum::<f64>() * f64::from(SLOTS_PER_BACKEND)
        };
        let (all, remaining) = (slots(true), slots(false));
        println!(
            "offered load: {:.1} slot-seconds/s on {all} slots",
            self.offered_load
        );
        let line = |phase: &str, done: f64, slots: f64| {
            let possible = self.offered_load.min(slots);
            println!(
                "{phase}: {done:.1} slot-seconds/s done of {possible:.1} possible on {slots} slots: {:.1}%",
                done / possible * 100.0
            );
        };
        line("before", before, all);
        line("during", during, remaining);
        line("after", after, all);
        self.print_changes(removal_interval, restoration_interval);
        self.print_jobs();
    }

    fn print_changes(&self, removal_interval: usize, restoration_interval: usize) {
        let time_until_in_force_ms = |change: StateChange| change.in_force_ms - change.requested_ms;
        println!(
            "taken out of service after {} ms",
            time_until_in_force_ms(self.removal)
        );
        if let Some(last) = self.last_start_ms {
            println!(
                "last task start in {LEAVING_DATA_CENTRE}: {} ms after the removal was requested, {} ms after it was in force",
                last.cast_signed() - self.removal.requested_ms.cast_signed(),
                last.cast_signed() - self.removal.in_force_ms.cast_signed()
            );
        }
        println!(
            "returned to service after {} ms",
            time_until_in_force_ms(self.restoration)
        );
        let share = Self::mean_work(0, removal_interval, |interval| self.leaving_work(interval));
        let recovered = (restoration_interval..self.interval_count())
            .find(|interval| self.leaving_work(*interval) >= RECOVERED_SHARE * share);
        match recovered {
            Some(interval) => println!(
                "{LEAVING_DATA_CENTRE} does {:.0}% of its earlier work in the second that begins {} s after its return was requested",
                RECOVERED_SHARE * 100.0,
                interval - restoration_interval
            ),
            None => {
                println!("{LEAVING_DATA_CENTRE} did not return to its earlier share of the work");
            }
        }
    }

    fn print_jobs(&self) {
        let mut reasons: HashMap<&str, usize> = HashMap::new();
        for reason in self.jobs.iter().filter_map(|job| job.refusal.as_deref()) {
            *reasons.entry(reason).or_default() += 1;
        }
        let mut response_times_ms: Vec<u128> = self
            .jobs
            .iter()
            .map(|job| job.response_time.as_millis())
            .collect();
        response_times_ms.sort_unstable();
        let quantile =
            |share: f64| response_times_ms[((response_times_ms.len() - 1) as f64 * share) as usize];
        println!(
            "jobs: {}, failed {} {reasons:?}; response p50 {} ms, p99 {} ms, max {} ms; tasks started twice: {}",
            self.jobs.len(),
            reasons.values().sum::<usize>(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            self.duplicate_starts
        );
    }

    /// Writes the plot of work over time as SVG.
    ///
    /// # Errors
    /// Fails if the plot cannot be drawn or the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<()> {
        self.draw(path)
            .map_err(|error| anyhow!("cannot write the plot {}: {error}", path.display()))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let interval_count = self.interval_count();
        // Ten backend servers in all, three of them in the data centre that leaves.
        let top = f64::from(SLOTS_PER_BACKEND) * 10.0;
        let mut chart = ChartBuilder::on(&area)
            .caption("A data centre leaves and returns", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0..interval_count, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("slots at work")
            .draw()?;
        let line = |work: &dyn Fn(usize) -> f64| -> Vec<(usize, f64)> {
            (0..interval_count)
                .map(|interval| (interval, work(interval)))
                .collect()
        };
        let all = line(&|interval| self.total_work(interval));
        let one = line(&|interval| self.leaving_work(interval));
        let limit = line(&|interval| {
            let is_out = (self.interval_of(self.removal.requested_ms)
                ..self.interval_of(self.restoration.requested_ms))
                .contains(&interval);
            if is_out {
                top - f64::from(SLOTS_PER_BACKEND) * 3.0
            } else {
                top
            }
        });
        for (points, colour, label) in [
            (all, &BLUE, "work done"),
            (one, &RED, LEAVING_DATA_CENTRE),
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
