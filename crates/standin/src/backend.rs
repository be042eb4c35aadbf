//! Stand-in for a backend server: runs tasks for a while and answers with their input.
//!
//! - `POST /tasks/{job}/{index}` runs a task; `{"run_ms": n}` in its input sets its run time.
//! - `GET /starts` lists the starts; `PUT /faults` with [`Faults`] makes it slow, fail or hang.

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

/// Threads beyond the slots, for questions about starts and faults.
const SPARE_THREADS: u32 = 4;

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
    leaving: bool,
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
            ..State::default()
        }));
        for _thread in 0..settings.slots + SPARE_THREADS {
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
        let mut state = lock(&self.state);
        state.faults = faults;
        if faults.speed > 0.0 {
            state.speed = faults.speed;
        }
    }

    /// Stops the announcements, as a server does that leaves.
    pub fn stop_announcing(&self) {
        lock(&self.state).leaving = true;
    }

    fn announce(&self, settings: &Settings) {
        let body =
            json!({ "address": self.url(), "slots": settings.slots, "kinds": settings.kinds });
        let url = format!("{}/v1/backend", settings.agent);
        while !lock(&self.state).leaving {
            let sent = attohttpc::put(&url)
                .bytes(body.to_string().into_bytes())
                .send();
            if let Err(error) = sent {
                log::debug!("backend: The agent does not answer: {error}.");
            }
            thread::sleep(ANNOUNCE_EVERY);
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, run_ms: f64, mut request: Request) {
    let path = request.url().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    let body = http::read_body(&mut request, INPUT_BYTES).unwrap_or_default();
    match (&method, parts.as_slice()) {
        (Method::Get, ["starts"]) => {
            let reply = http::json(200, &lock(state).starts);
            http::send(request, reply);
        }
        (Method::Put, ["faults"]) => {
            let reply = match serde_json::from_slice::<Faults>(&body) {
                Ok(faults) => {
                    let mut state = lock(state);
                    state.faults = faults;
                    if faults.speed > 0.0 {
                        state.speed = faults.speed;
                    }
                    http::reply(204, "text/plain", "")
                }
                Err(error) => http::reply(400, "text/plain", format!("not faults: {error}\n")),
            };
            http::send(request, reply);
        }
        (Method::Post, ["tasks", job, index]) => run(state, run_ms, job, index, body, request),
        _ => http::send(request, http::reply(404, "text/plain", "no such path\n")),
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
        thread::sleep(Duration::from_millis(20));
    }
    let status = if faults.fail { 500 } else { 200 };
    let mut reply = http::reply(status, "application/json", body);
    let echoed = if faults.cross { "another" } else { job };
    let headers = [("Ibisspool-Job", echoed), ("Ibisspool-Index", index)];
    for header in headers
        .iter()
        .filter_map(|(name, value)| http::header(name, value))
    {
        reply.add_header(header);
    }
    http::send(request, reply);
}
