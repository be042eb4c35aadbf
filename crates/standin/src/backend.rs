//! Stand-in for a backend server: runs tasks for a while and answers with their input.
//!
//! - `POST /tasks/{job}/{index}` runs a task; `{"run_ms": n}` in its input sets its run time.
//! - `GET /starts` lists the starts.
//! - `PUT /faults` with [`Faults`] makes it slow, fail, hang, answer for another task or leave.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use ibisspool_kernel::http;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request, Server};

/// Most bytes of a task's input.
const INPUT_BYTES: usize = 1 << 20;

/// Time between announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// Time within which the agent must answer.
const AGENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Threads that take requests; each task runs in a thread of its own.
const THREADS: usize = 4;

/// Time between looks at whether a hung task may go on or a leaving server is idle.
const POLL: Duration = Duration::from_millis(20);

/// What a backend server is like.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base URL of the agent.
    pub agent: String,
    /// Tasks that it runs at the same time.
    pub slots: u32,
    /// Kinds that it serves.
    pub kinds: Vec<String>,
    /// Run time of a task that names none, in milliseconds, at speed 1.
    pub run_ms: f64,
    /// Speed; run times are divided by it.
    pub speed: f64,
}

/// Faults of a backend server.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every task ends with 500.
    pub fail: bool,
    /// Tasks never answer until this is off again.
    pub hang: bool,
    /// Answers name another task.
    pub cross: bool,
    /// Speed from now on; 0 leaves it as it is.
    pub speed: f64,
    /// Slots announced from now on; 0 leaves them as they are.
    pub slots: u32,
    /// The server tells its agent that it leaves and finishes what runs; off again, it announces
    /// itself again.
    pub leave: bool,
}

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The job.
    pub job: String,
    /// Position of the task.
    pub index: u32,
    /// When, in milliseconds since the Unix epoch.
    pub time: u64,
}

#[derive(Debug, Default)]
struct State {
    starts: Vec<Start>,
    faults: Faults,
    speed: f64,
    slots: u32,
    running: u32,
    silent: bool,
}

/// A running backend server. Clones share it.
#[derive(Debug, Clone)]
pub struct Backend {
    state: Arc<Mutex<State>>,
    /// Address of the server.
    pub address: SocketAddr,
}

impl Backend {
    /// Starts the server and its announcements.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub fn start(settings: &Settings) -> Result<Self> {
        let server = Server::http(settings.listen).map_err(|error| anyhow::anyhow!("{error}"))?;
        let server = Arc::new(server);
        let address = server.server_addr().to_ip().unwrap_or(settings.listen);
        let state = Arc::new(Mutex::new(State {
            speed: settings.speed,
            slots: settings.slots,
            ..State::default()
        }));
        for _thread in 0..THREADS {
            let (server, state) = (Arc::clone(&server), Arc::clone(&state));
            let run_ms = settings.run_ms;
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    handle(&state, run_ms, request);
                }
            });
        }
        let backend = Self { state, address };
        let announcing = backend.clone();
        let settings = settings.clone();
        thread::spawn(move || announcing.announce(&settings));
        Ok(backend)
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns all starts so far.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.state).starts.clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&mut lock(&self.state), faults);
    }

    /// Stops the announcements without a word, as a server does that died.
    pub fn stop_announcing(&self) {
        lock(&self.state).silent = true;
    }

    /// Leaves, and waits until the agent knows and no task runs.
    pub fn leave(&self, settings: &Settings) {
        lock(&self.state).faults.leave = true;
        let _told = tell_leaving(settings);
        while lock(&self.state).running > 0 {
            thread::sleep(POLL);
        }
    }

    fn announce(&self, settings: &Settings) {
        let mut left = false;
        let mut next = Instant::now();
        while !lock(&self.state).silent {
            let leave = lock(&self.state).faults.leave;
            if leave && !left {
                left = tell_leaving(settings).is_ok();
            } else if !leave && (left || next <= Instant::now()) {
                left = false;
                next = Instant::now() + ANNOUNCE_EVERY;
                self.tell_present(settings);
            }
            thread::sleep(POLL);
        }
    }

    fn tell_present(&self, settings: &Settings) {
        let slots = lock(&self.state).slots;
        let body = json!({ "address": self.url(), "slots": slots, "kinds": settings.kinds });
        let sent = attohttpc::put(backend_url(settings))
            .timeout(AGENT_TIMEOUT)
            .bytes(body.to_string().into_bytes())
            .send();
        if let Err(error) = sent {
            log::debug!("backend: The agent does not answer: {error}.");
        }
    }
}

fn backend_url(settings: &Settings) -> String {
    format!("{}/v1/backend", settings.agent)
}

fn tell_leaving(settings: &Settings) -> Result<()> {
    let answer = attohttpc::delete(backend_url(settings))
        .timeout(AGENT_TIMEOUT)
        .send()?;
    answer.error_for_status()?;
    Ok(())
}

fn set_faults(state: &mut State, faults: Faults) {
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

fn handle(state: &Arc<Mutex<State>>, run_ms: f64, mut request: Request) {
    let path = request.url().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    let body = http::read_body(&mut request, INPUT_BYTES).unwrap_or_default();
    match (&method, parts.as_slice()) {
        (Method::Get, ["starts"]) => {
            let reply = http::json_response(200, &lock(state).starts);
            http::send_response(request, reply);
        }
        (Method::Put, ["faults"]) => {
            let reply = match serde_json::from_slice::<Faults>(&body) {
                Ok(faults) => {
                    set_faults(&mut lock(state), faults);
                    http::text_response(204, "text/plain", "")
                }
                Err(error) => {
                    http::text_response(400, "text/plain", format!("not faults: {error}\n"))
                }
            };
            http::send_response(request, reply);
        }
        (Method::Post, ["tasks", job, index]) => {
            let (job, index) = ((*job).to_owned(), (*index).to_owned());
            let state = Arc::clone(state);
            lock(&state).running += 1;
            thread::spawn(move || {
                run(&state, run_ms, &job, &index, body, request);
                lock(&state).running -= 1;
            });
        }
        _ => http::send_response(
            request,
            http::text_response(404, "text/plain", "no such path\n"),
        ),
    }
}

#[derive(Debug, Deserialize)]
struct Input {
    run_ms: f64,
}

fn run(state: &Mutex<State>, run_ms: f64, job: &str, index: &str, body: Vec<u8>, request: Request) {
    let begun = Instant::now();
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let index_number = index.parse().unwrap_or(u32::MAX);
    let (faults, speed) = {
        let mut state = lock(state);
        state.starts.push(Start {
            job: job.to_owned(),
            index: index_number,
            time,
        });
        (state.faults, state.speed)
    };
    let asked = serde_json::from_slice::<Input>(&body).map_or(run_ms, |input| input.run_ms);
    let run = Duration::from_secs_f64(asked / 1_000.0 / speed.max(0.001));
    thread::sleep(run.saturating_sub(begun.elapsed()));
    while lock(state).faults.hang {
        thread::sleep(POLL);
    }
    let status = if faults.fail { 500 } else { 200 };
    let mut reply = http::text_response(status, "application/json", body);
    let echoed = if faults.cross { "another" } else { job };
    let headers = [("Ibisspool-Job", echoed), ("Ibisspool-Index", index)];
    for header in headers
        .iter()
        .filter_map(|(name, value)| http::header(name, value))
    {
        reply.add_header(header);
    }
    http::send_response(request, reply);
}
