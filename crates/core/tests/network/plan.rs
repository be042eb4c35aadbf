//! Parameters of one run, drawn from its seed.

use std::time::Duration;

use ibisspool_core::settings::Timing;
use rand::Rng;
use rand::rngs::SmallRng;

/// A deliberate fault in the protocol, which must lead to a violation of an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(
    dead_code,
    reason = "only one of the tests that share this module uses the variants"
)]
pub enum Mutant {
    /// One answer counts as the answers of so many members that the others are no majority.
    SingleAnswerAsBlockingSet,
    /// A change counts as in force without waiting for the leases to lapse.
    NoWaitForLeases,
    /// Agents start tasks however old the permit is.
    NoPermitCheck,
    /// Orders carry the newest stamp, even if it arrived after the heartbeats of the lease were
    /// sent.
    NewestStampAsPermit,
    /// A lease starts when the answer to a heartbeat or read arrives, not when that was sent.
    LeaseFromAnswerTime,
    /// Tasks of unknown outcome are dispatched again.
    RedispatchUnknown,
    /// Agents forget which tasks they started.
    AgentForgetsStarts,
    /// An entry without a lease answers that no task ran.
    NotRunWithoutLease,
    /// A coordinator accepts an id without asking the previous coordinators of the id.
    MovedIdWithoutInquiry,
}

/// Sizes, timing and fault rates of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub entries: usize,
    pub agents: usize,
    pub jobs: usize,
    /// When the run ends.
    pub end_us: u64,
    pub timing: Timing,
    /// Probability that a message between entries is lost.
    pub loss_share: f64,
    /// Probability that a message between entries is duplicated.
    pub duplication_share: f64,
    pub max_delay_us: u64,
    /// Largest difference between two wall clocks.
    pub max_wall_skew_ms: u64,
    /// Probability that a process is paused between a decision and sending the messages.
    pub late_send_share: f64,
    pub mean_fault_interval_us: u64,
    /// Most changes by operators in the run.
    pub max_changes: usize,
    /// Whether most faults are network partitions.
    pub mostly_partitions: bool,
    /// Whether processes crash.
    pub has_crashes: bool,
    /// Whether tasks are dispatched again if their outcome is unknown.
    pub are_jobs_idempotent: bool,
    pub mutant: Option<Mutant>,
}

impl Plan {
    pub fn random(rng: &mut SmallRng, mutant: Option<Mutant>) -> Self {
        let mut timing = Timing::default();
        if rng.random_bool(0.3) {
            timing.retention_window = Duration::from_secs(20);
            timing.max_time_without_row_read = Duration::from_secs(8);
        }
        // These mutants violate an invariant only if a partition hides a change from both an entry
        // and an agent.
        let needs_partition = matches!(
            mutant,
            Some(Mutant::NewestStampAsPermit | Mutant::LeaseFromAnswerTime)
        );
        let mostly_partitions = rng.random_bool(0.2) || needs_partition;
        Self {
            max_changes: if mostly_partitions { 12 } else { 3 },
            mostly_partitions,
            entries: rng.random_range(2..=if needs_partition { 2 } else { 5 }),
            agents: rng.random_range(2..=4),
            jobs: rng.random_range(10..=30) * if needs_partition { 8 } else { 1 },
            end_us: rng.random_range(16..=26) * super::SECOND_US,
            timing,
            loss_share: *pick_one(rng, &[0.0, 0.02, 0.1, 0.25]),
            duplication_share: *pick_one(rng, &[0.0, 0.1]),
            max_delay_us: if needs_partition {
                super::SECOND_US
            } else {
                *pick_one(rng, &[1_000, 50_000, 300_000, 2_000_000])
            },
            max_wall_skew_ms: *pick_one(rng, &[0, 100, 200, 500]),
            late_send_share: if needs_partition {
                0.002
            } else {
                *pick_one(rng, &[0.0, 0.0005, 0.003])
            },
            mean_fault_interval_us: *pick_one(rng, &[500_000, 1_500_000, 4_000_000]),
            has_crashes: rng.random_bool(0.7) && !needs_partition,
            are_jobs_idempotent: mutant == Some(Mutant::RedispatchUnknown),
            mutant,
        }
    }

    /// Returns the timing of an agent, which some mutants falsify.
    pub fn agent_timing(&self) -> Timing {
        let mut timing = self.timing;
        match self.mutant {
            Some(Mutant::NoPermitCheck) => timing.lease_duration = Duration::from_hours(1),
            Some(Mutant::AgentForgetsStarts) => timing.retention_window = Duration::ZERO,
            _ => {}
        }
        timing
    }

    /// Returns the timing of an entry, which some mutants falsify.
    pub fn entry_timing(&self, entry: usize) -> Timing {
        let mut timing = self.timing;
        if self.mutant == Some(Mutant::NoWaitForLeases) && entry == 0 {
            timing.lease_duration = Duration::ZERO;
            timing.lease_margin = Duration::ZERO;
        }
        timing
    }
}

/// Returns one of the choices at random.
pub fn pick_one<'a, T>(rng: &mut SmallRng, choices: &'a [T]) -> &'a T {
    &choices[rng.random_range(0..choices.len())]
}
