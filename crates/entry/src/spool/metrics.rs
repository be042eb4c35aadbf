//! Counters and latencies of an entry for jobs that are not recorded durably.

use ibisspool_core::spool::entry::startup::Milestones;
use ibisspool_core::spool::entry::{AdmissionLoad, Answer, NamedPair};
use ibisspool_core::time::Monotonic;
use ibisspool_kernel::metrics::Metrics;
use prometheus::{Gauge, GaugeVec, Histogram, IntCounter, IntCounterVec};

/// Thousandths of a core in a core.
const MILLICORES: f64 = 1_000.0;

/// Metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Registry that holds all metrics.
    pub registry: Metrics,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    latency: Histogram,
    retries: IntCounterVec,
    waiting_cores: Gauge,
    peer_cores: Gauge,
    silent_peers: Gauge,
    startup_jobs: IntCounterVec,
    /// Time from the start of the process to each milestone, in the order of [`Milestones::iter`].
    startup_times: [Gauge; 4],
    /// Time from the start of the VM to that of the process.
    pub vm_seconds: Gauge,
    /// Callers that disconnected before their answer.
    pub callers_left: IntCounter,
    interference_slowdown: GaugeVec,
    interference_runs: GaugeVec,
    interference_separated: GaugeVec,
}

impl EntryMetrics {
    /// Registers all metrics at zero.
    pub fn new() -> Self {
        const PAIR: [&str; 2] = ["victim", "neighbour"];
        let registry = Metrics::new();
        Self {
            answers: registry.labeled_counter(
                "ibisspool_answers_total",
                "Answers to jobs",
                "answer",
            ),
            refusals: registry.labeled_counter(
                "ibisspool_refusals_total",
                "Jobs turned away",
                "reason",
            ),
            latency: registry.histogram("ibisspool_job_seconds", "Time to the answer of a job"),
            retries: registry.labeled_counter(
                "ibisspool_retries_total",
                "Tasks sent again",
                "reason",
            ),
            waiting_cores: registry.gauge(
                "ibisspool_waiting_cores",
                "Cores that the tasks in this entry's queue need",
            ),
            peer_cores: registry.gauge(
                "ibisspool_peer_waiting_cores",
                "Cores that tasks need which wait at other entries, as they told",
            ),
            silent_peers: registry.gauge(
                "ibisspool_silent_peers",
                "Other entries that have not told lately what waits there",
            ),
            startup_jobs: registry.labeled_counter(
                "ibisspool_startup_jobs_total",
                "Jobs that could not be placed yet after the start of the process",
                "outcome",
            ),
            startup_times: ["catalogue", "agent", "server", "completion"].map(|name| {
                registry.gauge(
                    &format!("ibisspool_startup_{name}_seconds"),
                    "Time from the start of the process, 0 until then",
                )
            }),
            vm_seconds: registry.gauge(
                "ibisspool_startup_vm_seconds",
                "Time from the start of the VM to the start of the process",
            ),
            callers_left: registry.counter(
                "ibisspool_left_total",
                "Callers that left before the answer",
            ),
            interference_slowdown: registry.labeled_gauge(
                "ibisspool_interference_slowdown",
                "Factor on the run time of the victim while the neighbour has a quarter of the server",
                &PAIR,
            ),
            interference_runs: registry.labeled_gauge(
                "ibisspool_interference_runs",
                "Weighted number of runs behind the slowdown",
                &PAIR,
            ),
            interference_separated: registry.labeled_gauge(
                "ibisspool_interference_separated",
                "1 if the two queues are kept apart, otherwise 0",
                &PAIR,
            ),
            registry,
        }
    }

    /// Shows the estimates of queues that slow each other down, in place of the earlier ones.
    pub fn show_interference(&self, pairs: &[NamedPair]) {
        self.interference_slowdown.reset();
        self.interference_runs.reset();
        self.interference_separated.reset();
        for named in pairs {
            let labels = [named.victim.as_str(), named.neighbour.as_str()];
            let set = |gauge: &GaugeVec, value| gauge.with_label_values(&labels).set(value);
            set(&self.interference_slowdown, named.pair.slowdown());
            set(&self.interference_runs, named.pair.runs);
            let is_separated = u8::from(named.pair.is_separated);
            set(&self.interference_separated, f64::from(is_separated));
        }
    }

    /// Counts a task that is sent to an agent again, by the reason.
    pub fn count_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Records what the entry bases its admission on.
    pub fn record_admission_load(&self, load: &AdmissionLoad) {
        self.waiting_cores.set(load.waiting_cpu / MILLICORES);
        self.peer_cores.set(load.peer_cpu / MILLICORES);
        self.silent_peers.set(load.silent_peers as f64);
    }

    /// Counts what happened to a job that could not be placed yet.
    pub fn count_startup(&self, outcome: &str) {
        self.startup_jobs.with_label_values(&[outcome]).inc();
    }

    /// Sets the times of the milestones that were reached.
    pub fn set_startup_times(&self, milestones: Milestones) {
        for (gauge, (_name, at)) in self.startup_times.iter().zip(milestones.iter()) {
            if let Some(at) = at {
                gauge.set(at.since(Monotonic(0)).as_secs_f64());
            }
        }
    }

    /// Counts an answer, and a refusal by its reason, and records the time from the request to it.
    pub fn record_answer(&self, answer: Answer, seconds: f64) {
        let label = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::Expired => "expired",
            Answer::Refused { reason, .. } => {
                let reason: &str = reason.into();
                self.refusals.with_label_values(&[reason]).inc();
                "refused"
            }
        };
        self.answers.with_label_values(&[label]).inc();
        self.latency.observe(seconds);
    }
}
