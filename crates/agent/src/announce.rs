//! HTTP interface of the agent, on which the backend server announces itself.

use std::sync::{Arc, Mutex, PoisonError};

use crossbeam::channel::Sender;
use ibisspool_core::agent::Event;
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use ibisspool_kernel::http::{self, Method, Request};
use ibisspool_kernel::web::Reply;
use serde::Deserialize;

use crate::metrics::Metrics;

/// Largest accepted body of an announcement.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Body of `PUT /v1/backend`, which the backend server repeats to show that it is alive.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Base URL of the backend server.
    pub address: String,
    /// Number of tasks that the backend server runs at the same time.
    pub slots: u32,
    /// Kinds of tasks that the backend server can run.
    pub kinds: Vec<String>,
}

/// Base URL of the backend server, `None` until the first announcement. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct BackendAddress(Arc<Mutex<Option<String>>>);

impl BackendAddress {
    /// Returns the base URL, `None` before the first announcement.
    pub fn get(&self) -> Option<String> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the base URL.
    pub fn set(&self, address: String) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }
}

/// What the HTTP threads need to serve a request.
#[derive(Debug, Clone)]
pub struct Context {
    /// Mailbox of the decider, the thread that owns the agent's state.
    pub events: Sender<Event>,
    /// Base URL of the backend server, set by each announcement.
    pub backend_address: BackendAddress,
    /// Metrics of the agent, served at `/metrics`.
    pub metrics: Metrics,
    /// Largest number of slots that an announcement may name.
    pub max_slots: u32,
}

/// Serves one HTTP request of the backend server, a health check or a metrics scraper.
pub fn handle(context: &Context, mut request: Request) {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let reply = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => http::text_response(200, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => reply_readiness(context),
        (&Method::GET, "/metrics") => {
            http::text_response(200, "text/plain; version=0.0.4", context.metrics.text())
        }
        (&Method::PUT, "/v1/backend") => register_backend(context, &mut request),
        (&Method::DELETE, "/v1/backend") => {
            let _ended = context.events.send(Event::Deregistered);
            http::text_response(204, "text/plain", "")
        }
        (method, path) => {
            let detail =
                format!("there is no {method} {path}; docs/PROTOCOL.md lists the interface");
            http::problem(404, &Refusal::new(Reason::NotFound, Ran::No, detail), None)
        }
    };
    request.answer(reply);
}

fn reply_readiness(context: &Context) -> Reply {
    match context.backend_address.get() {
        Some(_) => http::text_response(200, "text/plain", "ready\n"),
        None => http::text_response(
            503,
            "text/plain",
            "not ready: no backend server has announced itself\n",
        ),
    }
}

fn register_backend(context: &Context, request: &mut Request) -> Reply {
    match read_announcement(context, request) {
        Ok(announcement) => {
            context
                .backend_address
                .set(announcement.address.trim_end_matches('/').to_owned());
            let Announcement { slots, kinds, .. } = announcement;
            let _ended = context.events.send(Event::Registered { slots, kinds });
            http::text_response(204, "text/plain", "")
        }
        Err(detail) => http::problem(400, &Refusal::new(Reason::Malformed, Ran::No, detail), None),
    }
}

fn read_announcement(context: &Context, request: &mut Request) -> Result<Announcement, String> {
    let body = request
        .take_body(MAX_BODY_BYTES)
        .map_err(|error| error.to_string())?;
    let announcement: Announcement = serde_json::from_slice(&body)
        .map_err(|error| format!("the body is not an announcement: {error}"))?;
    if !(1..=context.max_slots).contains(&announcement.slots) {
        return Err(format!(
            "slots must be 1 to {}, the agent's --max-slots",
            context.max_slots
        ));
    }
    if !announcement.address.starts_with("http://") {
        return Err("address must be a URL such as http://127.0.0.1:9000".to_owned());
    }
    Ok(announcement)
}
