//! Load check of a new job: refuses a job that quotas or the backlog would keep from ending within
//! its timeout.

use super::Entry;
use super::dispatch::{BACKLOG_THRESHOLD_MS, RANK_STRETCH, lane_for_tasks};
use crate::fair_queue::{Flow, Lane};
use crate::job::Spec;
use crate::limits::{self, MemberPosition, MemberPositions};
use crate::refusal::{Ran, Reason, Refusal};

/// Share of the agents' capacity that an estimate counts on. The rest goes to short jobs that
/// arrive later and overtake the job.
const USABLE_CAPACITY_SHARE: f64 = 0.8;

/// Largest share of the timeout that the expected completion time may take, since run times have
/// a long tail.
const MAX_TIMEOUT_SHARE: f64 = 0.35;

/// Least and greatest retry delay that a refusal advises, in milliseconds.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (100.0, 30_000.0);

impl Entry {
    /// Returns this entry's position among the members of the current epoch and of every earlier
    /// epoch whose leases may still be held. Its share of each limit follows from the positions.
    pub(super) fn limit_places(&self) -> MemberPositions {
        let place = |row: &crate::control::Row| MemberPosition {
            position: row.members.iter().position(|m| self.is_this_process(m)),
            members: row.members.len(),
        };
        let former_rows = self.takeover.rows_with_possible_leases();
        let former_rows = former_rows.filter(|row| !row.members.is_empty());
        std::iter::once(&self.row)
            .chain(former_rows)
            .map(place)
            .collect()
    }

    /// Returns a refusal if the quotas or the backlog would probably keep the job from ending
    /// within its timeout.
    pub(super) fn check_load(&self, spec: &Spec) -> Result<(), Refusal> {
        let timeout_ms = spec.timeout.as_secs_f64() * 1_000.0;
        let quota_ms = self.quota_delay_ms(spec);
        if quota_ms > timeout_ms {
            let detail = format!(
                "the quota of kind `{}` or its owner delays this job by {quota_ms:.0} ms, longer than its timeout; submit it under a new id later or ask for a higher quota",
                spec.kind
            );
            return Err(late_refusal(
                Reason::OverQuota,
                detail,
                quota_ms - timeout_ms,
            ));
        }
        let load_ms = self.expected_completion_ms(spec);
        if load_ms > timeout_ms * MAX_TIMEOUT_SHARE {
            let detail = format!(
                "this job is expected to take {load_ms:.0} ms because of the jobs queued before it, too much of its timeout; submit it under a new id later or with a longer timeout"
            );
            return Err(late_refusal(
                Reason::CannotEndInTime,
                detail,
                load_ms - timeout_ms * MAX_TIMEOUT_SHARE,
            ));
        }
        Ok(())
    }

    /// Returns the time in milliseconds that quotas alone delay the job, infinite if this entry's
    /// share of a quota is zero.
    fn quota_delay_ms(&self, spec: &Spec) -> f64 {
        let Some(kind) = self.catalogue.kind(&spec.kind) else {
            return 0.0;
        };
        let places = self.limit_places();
        let run_ms = self.expected_work_ms(&spec.kind);
        let wait_ms = |max_running: Option<u32>, max_rate: Option<u32>, queued_tasks: usize| {
            let tasks = (queued_tasks + spec.inputs.len()) as f64;
            let by_running = max_running.map_or(0.0, |limit| {
                (tasks - 1.0) * run_ms / f64::from(limits::concurrency_share(limit, &places))
            });
            let by_rate = max_rate.map_or(0.0, |limit| {
                (tasks - 1.0) * 1_000.0 / limits::rate_share(limit, &places)
            });
            // A share of zero divides by zero above, which gives NaN for a single task.
            let is_share_zero = |limit: u32| limits::concurrency_share(limit, &places) == 0;
            if max_running.is_some_and(is_share_zero) {
                return f64::INFINITY;
            }
            by_running.max(by_rate)
        };
        let queued_tasks = |is_counted: &dyn Fn(&Flow) -> bool| {
            let flows = self
                .queue
                .backlogged_flows()
                .filter(|flow| is_counted(flow));
            flows.map(|flow| flow.waiting_tasks).sum()
        };
        let of_kind = queued_tasks(&|flow| flow.kind == kind.name);
        let by_kind = wait_ms(kind.max_running, kind.max_rate, of_kind);
        let by_owner = self.catalogue.owner(&kind.owner).map_or(0.0, |owner| {
            let of_owner = queued_tasks(&|flow| flow.owner == owner.name);
            wait_ms(owner.max_running, owner.max_rate, of_owner)
        });
        by_kind.max(by_owner)
    }

    /// Returns the factor by which jobs that arrive later delay a job, as a multiple of the job's
    /// own work. A later job with a lower rank overtakes it only while a backlog waits.
    fn rank_stretch(&self) -> f64 {
        if self.fleet_backlog_ms() > BACKLOG_THRESHOLD_MS {
            1.0 + RANK_STRETCH
        } else {
            1.0
        }
    }

    /// Returns the time in milliseconds within which the job is expected to end. The work queued
    /// before it counts as all such work or as its owner's part at the owner's share of the
    /// capacity, whichever takes less time.
    fn expected_completion_ms(&self, spec: &Spec) -> f64 {
        let capacity = USABLE_CAPACITY_SHARE * self.fleet.capacity();
        if capacity <= 0.0 {
            return 0.0;
        }
        let entries = self.row.members.len() as f64;
        let is_ahead = |flow: &&Flow| {
            lane_for_tasks(spec.inputs.len()) == Lane::Long || flow.lane == Lane::Short
        };
        let work = |flow: &Flow| flow.waiting_tasks as f64 * self.expected_work_ms(&flow.kind);
        let all_ms: f64 = self
            .queue
            .backlogged_flows()
            .filter(is_ahead)
            .map(work)
            .sum();
        let owner = self
            .catalogue
            .kind(&spec.kind)
            .map_or("", |kind| kind.owner.as_str());
        let is_own = |flow: &&Flow| is_ahead(flow) && flow.owner == owner;
        let own_ms: f64 = self.queue.backlogged_flows().filter(is_own).map(work).sum();
        let ahead_ms = all_ms.min(own_ms / self.queue.owner_share(owner));
        let run_ms = self.expected_work_ms(&spec.kind);
        let job_ms = spec.inputs.len() as f64 * run_ms;
        ahead_ms * entries / capacity + job_ms * self.rank_stretch() / capacity + run_ms
    }
}

/// Returns the refusal of a job that would end `late_ms` too late, which is the advised delay too.
fn late_refusal(reason: Reason, detail: String, late_ms: f64) -> Refusal {
    let delay_ms = late_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1) as u64;
    Refusal::new(reason, Ran::No, detail).with_retry_after_ms(delay_ms)
}
