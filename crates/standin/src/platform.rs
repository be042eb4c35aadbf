//! HTTP server that replaces the platform's table service: versioned rows in memory, written by
//! compare-and-set, with faults on demand.
//!
//! - `GET /tables/{table}/{key}` answers `{"version", "value"}` or 404.
//! - `PUT /tables/{table}/{key}` with `{"expect", "value"}` writes the row if its version is
//!   `expect`, 0 for a row that does not exist; otherwise answers 409 with the version.
//! - `PUT /faults` with [`Faults`] makes the service unavailable or slow, or drops answers of
//!   writes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use anyhow::Result;
use ibisspool_kernel::connection_limiter::ConnectionLimiter;
use ibisspool_kernel::http::{self, Method, Request};
use ibisspool_kernel::part::Kernel;
use ibisspool_kernel::web::Reply;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest request body that is read.
const MAX_ROW_BYTES: usize = 16 << 20;

/// Faults to inject into the table service; the default is none.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call fails with HTTP status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose connection closes without an answer.
    pub lose_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, Value)>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// Handle of a running table service; clones refer to the same service.
#[derive(Debug, Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Address on which the service listens.
    pub address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct WriteRequest {
    expect: u64,
    value: Value,
}

impl Platform {
    /// Starts the service without rows.
    ///
    /// # Errors
    /// Fails if the service cannot listen on the address.
    pub fn start(listen: SocketAddr) -> Result<Self> {
        let state = Arc::<Mutex<State>>::default();
        let shared = Arc::clone(&state);
        let limiter = ConnectionLimiter::unlimited();
        let handle = move |request| handle_request(&shared, request);
        let address = http::serve(&Kernel::new(), listen, limiter, MAX_ROW_BYTES, handle)?;
        Ok(Self { state, address })
    }

    /// Returns the base URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Writes a row directly, without a version check and unaffected by faults.
    pub fn overwrite_row(&self, key: &str, value: Value) {
        let mut state = lock(&self.state);
        let version = state.rows.get(key).map_or(0, |row| row.0) + 1;
        state.rows.insert(key.to_owned(), (version, value));
    }

    /// Returns the value of a row directly, unaffected by faults.
    pub fn row(&self, key: &str) -> Option<Value> {
        lock(&self.state).rows.get(key).map(|row| row.1.clone())
    }

    /// Returns the numbers of reads and of writes that reached the rows so far.
    pub fn read_and_write_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.reads, state.writes)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle_request(state: &Arc<Mutex<State>>, mut request: Request) {
    let body = request.take_body(MAX_ROW_BYTES).unwrap_or_default();
    if request.path() == "/faults" && request.method() == Method::PUT {
        return request.answer(set_faults(state, &body));
    }
    let delay = Duration::from_millis(lock(state).faults.slow_ms);
    if delay.is_zero() {
        return use_table(state, request, &body);
    }
    let state = Arc::clone(state);
    thread::spawn(move || {
        thread::sleep(delay);
        use_table(&state, request, &body);
    });
}

/// Reads or writes a row, unless the service is down.
fn use_table(state: &Mutex<State>, request: Request, body: &[u8]) {
    if lock(state).faults.down {
        return request.answer(http::text_response(
            503,
            "text/plain",
            "the table service is down by an injected fault\n",
        ));
    }
    let Some(key) = request.path().strip_prefix("/tables/ibisspool/") else {
        return request.answer(http::text_response(
            404,
            "text/plain",
            "no such table; the only one is tables/ibisspool\n",
        ));
    };
    let reply = match *request.method() {
        Method::GET => read_row(state, key),
        Method::PUT => {
            let reply = write_row(state, key, body);
            if consume_lost_answer(state) {
                // The connection of a request that is dropped is closed without an answer.
                return drop(request);
            }
            reply
        }
        _ => http::text_response(405, "text/plain", "GET or PUT only\n"),
    };
    request.answer(reply);
}

/// Returns whether the answer of the current write must be dropped, and counts it if so.
fn consume_lost_answer(state: &Mutex<State>) -> bool {
    let faults = &mut lock(state).faults;
    let is_lost = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    is_lost
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
            format!("the body is not a JSON object of faults: {error}\n"),
        ),
    }
}

fn read_row(state: &Mutex<State>, key: &str) -> Reply {
    let mut state = lock(state);
    state.reads += 1;
    match state.rows.get(key) {
        Some((version, value)) => {
            http::json_response(200, &json!({ "version": version, "value": value }))
        }
        None => http::text_response(404, "text/plain", "no such row\n"),
    }
}

fn write_row(state: &Mutex<State>, key: &str, body: &[u8]) -> Reply {
    let write: WriteRequest = match serde_json::from_slice(body) {
        Ok(write) => write,
        Err(error) => {
            return http::text_response(
                400,
                "text/plain",
                format!("the body is not a write: {error}\n"),
            );
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
