//! Input of a simulation run, and the results that are counted in it. Times are in microseconds of
//! virtual time.

use std::collections::{BTreeMap, HashSet};

use ibisspool_core::spool::agent;
use ibisspool_core::spool::entry::{NamedPair, Policy};
use ibisspool_core::spool::job::TaskName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Deliberate bugs that the invariant checks of the simulation must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Each order seems to echo the agent's current time, so that the agent takes outdated orders
    /// for fresh.
    ForgedEcho,
    /// Agents read a monotonic clock that stops while they are suspended.
    ClockStopsInSuspend,
    /// Agents tolerate silent entries 20 times as long.
    IgnoreSilence,
    /// The lease of the backend servers is five times as long.
    LongLease,
    /// Entries aren't told that a caller has closed its connection.
    MissCallerDisconnect,
    /// Calls that stop a task never reach the backend server.
    DropStopCalls,
    /// An entry dispatches orphaned tasks again without waiting until they can't be running any
    /// more.
    RetryOrphansAtOnce,
    /// Agents take a refused connection for lists that show no run.
    TrustRefusals,
    /// Run lists with missing rows don't tell that rows are missing.
    HideGaps,
}

/// The deployment to simulate, the jobs that callers submit and the faults to inject.
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of a simulated deployment"
)]
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub entries: usize,
    /// Capacity in thousandths of a core and slowdown of each backend server.
    pub executors: Vec<(u32, f64)>,
    /// First kind of each backend server, the default one if there are fewer.
    pub kinds: Vec<Kind>,
    /// Whether a start that is on its way when a backend server ends can reach the next one under the
    /// same name. Otherwise the connection that carries it ends with the server.
    pub connections_outlast_servers: bool,
    pub mutant: Option<Mutant>,
    /// Share of calls to backend servers that are executed seconds late.
    pub late_call_share: f64,
    /// Share of calls to backend servers whose answer is lost.
    pub lost_answer_share: f64,
    pub policy: Policy,
    pub agent_policy: agent::Policy,
    pub long_tasks: LongTasks,
    /// Whether entries keep queues apart that slow each other down.
    pub separates_interfering: bool,
    /// Which queues slow each other down: index of the queue that is slowed down, index of the other
    /// queue, and the effect on the logarithm of the run time beside a whole server of its tasks.
    pub interference: Vec<(usize, usize, f64)>,
    /// Share of the callers that are sent to the first entry. The rest is spread over all entries.
    pub first_entry_share: f64,
    /// Share of the messages between entries that is lost; at 1 entries send none.
    pub lost_gossip_share: f64,
    /// Time that a message between entries takes.
    pub gossip_delay_us: u64,
    /// Whether waiting jobs give way to more urgent ones.
    pub sheds_waiting: bool,
    /// Whether a caller whose job was refused submits it again after the retry delay.
    pub retries_refusals: bool,
    /// Whether the monotonic clock of agents has a resolution of only a millisecond.
    pub coarse_agent_clock: bool,
    /// Time from the start of an entry to its first catalogue.
    pub catalogue_after_us: u64,
    /// Whether a request waits for that catalogue. Otherwise it is refused.
    pub waits_for_catalogue: bool,
    /// Time between two attempts of an agent to connect to an entry.
    pub redial_us: u64,
    /// Number of agents that report frequently to an entry while it has no tasks there.
    pub home_agents: usize,
    /// Faults with the time at which each is injected.
    pub faults: Vec<(u64, Fault)>,
    /// Jobs with the time of their first submission.
    pub jobs: Vec<(u64, Job)>,
    pub end_us: u64,
}

/// What a backend server offers besides its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    pub service: &'static str,
    pub label: Option<&'static str>,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            service: SERVICE,
            label: None,
        }
    }
}

/// Service of all queues.
pub const SERVICE: &str = "desk";

/// Tasks that take far longer than the others of their job, on each server.
#[derive(Debug, Clone, Copy, Default)]
pub struct LongTasks {
    /// Share of the tasks.
    pub share: f64,
    /// Factor on the run time.
    pub factor: f64,
}

