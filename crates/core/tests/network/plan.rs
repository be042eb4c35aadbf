//! What one run is like, drawn from its seed.

use std::time::Duration;

use ibisspool_core::settings::Timing;
use rand::Rng;
use rand::rngs::SmallRng;

/// A deliberate mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(
    dead_code,
    reason = "only one of the tests that share this module names them"
)]
pub enum Mutant {
    /// One answer counts as the answers of a blocking set.
    OneAnswer,
    /// A change counts as in force without waiting for the leases to lapse.
    NoWait,
    /// Agents start tasks whatever the age of the permit.
    NoPermitCheck,
    /// Orders carry the newest stamp, received after the lease's question or not.
    NewestStamp,
    /// The lease counts from the answer.
    LeaseFromAnswer,
    /// Tasks of unknown outcome are dispatched again.
    RedispatchUnknown,
    /// Agents forget starts.
    ForgetfulLedger,
    /// An entry without a lease promises that nothing ran.
    NoWithoutLease,
    /// A coordinator starts a moved id without knowing the previous coordinators.
    MovedWithoutAsking,
}

/// Sizes, timing and faults of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub entries: usize,
    pub agents: usize,
    pub jobs: usize,
    /// When the run ends, in microseconds.
    pub end: u64,
    pub timing: Timing,
    /// Share of lost messages among entries.
    pub loss: f64,
    /// Share of duplicated messages among entries.
    pub duplication: f64,
    /// Longest delay of a message, in microseconds.
    pub delay: u64,
    /// Most that two wall clocks differ, in milliseconds.
    pub skew: u64,
    /// Share of steps after which the process is paused before it sends.
    pub late_send: f64,
    /// Mean time between faults, in microseconds.
    pub calm: u64,
    /// Most changes by operators.
    pub changes: usize,
    /// Whether most faults are cuts of the network.
    pub partitions: bool,
    /// Whether processes crash.
    pub crashes: bool,
    /// Whether tasks may run again when their outcome is unknown.
    pub idempotent: bool,
    pub mutant: Option<Mutant>,
}

impl Plan {
    pub fn draw(rng: &mut SmallRng, mutant: Option<Mutant>) -> Self {
        let mut timing = Timing::default();
        if rng.random_bool(0.3) {
            timing.retention_window = Duration::from_secs(20);
            timing.max_time_without_row_read = Duration::from_secs(8);
        }
        // These break a promise only if a partition hides a change from an entry and an agent.
        let rare = matches!(mutant, Some(Mutant::NewestStamp | Mutant::LeaseFromAnswer));
        let partitions = rng.random_bool(0.2) || rare;
        Self {
            changes: if partitions { 12 } else { 3 },
            partitions,
            entries: rng.random_range(2..=if rare { 2 } else { 5 }),
            agents: rng.random_range(2..=4),
            jobs: rng.random_range(10..=30) * if rare { 8 } else { 1 },
            end: rng.random_range(16..=26) * super::SECOND,
            timing,
            loss: *pick(rng, &[0.0, 0.02, 0.1, 0.25]),
            duplication: *pick(rng, &[0.0, 0.1]),
            delay: if rare {
                super::SECOND
            } else {
                *pick(rng, &[1_000, 50_000, 300_000, 2_000_000])
            },
            skew: *pick(rng, &[0, 100, 200, 500]),
            late_send: if rare {
                0.002
            } else {
                *pick(rng, &[0.0, 0.0005, 0.003])
            },
            calm: *pick(rng, &[500_000, 1_500_000, 4_000_000]),
            crashes: rng.random_bool(0.7) && !rare,
            idempotent: mutant == Some(Mutant::RedispatchUnknown),
            mutant,
        }
    }

    /// Returns the timing of an agent.
    pub fn agent_timing(&self) -> Timing {
        let mut timing = self.timing;
        match self.mutant {
            Some(Mutant::NoPermitCheck) => timing.lease_duration = Duration::from_hours(1),
            Some(Mutant::ForgetfulLedger) => timing.retention_window = Duration::ZERO,
            _ => {}
        }
        timing
    }

    /// Returns the timing of an entry.
    pub fn entry_timing(&self, entry: usize) -> Timing {
        let mut timing = self.timing;
        if self.mutant == Some(Mutant::NoWait) && entry == 0 {
            timing.lease_duration = Duration::ZERO;
            timing.lease_margin = Duration::ZERO;
        }
        timing
    }
}

/// Returns one of the choices.
pub fn pick<'a, T>(rng: &mut SmallRng, choices: &'a [T]) -> &'a T {
    &choices[rng.random_range(0..choices.len())]
}
