//! Decides shortly after the start of an entry whether a job that cannot be placed yet waits or is
//! refused, and keeps the waiting jobs.
//!
//! Designed for a total outage: entries, agents and backend servers start again within 0.3 s of each
//! other, while 600 to 930 jobs a second arrive at 11 entries. For some 50 to 500 ms an entry knows
//! none or a fraction of the servers, and a refusal by that fraction would be wrong. A job that
//! waits here has no tasks yet: it isn't counted as queued work, and nothing of it can run.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::super::job::Request;
use super::super::log_line::LogLine;
use super::{Action, Entry, JobKey, Refusal};
use crate::time::{Monotonic, Now};

/// Default time from the start of the process until which jobs wait for the catalogue, agents and
/// servers: agents retry at least every 0.4 s, and a connection takes one round trip.
pub const DEFAULT_STARTUP_WAIT: Duration = Duration::from_millis(500);

/// Assumed time that a caller waits if its request doesn't say: the shortest that is usual.
pub const DEFAULT_BUDGET: Duration = Duration::from_millis(1_500);

/// Share of its slack that a job may spend waiting. The rest covers the wait for free capacity:
/// all jobs that waited need it at the same time.
const MAX_SLACK_SHARE: f64 = 0.5;

/// Time without a new agent or server after which those that are known count as all. Where 3 agents
/// come back within 0.3 s, the time between two of them is 100 ms.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// Most jobs that wait: three times the arrivals in [`DEFAULT_STARTUP_WAIT`] at an entry that gets
/// four times its share of 930 jobs a second.
const MAX_WAITING_JOBS: usize = 512;

/// Most bytes of waiting requests: a fortieth of the smallest entry VM, of 160 MB.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// Number of waiting jobs that still can't be admitted after which a review ends, because the jobs
/// behind them need about as much.
const MAX_MISSES_PER_REVIEW: usize = 4;

/// What an entry knows of the deployment since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// There is no catalogue yet, which defines the queues.
    NoCatalogue,
    /// No agent is connected yet.
    NoAgent,
    /// Agents are connected, but none has told of a server of the job's service that takes tasks.
    NoServer,
    /// Servers are known, and more of them are still being found.
    Growing,
    /// What is known counts as all there is.
    Settled,
}

/// Jobs that wait, or the requests that wait for the first catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Waiting {
    /// Number of requests.
    pub requests: usize,
    /// Size of the requests.
    pub bytes: usize,
}

impl Waiting {
    /// Returns whether there is room for one more request of this size.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.requests < MAX_WAITING_JOBS && self.bytes.saturating_add(bytes) <= MAX_WAITING_BYTES
    }
}

/// A job that can't be admitted by what is known at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// What the entry knows.
    pub phase: Phase,
    /// Present time. The monotonic clock counts from the start of the process.
    pub now: Monotonic,
    /// When the request arrived.
    pub arrived_at: Monotonic,
    /// When the job has to start to meet its latency objective and its deadline.
    pub latest_start: Monotonic,
    /// Time from the start of the process until which jobs wait.
    pub startup_wait: Duration,
}

/// What happens to a job that can't be admitted by what is known at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is refused now.
    Refuse,
    /// It waits until this time for more of the deployment to be found.
    WaitUntil(Monotonic),
    /// Its tasks are queued as if it had been admitted.
    Queue,
}

/// Lets a job wait for a share of its slack, at most until the startup wait is over. A job without
/// slack, or one that more knowledge can't help, is refused at once.
pub fn judge(outlook: &Outlook) -> Verdict {
    if outlook.phase == Phase::Settled {
        return Verdict::Refuse;
    }
    let slack = outlook.latest_start.since(outlook.arrived_at);
    let until = outlook
        .arrived_at
        .plus(slack.mul_f64(MAX_SLACK_SHARE))
        .min(Monotonic(0).plus(outlook.startup_wait));
    if until > outlook.now {
        Verdict::WaitUntil(until)
    } else {
        Verdict::Refuse
    }
}

/// Returns until when a request waits for the first catalogue, `None` if it is refused now. Its
/// queue, and so its slack, isn't known yet; `budget` is how long its caller waits, if it says so.
pub fn wait_for_catalogue(
    waiting: Waiting,
    bytes: usize,
    budget: Option<Duration>,
    startup_wait: Duration,
    now: Monotonic,
) -> Option<Monotonic> {
    let cap = Monotonic(0).plus(startup_wait);
    let share = budget.unwrap_or(DEFAULT_BUDGET).mul_f64(MAX_SLACK_SHARE);
    let until = cap.min(now.plus(share));
    (until > now && waiting.has_room_for(bytes)).then_some(until)
}

