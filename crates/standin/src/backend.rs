//! HTTP server that replaces a backend server: each task sleeps for its run time and then echoes
//! its input as output.
//!
//! - `POST /tasks/{job}/{index}` runs a task; `{"run_ms": n}` in its input sets its run time.
//! - `GET /starts` lists every task start so far.
//! - `PUT /faults` with [`Faults`] makes tasks slow, fail, hang or answer for another job, or makes
//!   the server leave its agent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use bytes::Bytes;
use ibisspool_kernel::connection_limiter::ConnectionLimiter;
use ibisspool_kernel::http::{self, HeaderName, Method, Request};
use ibisspool_kernel::part::Kernel;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Largest request body that is read.
const MAX_INPUT_BYTES: usize = 1 << 20;

/// Time between two announcements of the server to its agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a request to the agent.
const AGENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between checks whether a hanging task may continue, a fault changed or all tasks have
/// ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a backend server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base URL of the agent, without a trailing slash.
    pub agent_url: String,
    /// Number of tasks that run at the same time, as announced to the agent.
    pub slots: u32,
    /// Task kinds that the server announces.
    pub kinds: Vec<String>,
    /// Run time in milliseconds at speed 1 of a task whose input has no `run_ms`.
    pub default_run_ms: f64,
    /// Factor by which run times are divided.
    pub speed: f64,
}

/// Faults to inject into a backend server; the default is none.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every task ends with HTTP status 500.
    pub fail: bool,
    /// Tasks do not answer until this is `false` again.
    pub hang: bool,
    /// Answers name another job in the header `Ibisspool-Job`.
    pub cross: bool,
    /// New speed; 0 keeps the current one.
    pub speed: f64,
    /// New number of slots to announce; 0 keeps the current one.
    pub slots: u32,
    /// The server tells its agent that it leaves and finishes its running tasks. When this is
    /// `false` again, the server announces itself again.
    pub leave: bool,
}

/// A task start that the server recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Id of the job.
    pub job: String,
    /// Index of the task in its job.
    pub index: u32,
    /// Time of the start in milliseconds since the Unix epoch.
    pub time: u64,
}

#[derive(Debug, Default)]
struct State {
    starts: Vec<TaskStart>,
    faults: Faults,
    speed: f64,
    slots: u32,
    running: u32,
    announcements_stopped: bool,
}

/// Handle of a running backend server; clones refer to the same server.
#[derive(Debug, Clone)]
pub struct Backend {
    state: Arc<Mutex<State>>,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

impl Backend {
    /// Starts the server and announces it to its agent from then on.
    ///
    /// # Errors
    /// Fails if the server cannot listen on the address.
    pub fn start(settings: &Settings) -> Result<Self> {
        let state = Arc::new(Mutex::new(State {
            speed: settings.speed,
            slots: settings.slots,
            ..State::default()
        }));
        let (shared, default_run_ms) = (Arc::clone(&state), settings.default_run_ms);
        let handle = move |request| handle_request(&shared, default_run_ms, request);
        let limiter = ConnectionLimiter::unlimited();
        let address = http::serve(
            &Kernel::new(),
            settings.listen,
            limiter,
            MAX_INPUT_BYTES,
            handle,
        )?;
        let backend = Self { state, address };
        let announcing = backend.clone();
        let settings = settings.clone();
        thread::spawn(move || announcing.send_announcements(&settings));
        Ok(backend)
    }

    /// Returns the base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns every task start so far, in order.
    pub fn starts(&self) -> Vec<TaskStart> {
        lock(&self.state).starts.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        apply_faults(&mut lock(&self.state), faults);
    }

    /// Stops the announcements without telling the agent, as a crashed server does.
    pub fn stop_announcing(&self) {
        lock(&self.state).announcements_stopped = true;
    }

