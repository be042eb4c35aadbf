//! Refusal of jobs that limits or load keep from ending in time.

use super::Entry;
use super::dispatch::{PRESSURE_MS, RANK_STRETCH, lane};
use crate::fair_queue::{Flow, Lane};
use crate::job::Spec;
use crate::limits::{self, MemberPosition, MemberPositions};
use crate::refusal::{Ran, Reason, Refusal};

/// Share of the capacity that is counted on, since later short jobs go first.
const COUNTED_CAPACITY: f64 = 0.8;

/// Share of the timeout that the expected time may take, since run times have a long tail.
const COUNTED_TIMEOUT: f64 = 0.35;

/// Bounds on the advice when to try again, in milliseconds.
const RETRY_MS: (f64, f64) = (100.0, 30_000.0);

impl Entry {
    /// Returns this entry's places among the members of every epoch that may still be in use.
    pub(super) fn places(&self) -> MemberPositions {
        let place = |row: &crate::control::Row| MemberPosition {
            position: row.members.iter().position(|m| self.is_me(m)),
            members: row.members.len(),
        };
        let earlier = self.takeover.rows_with_possible_leases();
        let earlier = earlier.filter(|row| !row.members.is_empty());
        std::iter::once(&self.row)
            .chain(earlier)
            .map(place)
            .collect()
    }

    /// Refuses a job that cannot end within its timeout.
    pub(super) fn check_load(&self, spec: &Spec) -> Result<(), Refusal> {
        let timeout_ms = spec.timeout.as_secs_f64() * 1_000.0;
        let quota_ms = self.quota_ms(spec);
        if quota_ms > timeout_ms {
            let detail = format!(
                "the quota of `{}` or its owner lets this job end after {quota_ms:.0} ms; send a new id later or ask for a higher quota",
                spec.kind
            );
            return Err(refusal(Reason::OverQuota, detail, quota_ms - timeout_ms));
        }
        let load_ms = self.load_ms(spec);
        if load_ms > timeout_ms * COUNTED_TIMEOUT {
            let detail = format!(
                "with what waits already this job is expected to take {load_ms:.0} ms, too much of its timeout; send a new id later or ask for more time"
            );
            return Err(refusal(
                Reason::CannotEndInTime,
                detail,
                load_ms - timeout_ms * COUNTED_TIMEOUT,
            ));
        }
        Ok(())
    }

    /// Returns the time in milliseconds that limits alone keep the job waiting.
    fn quota_ms(&self, spec: &Spec) -> f64 {
        let Some(kind) = self.catalogue.kind(&spec.kind) else {
            return 0.0;
        };
        let places = self.places();
        let run_ms = self.work_ms(&spec.kind);
        let wait_ms = |max_running: Option<u32>, max_rate: Option<u32>, tasks: usize| {
            let tasks = (tasks + spec.inputs.len()) as f64;
            let by_running = max_running.map_or(0.0, |limit| {
                (tasks - 1.0) * run_ms / f64::from(limits::concurrency_share(limit, &places))
            });
            let by_rate = max_rate.map_or(0.0, |limit| {
                (tasks - 1.0) * 1_000.0 / limits::rate_share(limit, &places)
            });
            // A share of nothing divides by zero: no wait is long enough.
            let shut = |limit: u32| limits::concurrency_share(limit, &places) == 0;
            if max_running.is_some_and(shut) {
                return f64::INFINITY;
            }
            by_running.max(by_rate)
        };
        let waiting = |fits: &dyn Fn(&Flow) -> bool| {
            let flows = self.queue.backlogged_flows().filter(|flow| fits(flow));
            flows.map(|flow| flow.waiting_tasks).sum()
        };
        let of_kind = waiting(&|flow| flow.kind == kind.name);
        let by_kind = wait_ms(kind.max_running, kind.max_rate, of_kind);
        let by_owner = self.catalogue.owner(&kind.owner).map_or(0.0, |owner| {
            let of_owner = waiting(&|flow| flow.owner == owner.name);
            wait_ms(owner.max_running, owner.max_rate, of_owner)
        });
        by_kind.max(by_owner)
    }

    /// Returns the time until a job's rank comes, in times of its own work, while work waits that
    /// later jobs of lesser rank add to.
    fn stretch(&self) -> f64 {
        if self.backlog_ms() > PRESSURE_MS {
            1.0 + RANK_STRETCH
        } else {
            1.0
        }
    }

    /// Returns the time in milliseconds until the job is expected to end, from what waits before
    /// it: the lesser of all that does and of its owner's part at the owner's share.
    fn load_ms(&self, spec: &Spec) -> f64 {
        let capacity = COUNTED_CAPACITY * self.fleet.capacity();
        if capacity <= 0.0 {
            return 0.0;
        }
        let entries = self.row.members.len() as f64;
        let ahead =
            |flow: &&Flow| lane(spec.inputs.len()) == Lane::Long || flow.lane == Lane::Short;
        let work = |flow: &Flow| flow.waiting_tasks as f64 * self.work_ms(&flow.kind);
        let all: f64 = self.queue.backlogged_flows().filter(ahead).map(work).sum();
        let owner = self
            .catalogue
            .kind(&spec.kind)
            .map_or("", |kind| kind.owner.as_str());
        let own = |flow: &&Flow| ahead(flow) && flow.owner == owner;
        let own: f64 = self.queue.backlogged_flows().filter(own).map(work).sum();
        let ahead_ms = all.min(own / self.queue.owner_share(owner));
        let run_ms = self.work_ms(&spec.kind);
        let job_ms = spec.inputs.len() as f64 * run_ms;
        ahead_ms * entries / capacity + job_ms * self.stretch() / capacity + run_ms
    }
}

fn refusal(reason: Reason, detail: String, late_ms: f64) -> Refusal {
    let delay = late_ms.clamp(RETRY_MS.0, RETRY_MS.1) as u64;
    Refusal::new(reason, Ran::No, detail).with_retry_after_ms(delay)
}
