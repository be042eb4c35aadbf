//! Simulated deployments and the jobs that arrive at them.

use std::f64::consts::TAU;

use ibisspool_core::catalogue::{Catalogue, Class, Kind, Owner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumString};

/// Microseconds per second.
pub const SECOND_US: f64 = 1e6;

/// Shortest and longest work of a task, in microseconds of run time at speed 1.
const WORK_RANGE_US: (f64, f64) = (50_000.0, 6_000_000.0);

/// Standard deviation of the natural logarithm of a task's work, which is log-normal.
const LOG_WORK_DEVIATION: f64 = 0.9;

/// Speed of the slowest backend server, and the ratio of the fastest speed to the slowest.
const MIN_SPEED_AND_RATIO: (f64, f64) = (0.5, 4.0);

/// Length of a burst in seconds, and its arrival rate relative to the rate outside the burst.
const BURST_SECONDS_AND_RATE: (f64, f64) = (5.0, 10.0);

/// Size classes of jobs: share of all jobs, least and most tasks.
const JOB_SIZES: [(f64, u32, u32); 4] = [
    (0.70, 1, 4),
    (0.22, 5, 20),
    (0.07, 21, 100),
    (0.01, 101, 420),
];

/// A kind of task: name, median work in milliseconds, and run time in milliseconds that the
/// catalogue declares. The declared time differs from the median, so that policies face wrong
/// declarations.
type KindShape = (&'static str, f64, u64);

/// A deployment whose size and kinds follow one of the project's users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Ten backend servers of 6 to 10 slots in four data centres.
    Consorcio,
    /// Ten backend servers of 8 slots in three data centres.
    Edafos,
}

/// How the arrival rate varies over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Arrivals {
    /// A Poisson process with a constant rate.
    Poisson,
    /// A Poisson process with ten times the rate for five seconds, starting at a third of the run.
    Burst,
    /// A Poisson process whose rate rises linearly from 0.4 to 1.6 of the mean until the middle of
    /// the run and falls again.
    Ramp,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Name of the data centre.
    pub data_centre: String,
    /// Number of tasks that run at the same time.
    pub slots: u32,
    /// Microseconds of work that one slot does per microsecond.
    pub speed: f64,
}

/// A job that arrives during the simulation.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// Time of arrival, in microseconds since the start of the arrivals.
    pub arrival_us: u64,
    /// Index of the entry that the caller submits the job to.
    pub entry: usize,
    /// Kind of the tasks.
    pub kind: &'static str,
    /// Work of each task in microseconds at speed 1.
    pub work_us: Vec<u64>,
    /// Timeout of the job in milliseconds.
    pub timeout_ms: u64,
}

/// A deployment with all jobs that arrive at it.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Names of the data centres; each has one entry.
    pub data_centres: Vec<String>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The jobs in the order of arrival.
    pub jobs: Vec<PlannedJob>,
    /// Length of the period of arrivals, in microseconds.
    pub duration_us: u64,
    /// Start and end of the burst in microseconds, if there is one.
    pub burst: Option<(u64, u64)>,
}

impl Deployment {
    fn data_centres(self) -> u32 {
        match self {
            Self::Consorcio => 4,
            Self::Edafos => 3,
        }
    }

    fn slots(self) -> [u32; 10] {
        match self {
            Self::Consorcio => [8, 6, 8, 10, 8, 8, 6, 8, 10, 8],
            Self::Edafos => [8; 10],
        }
    }

    fn kinds(self) -> [KindShape; 3] {
        match self {
            Self::Consorcio => [
                ("date-check", 90.0, 400),
                ("quote", 250.0, 60),
                ("venue-hold", 140.0, 150),
            ],
            Self::Edafos => [
                ("plot-check", 300.0, 50),
                ("sample-reconciliation", 180.0, 900),
                ("baseline-lookup", 80.0, 80),
            ],
        }
    }

    fn servers(self) -> Vec<Server> {
        let slots = self.slots();
        let last_rank = slots.len() as f64 - 1.0;
        (0..slots.len())
            .map(|number| {
                // A stride of 7, coprime to 10 servers, spreads slow and fast servers over the data
                // centres.
                let rank = (number * 7) % slots.len();
                Server {
                    data_centre: format!("dc-{}", number as u32 % self.data_centres()),
                    slots: slots[number],
                    speed: MIN_SPEED_AND_RATIO.0
                        * MIN_SPEED_AND_RATIO.1.powf(rank as f64 / last_rank),
                }
            })
            .collect()
    }