    /// Tells the agent that the server leaves, and waits until no task runs. An agent that does not
    /// answer is ignored.
    pub fn leave(&self, settings: &Settings) {
        lock(&self.state).faults.leave = true;
        let _ignored = send_leave(settings);
        while lock(&self.state).running > 0 {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send_announcements(&self, settings: &Settings) {
        let mut has_left = false;
        let mut next_announcement = Instant::now();
        while !lock(&self.state).announcements_stopped {
            let leave = lock(&self.state).faults.leave;
            if leave && !has_left {
                has_left = send_leave(settings).is_ok();
            } else if !leave && (has_left || next_announcement <= Instant::now()) {
                has_left = false;
                next_announcement = Instant::now() + ANNOUNCE_INTERVAL;
                self.send_announcement(settings);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send_announcement(&self, settings: &Settings) {
        let slots = lock(&self.state).slots;
        let body = json!({ "address": self.url(), "slots": slots, "kinds": settings.kinds });
        let sent = attohttpc::put(announcement_url(settings))
            .timeout(AGENT_TIMEOUT)
            .bytes(body.to_string().into_bytes())
            .send();
        if let Err(error) = sent {
            log::debug!("backend: The announcement to the agent failed: {error}.");
        }
    }
}

fn announcement_url(settings: &Settings) -> String {
    format!("{}/v1/backend", settings.agent_url)
}

fn send_leave(settings: &Settings) -> Result<()> {
    let answer = attohttpc::delete(announcement_url(settings))
        .timeout(AGENT_TIMEOUT)
        .send()?;
    answer.error_for_status()?;
    Ok(())
}

fn apply_faults(state: &mut State, faults: Faults) {
    state.faults = faults;
    if faults.speed > 0.0 {
        state.speed = faults.speed;
    }
    if faults.slots > 0 {
        state.slots = faults.slots;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle_request(state: &Arc<Mutex<State>>, default_run_ms: f64, mut request: Request) {
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    let body = request.take_body(MAX_INPUT_BYTES).unwrap_or_default();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["starts"]) => {
            let reply = http::json_response(200, &lock(state).starts);
            request.answer(reply);
        }
        (&Method::PUT, ["faults"]) => {
            let reply = match serde_json::from_slice::<Faults>(&body) {
                Ok(faults) => {
                    apply_faults(&mut lock(state), faults);
                    http::text_response(204, "text/plain", "")
                }
                Err(error) => http::text_response(
                    400,
                    "text/plain",
                    format!("the body is not a JSON object of faults: {error}\n"),
                ),
            };
            request.answer(reply);
        }
        (&Method::POST, ["tasks", job, index]) => {
            let (job, index) = ((*job).to_owned(), (*index).to_owned());
            let state = Arc::clone(state);
            lock(&state).running += 1;
            thread::spawn(move || {
                run_task(&state, default_run_ms, &job, &index, body, request);
                lock(&state).running -= 1;
            });
        }
        _ => request.answer(http::text_response(
            404,
            "text/plain",
            "no such path; use /tasks/{job}/{index}, /starts or /faults\n",
        )),
    }
}

#[derive(Debug, Deserialize)]
struct TaskInput {
    run_ms: f64,
}

fn run_task(
    state: &Mutex<State>,
    default_run_ms: f64,
    job: &str,
    index: &str,
    body: Bytes,
    request: Request,
) {
    let started_at = Instant::now();
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let parsed_index = index.parse().unwrap_or(u32::MAX);
    let (faults, speed) = {
        let mut state = lock(state);
        state.starts.push(TaskStart {
            job: job.to_owned(),
            index: parsed_index,
            time,
        });
        (state.faults, state.speed)
    };
    let requested_run_ms =
        serde_json::from_slice::<TaskInput>(&body).map_or(default_run_ms, |input| input.run_ms);
    let run_time = Duration::from_secs_f64(requested_run_ms / 1_000.0 / speed.max(0.001));
    thread::sleep(run_time.saturating_sub(started_at.elapsed()));
    while lock(state).faults.hang {
        thread::sleep(POLL_INTERVAL);
    }
    let status = if faults.fail { 500 } else { 200 };
    let echoed_job = if faults.cross { "another" } else { job };
    let reply = http::text_response(status, "application/json", body)
        .with_header(HeaderName::from_static("ibisspool-job"), echoed_job)
        .with_header(HeaderName::from_static("ibisspool-index"), index);
    request.answer(reply);
}
