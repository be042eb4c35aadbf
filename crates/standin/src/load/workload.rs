//! Deployments and the jobs that arrive at them.

use std::f64::consts::TAU;

use ibisspool_core::catalogue::{Catalogue, Class, Kind, Owner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumString};

/// Microseconds in a second.
pub const SECOND_US: f64 = 1e6;

/// Shortest and longest work of a task, in microseconds at speed 1.
const WORK_US: (f64, f64) = (50_000.0, 6_000_000.0);

/// Standard deviation of the logarithm of a task's work.
const WORK_SIGMA: f64 = 0.9;

/// Slowest speed of a backend server, and the ratio of the fastest to the slowest.
const SPEEDS: (f64, f64) = (0.5, 4.0);

/// Length of a burst in seconds, and its rate over the ordinary one.
const BURST: (f64, f64) = (5.0, 10.0);

/// Shares of small, medium, large and huge jobs with their least and most tasks.
const SIZES: [(f64, u32, u32); 4] = [
    (0.70, 1, 4),
    (0.22, 5, 20),
    (0.07, 21, 100),
    (0.01, 101, 420),
];

/// Kinds of task: name, median work in milliseconds, declared run time in milliseconds.
type Shape = (&'static str, f64, u64);

/// A user's deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Ten executors of about 8 slots over four data centres.
    Consorcio,
    /// Ten executors of 8 slots over three data centres.
    Edafos,
}

/// How arrivals vary over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Arrivals {
    /// A Poisson process of one rate.
    Poisson,
    /// A Poisson process with ten times the rate for five seconds, from a third of the run.
    Burst,
    /// A Poisson process whose rate rises to the middle of the run and falls again.
    Ramp,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Data centre.
    pub data_centre: String,
    /// Slots.
    pub slots: u32,
    /// Work in microseconds that one slot does in a microsecond.
    pub speed: f64,
}

/// One job that arrives.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Arrival in microseconds from the start.
    pub at: u64,
    /// Entry that it arrives at.
    pub entry: usize,
    /// Kind of its tasks.
    pub kind: &'static str,
    /// Work of each task in microseconds at speed 1.
    pub work_us: Vec<u64>,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
}

/// A deployment with all that arrives at it.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Names of the data centres; each has one entry.
    pub data_centres: Vec<String>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The jobs by arrival.
    pub plans: Vec<Plan>,
    /// Length of the arrivals in microseconds.
    pub length_us: u64,
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

    fn kinds(self) -> [Shape; 3] {
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
        let last = slots.len() as f64 - 1.0;
        (0..slots.len())
            .map(|number| {
                // A stride that is prime to the count spreads the speeds over the data centres.
                let rank = (number * 7) % slots.len();
                Server {
                    data_centre: format!("dc-{}", number as u32 % self.data_centres()),
                    slots: slots[number],
                    speed: SPEEDS.0 * SPEEDS.1.powf(rank as f64 / last),
                }
            })
            .collect()
    }

    fn catalogue(self) -> Catalogue {
        let owner = |(name, ..): &Shape| Owner {
            name: format!("{name}-desk"),
            weight: 1,
            max_running: None,
            max_rate: None,
        };
        let kind = |(name, _median, declared): &Shape| Kind {
            name: (*name).to_owned(),
            owner: format!("{name}-desk"),
            class: Class::Urgent,
            max_running: None,
            max_rate: None,
            max_tasks: None,
            max_input_bytes: None,
            max_timeout_ms: 120_000,
            expected_run_ms: *declared,
        };
        Catalogue {
            owners: self.kinds().iter().map(owner).collect(),
            kinds: self.kinds().iter().map(kind).collect(),
        }
    }
}

impl Arrivals {
    /// Returns the rate at a moment relative to the ordinary rate.
    fn factor(self, at: f64, length: f64) -> f64 {
        match self {
            Self::Burst if (length / 3.0..length / 3.0 + BURST.0).contains(&at) => BURST.1,
            Self::Poisson | Self::Burst => 1.0,
            Self::Ramp => 0.4 + 1.2 * (1.0 - (2.0 * at / length - 1.0).abs()),
        }
    }
}

impl Workload {
    /// Draws the arrivals of `seconds` at a share `load` of the capacity.
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
            plans: Vec::new(),
            length_us: (seconds * SECOND_US) as u64,
            burst: None,
        };
        if arrivals == Arrivals::Burst {
            let start = seconds / 3.0 * SECOND_US;
            workload.burst = Some((start as u64, (start + BURST.0 * SECOND_US) as u64));
        }
        let kinds = deployment.kinds();
        let mut mean = SmallRng::seed_from_u64(0);
        let samples = 20_000;
        let mean_work: f64 = (0..samples)
            .map(|_sample| {
                let (_kind, work) = draw_job(&kinds, &mut mean);
                work.iter().sum::<u64>() as f64
            })
            .sum::<f64>()
            / f64::from(samples);
        let rate = load * workload.capacity() * SECOND_US / mean_work;
        let mut at = 0.0;
        loop {
            let factor = arrivals.factor(at, seconds);
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * factor);
            if at >= seconds {
                return workload;
            }
            let (kind, work_us) = draw_job(&kinds, &mut rng);
            let longest = work_us.iter().max().copied().unwrap_or(0);
            workload.plans.push(Plan {
                at: (at * SECOND_US) as u64,
                entry: rng.random_range(0..workload.data_centres.len()),
                kind,
                work_us,
                timeout_ms: 10_000 + longest / 1_000 * 4,
            });
        }
    }

    /// Returns the work that all slots together do in a unit of time.
    pub fn capacity(&self) -> f64 {
        self.servers
            .iter()
            .map(|server| f64::from(server.slots) * server.speed)
            .sum()
    }

    /// Returns the response time in microseconds if every task started at once on the fastest
    /// server.
    pub fn ideal_us(&self, plan: &Plan) -> f64 {
        let fastest = self.servers.iter().map(|s| s.speed).fold(0.0, f64::max);
        plan.work_us.iter().max().copied().unwrap_or(0) as f64 / fastest
    }
}

fn draw_job(kinds: &[Shape], rng: &mut SmallRng) -> (&'static str, Vec<u64>) {
    let (kind, median_ms, _declared) = kinds[rng.random_range(0..kinds.len())];
    let mut share = rng.random::<f64>();
    let mut size = 1;
    for (weight, least, most) in SIZES {
        if share < weight {
            size = rng.random_range(least..=most);
            break;
        }
        share -= weight;
    }
    let work = (0..size)
        .map(|_task| {
            let work = median_ms * 1_000.0 * (WORK_SIGMA * normal(rng)).exp();
            work.clamp(WORK_US.0, WORK_US.1) as u64
        })
        .collect();
    (kind, work)
}

/// Draws from the normal distribution (Box and Muller, 1958).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
