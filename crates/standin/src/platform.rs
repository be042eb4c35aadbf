//! Stand-in for the platform's table service: versioned rows and faults on demand.
//!
//! - `GET /tables/{table}/{key}` answers `{"version", "value"}` or 404.
//! - `PUT /tables/{table}/{key}` with `{"expect", "value"}` writes if the version is `expect`.
//! - `PUT /faults` with [`Faults`] makes the service down, slow, or lose answers of writes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use anyhow::Result;
use ibisspool_kernel::http::{self, Reply};
use ibisspool_kernel::part::Kernel;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

/// Most bytes of a row.
const ROW_BYTES: usize = 16 << 20;

/// Faults of the service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call fails with 503.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect and whose answer is lost.
    pub lose_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, Value)>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// A running table service. Clones share it.
#[derive(Debug, Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Address of the service.
    pub address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Write {
    expect: u64,
    value: Value,
}

impl Platform {
    /// Starts the service.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub fn start(listen: SocketAddr) -> Result<Self> {
        let state = Arc::<Mutex<State>>::default();
        let shared = Arc::clone(&state);
        let address = http::serve(&Kernel::new(), listen, move |request| {
            handle(&shared, request);
        })?;
        Ok(Self { state, address })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Writes a row whatever its version, past all faults.
    pub fn put(&self, key: &str, value: Value) {
        let mut state = lock(&self.state);
        let version = state.rows.get(key).map_or(0, |row| row.0) + 1;
        state.rows.insert(key.to_owned(), (version, value));
    }

    /// Returns a row, past all faults.
    pub fn get(&self, key: &str) -> Option<Value> {
        lock(&self.state).rows.get(key).map(|row| row.1.clone())
    }

    /// Returns the number of reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.reads, state.writes)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let path = request.url().trim_start_matches('/').to_owned();
    let method = request.method().clone();
    let body = http::read_body(&mut request, ROW_BYTES).unwrap_or_default();
    if path == "faults" && method == Method::Put {
        return http::send_response(request, set_faults(state, &body));
    }
    let faults = lock(state).faults;
    thread::sleep(Duration::from_millis(faults.slow_ms));
    if faults.down {
        return http::send_response(request, http::text_response(503, "text/plain", "down\n"));
    }
    let Some(key) = path.strip_prefix("tables/ibisspool/") else {
        return http::send_response(
            request,
            http::text_response(404, "text/plain", "no such table\n"),
        );
    };
    match method {
        Method::Get => http::send_response(request, read(state, key)),
        Method::Put => {
            let reply = write(state, key, &body);
            if lose_answer(state) {
                return drop(request.into_writer());
            }
            http::send_response(request, reply);
        }
        _ => http::send_response(
            request,
            http::text_response(405, "text/plain", "GET or PUT only\n"),
        ),
    }
}

fn lose_answer(state: &Mutex<State>) -> bool {
    let faults = &mut lock(state).faults;
    let lose = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    lose
}

fn set_faults(state: &Mutex<State>, body: &[u8]) -> Reply {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            lock(state).faults = faults;
            http::text_response(204, "text/plain", "")
        }
        Err(error) => http::text_response(
            400,
            "text/plain",
            format!("not a list of faults: {error}\n"),
        ),
    }
}

fn read(state: &Mutex<State>, key: &str) -> Reply {
    let mut state = lock(state);
    state.reads += 1;
    match state.rows.get(key) {
        Some((version, value)) => {
            http::json_response(200, &json!({ "version": version, "value": value }))
        }
        None => http::text_response(404, "text/plain", "no such row\n"),
    }
}

fn write(state: &Mutex<State>, key: &str, body: &[u8]) -> Reply {
    let write: Write = match serde_json::from_slice(body) {
        Ok(write) => write,
        Err(error) => {
            return http::text_response(400, "text/plain", format!("not a write: {error}\n"));
        }
    };
    let mut state = lock(state);
    state.writes += 1;
    let version = state.rows.get(key).map_or(0, |row| row.0);
    if version != write.expect {
        return http::json_response(409, &json!({ "version": version }));
    }
    let version = version + 1;
    state.rows.insert(key.to_owned(), (version, write.value));
    http::json_response(200, &json!({ "version": version, "value": null }))
}