impl LongTasks {
    /// Returns the factor on the run time of a task, the same in each of its runs.
    pub fn factor_of(&self, name: TaskName) -> f64 {
        let seed = name.job.0 << 16 | u64::from(name.step) << 12 | u64::from(name.index);
        if SmallRng::seed_from_u64(seed).random::<f64>() < self.share {
            self.factor
        } else {
            1.0
        }
    }

    /// Returns the mean factor on the run time of all tasks.
    pub fn mean_factor(&self) -> f64 {
        1.0 + self.share * (self.factor - 1.0)
    }
}

/// A job that a caller submits.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub id: u64,
    pub queue: usize,
    /// Number of tasks of each step.
    pub tasks: u32,
    /// Number of steps. Each starts after the one before has completed.
    pub steps: u16,
    /// Label that a backend server needs for the first step, and for the later ones.
    pub labels: [Option<&'static str>; 2],
    /// Most tasks of one step on a backend server.
    pub spread_limit: Option<u32>,
    /// Thousandths of a core per task.
    pub cpu: u32,
    /// Actual run time of each task on a server of typical speed.
    pub work_us: u64,
    /// Run time that the caller declares.
    pub declared_us: u64,
    /// Time that the caller states it will wait for the answer.
    pub budget_us: u64,
    /// Time after which the caller closes its connection, at most its budget.
    pub patience_us: u64,
    /// Whether its tasks fail on every server.
    pub always_fails: bool,
}

impl Job {
    /// Returns the label that a backend server needs for a step.
    pub fn label_of(&self, step: u16) -> Option<&'static str> {
        self.labels[usize::from(step > 0)]
    }

    /// Returns whether the job can succeed and its caller waits until its deadline. Only such jobs
    /// count towards the service level.
    pub fn is_servable(&self) -> bool {
        !self.always_fails && self.patience_us >= self.budget_us
    }
}

/// What an announcement of another writer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Foreign {
    /// Another incarnation than that of the server.
    OtherName,
    /// The server's incarnation with another start.
    OtherStart,
    /// The server's incarnation without a start, with several times its capacity.
    NoStart,
    /// The server's incarnation and its start, with several times its capacity. It is sent after an
    /// announcement of the server itself; nothing tells two single ones from each other.
    OtherCapacity,
    /// The server's incarnation, its start and its capacity, at a time that its clock does not show
    /// yet.
    AheadOfClock,
}

/// A fault to inject. The first number is the index of an entry, or of an agent and its backend
/// server; durations are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills an entry, which starts again after this time.
    KillEntry(usize, u64),
    /// Kills an agent, which starts again after this time.
    KillAgent(usize, u64),
    /// Suspends the process of an entry for a time.
    PauseEntry(usize, u64),
    /// Suspends the process of an agent for a time.
    PauseAgent(usize, u64),
    /// Partitions the network between an entry and an agent: entry, agent, duration, whether
    /// messages to the entry are held back, and those to the agent. Held messages arrive at the
    /// end.
    Partition(usize, usize, u64, bool, bool),
    /// Breaks the connections between an entry and an agent.
    ResetConnection(usize, usize),
    /// Replaces a backend server by a new incarnation without tasks.
    RestartServer(usize),
    /// Replaces a backend server by a new incarnation under the name that it had. It announces
    /// itself after this time.
    RestartServerUnderItsName(usize, u64),
    /// Replaces a backend server by one of another kind and of this capacity, under the name that it
    /// had or under a new one.
    ReplaceServer(usize, Kind, u32, bool),
    /// An agent gets an announcement of another writer.
    ForeignAnnouncement(usize, Foreign),
    /// A backend server crashes, refuses connections for a time, then starts again.
    CrashServer(usize, u64),
    /// A backend server breaks its connections and refuses new ones for a time, while its tasks go
    /// on.
    RefuseConnections(usize, u64),
    /// For a time, this percentage of the run lists of a backend server lacks rows or a whole list.
    GarbleLists(usize, u64, u8),
    /// Slows a backend server down by a factor for a time.
    SlowServer(usize, u64, u64),
    /// All tasks started on a backend server fail within a few milliseconds, for a time.
    FailTasks(usize, u64),
    /// Tasks started on a backend server make no progress until the end of this time.
    StallTasks(usize, u64),
    /// Announces that a backend server takes no new tasks.
    DrainServer(usize),
    /// The wall clock of an agent's VM jumps by this many milliseconds, forward or back.
    StepWallClock(usize, i64),
}

