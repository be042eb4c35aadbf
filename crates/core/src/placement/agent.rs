//! State that an entry keeps about one agent.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::estimate::{DecayingMean, WorkEstimate};
use crate::frame::{Hello, Load};
use crate::receipt::Receipt;
use crate::time::Monotonic;

/// Number of tasks that an agent may hold beyond its slots. One task is enough to keep a slot busy
/// during the round trip to the entry.
pub const MAX_TASKS_BEYOND_SLOTS: u32 = 1;

/// Lower bound of run times in milliseconds, since the estimates use the logarithm.
const MIN_RUN_MS: f64 = 0.1;

/// Number of stamps kept per agent. A permit must be a stamp received before the request that
/// confirmed the lease, so the newest one is not enough.
const MAX_KEPT_STAMPS: usize = 32;

/// Position of an agent in the index of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct IndexPosition {
    /// Number of the kind.
    pub(super) kind_number: usize,
    /// [`Agent::expected_end`] in whole thousandths.
    pub(super) expected_end: u64,
    /// Whether the agent is among those with room.
    pub(super) has_room: bool,
}

/// State that an entry keeps about one agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Latest description that the agent sent.
    pub hello: Hello,
    /// Incarnation of the agent process.
    pub incarnation: u64,
    /// Number of the connection to the agent, `None` while it is lost.
    pub link: Option<u64>,
    /// When the last report arrived or, if the connection is lost, when it was lost.
    pub last_heard_at: Monotonic,
    /// Load of the agent in its latest report.
    pub load: Load,
    /// Number of unfinished tasks that this entry has dispatched to the agent.
    pub unfinished_tasks: u32,
    /// Number of tasks that this entry has dispatched to the agent since its latest report.
    pub dispatched_since_report: u32,
    /// Highest epoch that the agent has reported.
    pub epoch: u64,
    /// Acknowledgement state of the outcomes received over the present connection.
    pub receipt: Receipt,
    /// Sequence number of the latest dispatch to the agent among all dispatches of this entry.
    pub last_dispatch_number: u64,
    /// When the agent was last sent an empty order to ask for a report.
    pub report_requested_at: Option<Monotonic>,
    /// Newest permit that the agent has called stale.
    latest_stale_permit: Option<Monotonic>,
    latest_sent_permit: Option<Monotonic>,
    /// Mean logarithm of the slowness over all kinds.
    mean_log_slowness: DecayingMean,
    /// By kind, mean deviation of the logarithm from `mean_log_slowness`.
    log_slowness_deviations: HashMap<String, DecayingMean>,
    /// Whether the agent is one of the fastest, which are reserved for short jobs.
    pub is_reserved_for_short_jobs: bool,
    pub(super) index_positions: SmallVec<[IndexPosition; 4]>,
    /// Stamps of the agent and when each was received, oldest first.
    stamps: Vec<(Monotonic, Monotonic)>,
}

impl Agent {
    /// Creates the state of an agent from the first report on its connection.
    pub fn new(hello: Hello, incarnation: u64, link: u64, now: Monotonic) -> Self {
        Self {
            hello,
            incarnation,
            link: Some(link),
            last_heard_at: now,
            load: Load::default(),
            unfinished_tasks: 0,
            dispatched_since_report: 0,
            epoch: 0,
            receipt: Receipt::new(),
            last_dispatch_number: 0,
            report_requested_at: None,
            latest_stale_permit: None,
            latest_sent_permit: None,
            mean_log_slowness: DecayingMean::new(0.0),
            log_slowness_deviations: HashMap::new(),
            is_reserved_for_short_jobs: false,
            index_positions: SmallVec::new(),
            stamps: Vec::new(),
        }
    }

    /// Returns whether the agent runs tasks of the kind and is not leaving.
    pub fn serves(&self, kind: &str) -> bool {
        !self.hello.leaving && self.hello.kinds.iter().any(|served| served == kind)
    }

    /// Records a stamp of the agent that was received at `now`.
    pub fn record_stamp(&mut self, stamp: Monotonic, now: Monotonic) {
        if self.stamps.len() == MAX_KEPT_STAMPS {
            self.stamps.remove(0);
        }
        self.stamps.push((stamp, now));
    }

