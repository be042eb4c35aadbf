//! An executor: runs tasks under a lease, lists running and ended runs, and sends status reports to
//! the agent on its machine. The spec of a task says how long it works and how much it needs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Call, Reply};
use crate::json::{self, Value};
use crate::record::Record;
use crate::unix_ms;

/// Longest lease (`holdMaxMs`).
const LONGEST_LEASE_MS: u64 = 1_000;
/// Interval of status reports (`heartbeatMs`).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which ends and expired leases take effect.
const SWEEP_INTERVAL: Duration = Duration::from_millis(2);
/// Time that a stop takes; `stopMs` allows 50.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Most ends in one listing.
const MAX_LISTED_ENDS: usize = 500;

/// What a task does, written into the spec of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    pub run_ms: u64,
    pub cpu: u32,
}

impl Work {
    /// Returns the spec that makes an executor do this work.
    pub fn spec(self) -> String {
        format!("run_ms={};cpu={}", self.run_ms, self.cpu)
    }

    fn read(spec: &str) -> Option<Self> {
        let number = |name: &str| {
            let field = spec.split(';').find_map(|field| field.strip_prefix(name))?;
            field.parse::<u64>().ok()
        };
        Some(Self {
            run_ms: number("run_ms=")?,
            cpu: number("cpu=")? as u32,
        })
    }
}

/// A start that an executor has carried out.
#[derive(Debug, Clone)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub at: Instant,
    /// Thousandths of a core in use with this start.
    pub used_cpu: u32,
}

/// A run that is over.
#[derive(Debug, Clone)]
pub struct Interval {
    pub task: String,
    pub started_at: Instant,
    pub ended_at: Instant,
}

#[derive(Debug)]
struct Run {
    task: String,
    number: u64,
    cpu: u32,
    started_at: Instant,
    ends_at: Instant,
    end: &'static str,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    running: Vec<Run>,
    /// Sequence number, task, run and how it ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that was stopped or has ended, by task.
    highest_over: HashMap<String, u64>,
    starts: Vec<Start>,
    intervals: Vec<Interval>,
    sequence: u64,
}

/// What an executor is and where it is.
#[derive(Debug, Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub capacity_cpu: u32,
    /// Address of the executor, which only its agent calls.
    pub address: SocketAddr,
    /// Address at which its agent takes status reports.
    pub agent: SocketAddr,
}