/// Counts refusals, and says at most once a second that a line about them is due.
#[derive(Debug, Default)]
pub struct RefusalCount {
    unlogged: u64,
    next_line_at: Monotonic,
}

impl RefusalCount {
    /// Counts a refusal. Returns the number since the last line if a line is due.
    pub fn record(&mut self, now: Monotonic) -> Option<u64> {
        self.unlogged += 1;
        self.take_due(now)
    }

    /// Returns the number of refusals since the last line, if there are any and a line is due.
    pub fn take_due(&mut self, now: Monotonic) -> Option<u64> {
        if self.unlogged == 0 || now < self.next_line_at {
            return None;
        }
        self.next_line_at = now.plus(Duration::from_secs(1));
        Some(std::mem::take(&mut self.unlogged))
    }
}

/// When an entry first reached each step of its way from the start of the process to service. The
/// time before the process started is owed to the outage, the time after it to the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Milestones {
    /// The first catalogue was in force.
    pub catalogue: Option<Monotonic>,
    /// The first agent connected.
    pub agent: Option<Monotonic>,
    /// The first server that takes tasks was known.
    pub server: Option<Monotonic>,
    /// The first job was completed.
    pub completion: Option<Monotonic>,
}

impl Milestones {
    /// Returns the names of the milestones and when each was reached.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, Option<Monotonic>)> + use<> {
        [
            ("catalogue", self.catalogue),
            ("agent", self.agent),
            ("server", self.server),
            ("completion", self.completion),
        ]
        .into_iter()
    }
}

/// A job that waits to be admitted.
#[derive(Debug, Clone, Copy)]
struct Wait {
    latest_start: Monotonic,
    until: Monotonic,
    bytes: usize,
}

/// State of an entry that matters only shortly after its start.
#[derive(Debug)]
pub(super) struct Startup {
    /// Time from the start of the process until which jobs wait.
    pub wait: Duration,
    pub milestones: Milestones,
    /// When the last agent connected or the last server was found.
    last_growth_at: Monotonic,
    by_latest_start: BTreeSet<(Monotonic, JobKey)>,
    waits: SecondaryMap<JobKey, Wait>,
    waiting: Waiting,
    /// Jobs that waited and were then refused, and those that were admitted.
    refused_jobs: u64,
    admitted_jobs: u64,
}

impl Startup {
    pub fn new() -> Self {
        Self {
            wait: DEFAULT_STARTUP_WAIT,
            milestones: Milestones::default(),
            last_growth_at: Monotonic(0),
            by_latest_start: BTreeSet::new(),
            waits: SecondaryMap::new(),
            waiting: Waiting::default(),
            refused_jobs: 0,
            admitted_jobs: 0,
        }
    }

    /// Records that an agent has connected.
    pub fn record_agent(&mut self, now: Monotonic) {
        self.milestones.agent.get_or_insert(now);
        self.last_growth_at = now;
    }

    /// Records that a server has begun to take tasks.
    pub fn record_server(&mut self, now: Monotonic) {
        self.milestones.server.get_or_insert(now);
        self.last_growth_at = now;
    }

    fn insert(&mut self, key: JobKey, wait: Wait) {
        self.by_latest_start.insert((wait.latest_start, key));
        self.waits.insert(key, wait);
        self.waiting.requests += 1;
        self.waiting.bytes += wait.bytes;
    }

    /// Removes a job if it waits; returns whether it did.
    pub fn remove(&mut self, key: JobKey) -> bool {
        let Some(wait) = self.waits.remove(key) else {
            return false;
        };
        self.by_latest_start.remove(&(wait.latest_start, key));
        self.waiting.requests -= 1;
        self.waiting.bytes -= wait.bytes;
        true
    }

    /// Returns whether the job has waited for as long as it may.
    fn has_expired(&self, key: JobKey, now: Monotonic) -> bool {
        self.waits.get(key).is_some_and(|wait| wait.until <= now)
    }
}

impl Entry {
    /// Sets the time from the start of the process until which jobs wait for agents and servers.
    #[must_use]
    pub fn with_startup_wait(mut self, wait: Duration) -> Self {
        self.startup.wait = wait;
        self
    }

    /// Returns when this entry reached each step on its way to service.
    pub fn milestones(&self) -> Milestones {
        self.startup.milestones
    }