    /// Returns the permit for the agent: the newest stamp received no later than `basis`, the time
    /// at which the request that confirmed the lease was sent. `None` if there is no such stamp.
    pub fn permit(&self, basis: Monotonic) -> Option<Monotonic> {
        self.stamps
            .iter()
            .rev()
            .find(|(_stamp, received)| *received <= basis)
            .map(|(stamp, _)| *stamp)
    }

    /// Returns whether there is a permit that is newer than the last one that the agent called
    /// stale.
    pub fn has_permit_not_called_stale(&self, basis: Monotonic) -> bool {
        self.permit(basis) > self.latest_stale_permit
    }

    /// Returns when the newest stamp was received, zero if there is none.
    pub fn newest_stamp_received_at(&self) -> Monotonic {
        self.stamps
            .last()
            .map_or(Monotonic(0), |(_stamp, received)| *received)
    }

    /// Returns whether the permit was received at `oldest` or later. An older permit could expire
    /// on the way to the agent.
    pub fn has_permit_since(&self, basis: Monotonic, oldest: Monotonic) -> bool {
        self.stamps
            .iter()
            .rev()
            .find(|(_stamp, received)| *received <= basis)
            .is_some_and(|(_stamp, received)| *received >= oldest)
    }

    /// Records the permit that was sent in an order.
    pub fn record_sent_permit(&mut self, permit: Option<Monotonic>) {
        self.latest_sent_permit = self.latest_sent_permit.max(permit);
    }

    /// Records that the agent called the latest permit that was sent stale.
    pub fn mark_permit_stale(&mut self) {
        self.latest_stale_permit = self.latest_sent_permit;
    }

    /// Returns the estimated run time of the kind on this backend server divided by the run time on
    /// a server of slowness 1.
    pub fn slowness(&self, kind: &str) -> f64 {
        self.log_slowness(kind).exp()
    }

    /// Returns the natural logarithm of the slowness for a kind.
    fn log_slowness(&self, kind: &str) -> f64 {
        let deviation = self
            .log_slowness_deviations
            .get(kind)
            .map_or(0.0, DecayingMean::value);
        self.mean_log_slowness.value() + deviation
    }

    /// Updates the estimates of this agent and the work estimate of the kind after a task ran for
    /// `run`.
    pub fn record_run_time(&mut self, kind: &str, run: Duration, work: &mut WorkEstimate) {
        let run_ms = run.as_secs_f64() * 1_000.0;
        let log_ms = run_ms.max(MIN_RUN_MS).ln();
        let log_slowness = self.log_slowness(kind);
        let log_work = work.mean_log_ms.value();
        let deviation = log_slowness - self.mean_log_slowness.value();
        work.mean_ms.observe(run_ms / log_slowness.exp());
        work.mean_log_ms.observe(log_ms - log_slowness);
        self.mean_log_slowness
            .observe(log_ms - log_work - deviation);
        if !self.log_slowness_deviations.contains_key(kind) {
            self.log_slowness_deviations
                .insert(kind.to_owned(), DecayingMean::new_deviation());
        }
        if let Some(mean) = self.log_slowness_deviations.get_mut(kind) {
            mean.observe(log_ms - log_work - self.mean_log_slowness.value());
        }
    }

    /// Returns the number of tasks that the agent holds, as far as this entry knows: the reported
    /// load and later dispatches, but at least the own unfinished tasks.
    pub fn held_tasks(&self) -> u32 {
        (self.load.running + self.load.queued + self.dispatched_since_report)
            .max(self.unfinished_tasks)
    }

    /// Returns whether the agent may be sent another task.
    pub fn has_room(&self) -> bool {
        self.is_reachable() && self.held_tasks() < self.hello.slots + MAX_TASKS_BEYOND_SLOTS
    }

    /// Returns whether the agent is connected, not leaving and has slots.
    pub fn is_reachable(&self) -> bool {
        self.link.is_some() && !self.hello.leaving && self.hello.slots > 0
    }

    /// Returns the expected time until a task of the kind would end if it were sent now, divided by
    /// its run time on a server of slowness 1.
    pub fn expected_end(&self, kind: &str) -> f64 {
        let slots = f64::from(self.hello.slots.max(1));
        let tasks_ahead = f64::from((self.held_tasks() + 1).saturating_sub(self.hello.slots));
        self.slowness(kind) * (1.0 + tasks_ahead / slots)
    }
}