    fn catalogue(self) -> Catalogue {
        let owner = |(name, ..): &KindShape| Owner {
            name: format!("{name}-desk"),
            weight: 1,
            max_running: None,
            max_rate: None,
        };
        let kind = |(name, _median_ms, declared_ms): &KindShape| Kind {
            name: (*name).to_owned(),
            owner: format!("{name}-desk"),
            class: Class::Urgent,
            max_running: None,
            max_rate: None,
            max_tasks: None,
            max_input_bytes: None,
            max_timeout_ms: 120_000,
            expected_run_ms: *declared_ms,
        };
        Catalogue {
            owners: self.kinds().iter().map(owner).collect(),
            kinds: self.kinds().iter().map(kind).collect(),
        }
    }
}

impl Arrivals {
    /// Returns the arrival rate at the time `at_s` relative to the mean rate of a constant process;
    /// the arrivals last `duration_s`.
    fn relative_rate(self, at_s: f64, duration_s: f64) -> f64 {
        match self {
            Self::Burst
                if (duration_s / 3.0..duration_s / 3.0 + BURST_SECONDS_AND_RATE.0)
                    .contains(&at_s) =>
            {
                BURST_SECONDS_AND_RATE.1
            }
            Self::Poisson | Self::Burst => 1.0,
            Self::Ramp => 0.4 + 1.2 * (1.0 - (2.0 * at_s / duration_s - 1.0).abs()),
        }
    }
}

impl Workload {
    /// Draws jobs that arrive over `seconds`. `load` is the offered work as a share of the capacity
    /// at a relative rate of 1. The same arguments give the same jobs.
    pub fn new(
        deployment: Deployment,
        arrivals: Arrivals,
        load: f64,
        seconds: f64,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut workload = Self {
            data_centres: (0..deployment.data_centres())
                .map(|number| format!("dc-{number}"))
                .collect(),
            servers: deployment.servers(),
            catalogue: deployment.catalogue(),
            jobs: Vec::new(),
            duration_us: (seconds * SECOND_US) as u64,
            burst: None,
        };
        if arrivals == Arrivals::Burst {
            let start = seconds / 3.0 * SECOND_US;
            workload.burst = Some((
                start as u64,
                (start + BURST_SECONDS_AND_RATE.0 * SECOND_US) as u64,
            ));
        }
        let kinds = deployment.kinds();
        // The mean work of a job, which sets the arrival rate, comes from a generator of its own,
        // so that the rate does not depend on the seed.
        let mut calibration_rng = SmallRng::seed_from_u64(0);
        let sample_count = 20_000;
        let mean_work_us: f64 = (0..sample_count)
            .map(|_sample| {
                let (_kind, work) = draw_job(&kinds, &mut calibration_rng);
                work.iter().sum::<u64>() as f64
            })
            .sum::<f64>()
            / f64::from(sample_count);
        let jobs_per_second = load * workload.capacity() * SECOND_US / mean_work_us;
        let mut now_s = 0.0;
        loop {
            let relative_rate = arrivals.relative_rate(now_s, seconds);
            now_s += -(1.0 - rng.random::<f64>()).ln() / (jobs_per_second * relative_rate);
            if now_s >= seconds {
                return workload;
            }
            let (kind, work_us) = draw_job(&kinds, &mut rng);
            let longest_us = work_us.iter().max().copied().unwrap_or(0);
            workload.jobs.push(PlannedJob {
                arrival_us: (now_s * SECOND_US) as u64,
                entry: rng.random_range(0..workload.data_centres.len()),
                kind,
                work_us,
                timeout_ms: 10_000 + longest_us / 1_000 * 4,
            });
        }
    }

    /// Returns the work that all slots together do per unit of time.
    pub fn capacity(&self) -> f64 {
        self.servers
            .iter()
            .map(|server| f64::from(server.slots) * server.speed)
            .sum()
    }

    /// Returns the lower bound of the job's response time, in microseconds: every task starts at
    /// once on the fastest server.
    pub fn ideal_us(&self, job: &PlannedJob) -> f64 {
        let fastest = self
            .servers
            .iter()
            .map(|server| server.speed)
            .fold(0.0, f64::max);
        job.work_us.iter().max().copied().unwrap_or(0) as f64 / fastest
    }
}

/// Draws the kind of a job and the work of each of its tasks in microseconds.
fn draw_job(kinds: &[KindShape], rng: &mut SmallRng) -> (&'static str, Vec<u64>) {
    let (kind, median_ms, _declared_ms) = kinds[rng.random_range(0..kinds.len())];
    let mut remaining = rng.random::<f64>();
    let mut size = 1;
    for (share, least, most) in JOB_SIZES {
        if remaining < share {
            size = rng.random_range(least..=most);
            break;
        }
        remaining -= share;
    }
    let work_us = (0..size)
        .map(|_task| {
            let work_us = median_ms * 1_000.0 * (LOG_WORK_DEVIATION * draw_normal(rng)).exp();
            work_us.clamp(WORK_RANGE_US.0, WORK_RANGE_US.1) as u64
        })
        .collect();
    (kind, work_us)
}

/// Draws from the standard normal distribution by the method of Box and Muller (1958).
fn draw_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