/// Counts of the servable jobs of one queue.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    /// Submitted jobs.
    pub submitted: u64,
    /// Completed within the latency objective.
    pub in_time: u64,
    /// Completed after the latency objective, within three times the objective.
    pub late: u64,
    /// Refused.
    pub refused: u64,
}

/// Counts of what callers saw, and the violated invariants.
#[derive(Debug, Default, Clone)]
pub struct RunResult {
    pub starts: u64,
    pub completed: u64,
    pub refused: u64,
    pub expired: u64,
    pub failed: u64,
    pub resubmitted: u64,
    /// Number of reports from agents to entries.
    pub reports: u64,
    /// By index of the queue.
    pub(super) tally_by_queue: BTreeMap<usize, Tally>,
    /// By index of the queue and the second in which the job was submitted.
    pub(super) tally_by_second: BTreeMap<(usize, u64), Tally>,
    /// Time from the first submission of a job to each refusal.
    pub refused_after_us: Vec<u64>,
    /// `Retry-After` of each refusal, in seconds.
    pub retry_after_s: Vec<u64>,
    /// Refusals by index of the queue.
    pub refused_by_queue: [u64; 3],
    /// Expired attempts by index of the queue.
    pub expired_by_queue: [u64; 3],
    /// CPU time in core-seconds of runs whose job was of no use to its caller, by index of the queue.
    pub wasted_cpu_s: [f64; 3],
    /// Number of tasks that were queued again, by reason.
    pub retries: BTreeMap<&'static str, u64>,
    /// Work of runs that ended before it was done, in core-seconds, by index of the queue.
    pub lost_work: [f64; 3],
    /// Time from the submission of a job to the start of its first task.
    pub first_start_us: Vec<u64>,
    /// Interference between queues as one of the entries last estimated it.
    pub interference: Vec<NamedPair>,
    /// Run times of ended tasks on their servers divided by their work at the server's speed, by
    /// index of the queue: their sum and their number.
    pub stretch: BTreeMap<usize, (f64, u64)>,
    /// Number of jobs that could not be placed yet, by what happened to them.
    pub startup_jobs: BTreeMap<&'static str, u64>,
    pub violations: Vec<String>,
}

impl RunResult {
    /// Returns the counts of a queue for jobs submitted in a range of seconds.
    pub fn tally_between(&self, queue: usize, seconds: std::ops::Range<u64>) -> Tally {
        let within = self
            .tally_by_second
            .range((queue, seconds.start)..(queue, seconds.end));
        within.fold(Tally::default(), |sum, (_key, tally)| Tally {
            submitted: sum.submitted + tally.submitted,
            in_time: sum.in_time + tally.in_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
    }

    pub(super) fn tally_job(&mut self, queue: usize, submitted_at: u64, add: fn(&mut Tally)) {
        add(self.tally_by_queue.entry(queue).or_default());
        add(self
            .tally_by_second
            .entry((queue, submitted_at / 1_000_000))
            .or_default());
    }

    /// Returns the counts of a queue over the whole run.
    pub fn tally_of(&self, queue: usize) -> Tally {
        self.tally_by_queue.get(&queue).copied().unwrap_or_default()
    }
}

/// Returns whether each job has its own id. Two jobs with the same id would hide invariant
/// violations.
pub fn has_distinct_ids(jobs: &[(u64, Job)]) -> bool {
    let mut seen = HashSet::new();
    jobs.iter().all(|(_at, job)| seen.insert(job.id))
}
