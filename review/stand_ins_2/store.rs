//! The platform's metadata store: tables of versioned rows, reads, and feeds of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Call, Reply};
use crate::json::{self, Value};

#[derive(Debug, Clone)]
struct Row {
    /// Base64 of the value.
    value: String,
    version: u64,
    removed: bool,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store. It keeps tombstones for ever, so that each feed can resume.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        http::serve(address, move |call| served.answer(&call))?;
        Ok(store)
    }

    /// Writes a row as the operator does; `value` is JSON text.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, &base64(value.as_bytes()), false);
    }

    /// Removes a row as the operator does.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, "", true);
    }

    fn write(&self, table: &str, key: &str, value: &str, removed: bool) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row {
            value: value.to_owned(),
            version: state.version,
            removed,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Answers a call of a daemon.
    pub fn answer(&self, call: &Call) -> Reply {
        let table = call.parameter("table").unwrap_or("");
        match &*call.path {
            "/api/rows-get" => self.read(table),
            "/api/rows-feed" => {
                let number = |name| call.parameter(name).and_then(|text| text.parse().ok());
                self.feed(
                    table,
                    number("after").unwrap_or(0),
                    number("waitMs").unwrap_or(0),
                )
            }
            "/api/rows-tx" => self.transact(&call.body),
            _ => Reply::new(404, ""),
        }
    }

    fn read(&self, table: &str) -> Reply {
        let state = self.state.lock().unwrap();
        let rows = rows_of(&state, table, |row| !row.removed);
        Reply::new(200, listing(&rows, state.version))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let rows = rows_of(&state, table, |row| row.version > after);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Reply::new(200, listing(&rows, state.version));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        let Some(transaction) = json::parse(body) else {
            return Reply::new(400, "");
        };
        for put in transaction.list("puts") {
            let field = |name| put.text(name).unwrap_or("");
            if matches!(field("table"), "op" | "servers") {
                return Reply::new(403, "");
            }
            self.write(field("table"), field("key"), field("value"), false);
        }
        let version = self.state.lock().unwrap().version;
        Reply::new(200, format!("{{\"schemaVersion\":{version},\"nowMs\":1}}"))
    }
}

fn rows_of<F>(state: &State, table: &str, is_wanted: F) -> Vec<(String, Row)>
where
    F: Fn(&Row) -> bool,
{
    let of_table = state
        .rows
        .iter()
        .filter(|(key, row)| key.0 == table && is_wanted(row));
    let mut rows: Vec<_> = of_table
        .map(|(key, row)| (key.1.clone(), row.clone()))
        .collect();
    rows.sort_by_key(|(_key, row)| row.version);
    rows
}

fn listing(rows: &[(String, Row)], version: u64) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|(key, row)| {
            let tombstone = if row.removed {
                ",\"tombstone\":true"
            } else {
                ""
            };
            format!(
                "{{\"key\":{},\"part\":\"\",\"value\":\"{}\",\"schemaVersion\":{}{tombstone}}}",
                json::quoted(key),
                row.value,
                row.version
            )
        })
        .collect();
    format!(
        "{{\"rows\":[{}],\"truncated\":false,\"schemaVersion\":{version},\"nowMs\":1}}",
        rows.join(",")
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for position in 0..3 {
            bits = bits << 8 | u32::from(group.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            text.push(if position > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}

/// A configuration of the operator: routes that lead to one service each.
pub fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{}\",\"pathPrefix\":\"{}\",\"kind\":\"unsafe\",\
                 \"timeoutMs\":{},\"targetLatencyMs\":{},\"priority\":0,\"service\":\"{}\",\
                 \"maxAttempts\":4,\"stretch\":1.6}}",
                route.name,
                route.host,
                route.prefix,
                route.timeout_ms,
                route.target_latency_ms,
                route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A route of a configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
}

/// Returns whether a JSON text is a table, for checks of what a case itself writes.
pub fn is_table(text: &str) -> bool {
    matches!(json::parse(text.as_bytes()), Some(Value::Table(_)))
}