    /// Returns what this entry knows of the servers for a job, given whether a server of its service
    /// takes tasks.
    fn startup_phase(&self, has_server: bool, now: Monotonic) -> Phase {
        let since_growth = now.since(self.startup.last_growth_at);
        if now.since(Monotonic(0)) >= self.startup.wait {
            Phase::Settled
        } else if self.agents.is_empty() {
            Phase::NoAgent
        } else if !has_server {
            Phase::NoServer
        } else if since_growth < QUIET_TIME {
            Phase::Growing
        } else {
            Phase::Settled
        }
    }

    /// Decides about a job that can't be admitted by what is known at present. A job that doesn't
    /// wait yet also needs room among the waiting ones.
    pub(super) fn judge_unplaceable(
        &self,
        key: JobKey,
        has_server: bool,
        now: Monotonic,
    ) -> Verdict {
        let job = &self.jobs[key];
        let remaining = job.plan.longest_chain(0).mul_f64(self.mean_slowdown);
        let latest_end_in_budget = job.deadline.0.saturating_sub(remaining.as_micros() as u64);
        let outlook = Outlook {
            phase: self.startup_phase(has_server, now),
            now,
            arrived_at: job.submitted_at,
            latest_start: self
                .urgency(job, 0)
                .latest_start
                .min(Monotonic(latest_end_in_budget)),
            startup_wait: self.startup.wait,
        };
        let verdict = (self.policy.judge_unplaceable)(&outlook);
        let is_new = !self.startup.waits.contains_key(key);
        let is_full = !self
            .startup
            .waiting
            .has_room_for(size_of_request(&job.request));
        if is_new && is_full && matches!(verdict, Verdict::WaitUntil(_)) {
            return Verdict::Refuse;
        }
        verdict
    }

    /// Lets a job wait until a time for more of the deployment to be found.
    pub(super) fn hold(&mut self, key: JobKey, until: Monotonic) {
        if self.startup.waits.contains_key(key) {
            return;
        }
        let job = &self.jobs[key];
        let wait = Wait {
            latest_start: self.urgency(job, 0).latest_start,
            until,
            bytes: size_of_request(&job.request),
        };
        self.startup.insert(key, wait);
        self.actions.push(Action::CountStartup("waited"));
    }

    /// Admits the waiting jobs that can be placed by now, the most urgent first, and refuses those
    /// that have waited for as long as they may. Queued tasks then have to be dispatched.
    pub(super) fn review_waiting_jobs(&mut self, now: Now) {
        let mut misses = 0;
        let waiting: Vec<JobKey> = self
            .startup
            .by_latest_start
            .iter()
            .map(|(_latest_start, key)| *key)
            .collect();
        for key in waiting {
            let has_expired = self.startup.has_expired(key, now.mono);
            if misses >= MAX_MISSES_PER_REVIEW && !has_expired {
                continue;
            }
            match self.check_admission(key, now.mono) {
                Ok(super::jobs::Admission::Queue) => {
                    self.startup.remove(key);
                    self.startup.admitted_jobs += 1;
                    self.actions.push(Action::CountStartup("admitted"));
                    self.renew_plan(key);
                    self.add_tasks(key);
                }
                Ok(super::jobs::Admission::WaitUntil(_)) => misses += 1,
                Err((reason, retry_after)) => {
                    self.refuse(key, reason, retry_after, now.mono);
                }
            }
        }
    }

    /// Counts a waiting job that ends without having been admitted, with the reason if it is
    /// refused.
    pub(super) fn end_wait(&mut self, key: JobKey, refusal: Option<Refusal>) {
        if self.startup.remove(key) && refusal.is_some() {
            self.startup.refused_jobs += 1;
            self.actions.push(Action::CountStartup("refused"));
        }
    }

    /// Records the first completed job, and logs once how long each step since the start took.
    pub(super) fn record_completion(&mut self, now: Monotonic) {
        if self.startup.milestones.completion.is_some() {
            return;
        }
        self.startup.milestones.completion = Some(now);
        let mut line = LogLine::new("Completed the first job since the start.");
        for (name, at) in self.startup.milestones.iter() {
            let millis = at.map(|at| at.since(Monotonic(0)).as_millis());
            line = line.with(
                match name {
                    "catalogue" => "catalogue_ms",
                    "agent" => "agent_ms",
                    "server" => "server_ms",
                    _ => "completion_ms",
                },
                millis.map_or_else(|| "-".to_owned(), |millis| millis.to_string()),
            );
        }
        let line = line
            .with("agents", self.agents.len())
            .with("admitted_after_wait", self.startup.admitted_jobs)
            .with("refused_after_wait", self.startup.refused_jobs);
        self.log(line);
    }
}

/// Returns about how many bytes of memory a request takes.
fn size_of_request(request: &Request) -> usize {
    request.spec.len() + std::mem::size_of_val(request.steps.as_slice())
}