/// One boot of an executor that doesn't guard its capacity.
#[derive(Debug)]
pub struct Executor {
    pub description: Description,
    born_ms: u64,
    started_at: Instant,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

impl Executor {
    /// Starts an executor that serves its agent and reports to it.
    pub fn start(description: Description, record: &Arc<Record>) -> std::io::Result<Arc<Self>> {
        let address = description.address;
        let executor = Arc::new(Self {
            description,
            born_ms: unix_ms(),
            started_at: Instant::now(),
            state: Mutex::default(),
            ended: Condvar::new(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&executor);
        http::serve(address, move |call| served.answer(&call))?;
        let swept = Arc::clone(&executor);
        std::thread::spawn(move || {
            loop {
                swept.sweep();
                std::thread::sleep(SWEEP_INTERVAL);
            }
        });
        let reporting = Arc::clone(&executor);
        std::thread::spawn(move || {
            loop {
                reporting.send_report();
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(executor)
    }

    /// Returns all starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.state.lock().unwrap().starts.clone()
    }

    /// Returns the runs that are over.
    pub fn intervals(&self) -> Vec<Interval> {
        self.state.lock().unwrap().intervals.clone()
    }

    fn send_report(&self) {
        let sequence = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.sequence
        };
        let about = &self.description;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":32768,\
             \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"sequence\":{sequence},\
             \"born\":{}}}",
            about.service,
            about.address,
            about.zone,
            about.capacity_cpu,
            self.clock_ms(),
            self.born_ms
        );
        let path = format!("/api/Instances.Heartbeat/{}", about.id);
        let _answer = http::call(
            about.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Ends the runs whose time has come, and all runs once the lease has expired.
    fn sweep(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let has_lapsed = state.lease_until_ms <= self.clock_ms();
        let (over, running): (Vec<Run>, Vec<Run>) = std::mem::take(&mut state.running)
            .into_iter()
            .partition(|run| has_lapsed || run.ends_at <= now);
        state.running = running;
        for run in over {
            let how = if run.ends_at <= now {
                run.end
            } else {
                "lapsed"
            };
            state.last_end += 1;
            let number = state.last_end;
            let highest = state.highest_over.entry(run.task.clone()).or_default();
            *highest = run.number.max(*highest);
            self.record.line(format!(
                "executor {}: run {} of {} ended {how}",
                self.description.id, run.number, run.task
            ));
            state.intervals.push(Interval {
                task: run.task.clone(),
                started_at: run.started_at,
                ended_at: now,
            });
            state.ended.push((number, run.task, run.number, how));
            self.ended.notify_all();
        }
    }

    fn answer(&self, call: &Call) -> Reply {
        let names_other = call
            .header("expect-instance")
            .is_some_and(|id| id != self.description.id);
        if names_other {
            return Reply::new(421, "{}");
        }
        let Some(body) = json::parse(&call.body) else {
            return Reply::new(400, self.clock_body(""));
        };
        let token = body.number("fencingToken").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return Reply::new(409, self.clock_body(",\"reason\":\"fence\""));
            }
            state.token = token;
        }
        match &*call.path {
            "/api/run-start" => self.start_run(&body),
            "/api/run-stop" => self.stop_run(&body),
            "/api/hold" => self.hold(&body),
            _ => Reply::new(404, ""),
        }
    }

    fn clock_body(&self, more: &str) -> String {
        format!("{{\"clockMs\":{}{more}}}", self.clock_ms())
    }

    fn extend_lease(&self, state: &mut State, body: &Value) {
        if let Some(until) = body.number("untilMs") {
            let until = until.min(self.clock_ms() + LONGEST_LEASE_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
        }
    }

    fn start_run(&self, body: &Value) -> Reply {
        let (Some(task), Some(number), Some(spec)) =
            (body.text("task"), body.number("run"), body.text("spec"))
        else {
            return Reply::new(400, self.clock_body(""));
        };
        let Some(work) = Work::read(spec) else {
            return Reply::new(400, self.clock_body(""));
        };
        let mut state = self.state.lock().unwrap();
        if body.number("untilMs").unwrap_or(0) <= self.clock_ms() {
            return Reply::new(409, self.clock_body(",\"reason\":\"late\""));
        }
        self.extend_lease(&mut state, body);
        if state
            .highest_over
            .get(task)
            .is_some_and(|over| number <= *over)
        {
            return Reply::new(409, self.clock_body(",\"reason\":\"old\""));
        }
        if state
            .running
            .iter()
            .any(|run| run.task == task && run.number == number)
        {
            return Reply::new(200, self.clock_body(""));
        }
        let now = Instant::now();
        state.running.push(Run {
            task: task.to_owned(),
            number,
            cpu: work.cpu,
            started_at: now,
            ends_at: now + Duration::from_millis(work.run_ms),
            end: "done",
        });
        let used_cpu = state.running.iter().map(|run| run.cpu).sum();
        state.starts.push(Start {
            task: task.to_owned(),
            run: number,
            spec: spec.to_owned(),
            at: now,
            used_cpu,
        });
        self.record.line(format!(
            "executor {}: start of {task}, run {number}; in use {used_cpu} of {}",
            self.description.id, self.description.capacity_cpu
        ));
        Reply::new(200, self.clock_body(""))
    }

    fn stop_run(&self, body: &Value) -> Reply {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return Reply::new(400, self.clock_body(""));
        };
        let mut state = self.state.lock().unwrap();
        let highest = state.highest_over.entry(task.to_owned()).or_default();
        *highest = number.max(*highest);
        let stop_at = Instant::now() + STOP_TIME;
        let mut runs = state.running.iter_mut();
        if let Some(run) = runs.find(|run| run.task == task && run.number == number)
            && run.ends_at > stop_at
        {
            run.ends_at = stop_at;
            run.end = "stopped";
        }
        Reply::new(200, self.clock_body(""))
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut state = self.state.lock().unwrap();
        self.extend_lease(&mut state, body);
        let acked = body.number("ackedUpto").unwrap_or(0);
        state.ended.retain(|end| end.0 > acked);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let now = Instant::now();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let whole = (run.ends_at - run.started_at).as_secs_f64();
                let percent = (now - run.started_at).as_secs_f64() / whole * 100.0;
                let percent = percent.min(100.0) as u8;
                format!(
                    "[{},{},\"\",{percent},{}]",
                    json::quoted(&run.task),
                    run.number,
                    run.cpu
                )
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", json::quoted(task))
            })
            .collect();
        Reply::new(
            200,
            self.clock_body(&format!(
                ",\"born\":{},\"running\":[{}],\"ended\":[{}]",
                self.born_ms,
                running.join(","),
                ended.join(",")
            )),
        )
    }
}
