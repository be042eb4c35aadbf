//! The backend server's HTTP interface to its agent.

use std::sync::{Arc, Mutex, PoisonError};

use crossbeam::channel::Sender;
use ibisspool_core::agent::Event;
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use ibisspool_kernel::http;
use serde::Deserialize;
use tiny_http::{Method, Request};

use crate::metrics::Metrics;

/// Most bytes of an announcement.
const MAX_BODY_BYTES: usize = 64 << 10;

/// An announcement of the backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Base URL of the backend server.
    pub address: String,
    /// Tasks that it runs at the same time.
    pub slots: u32,
    /// Kinds that it serves.
    pub kinds: Vec<String>,
}

/// Address of the backend server, once it has announced itself. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct BackendAddress(Arc<Mutex<Option<String>>>);

impl BackendAddress {
    /// Returns the address.
    pub fn get(&self) -> Option<String> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets the address.
    pub fn set(&self, address: String) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }
}

/// What the HTTP part needs to serve a request.
#[derive(Debug, Clone)]
pub struct Context {
    /// Mailbox of the decider.
    pub events: Sender<Event>,
    /// Address of the backend server.
    pub backend_address: BackendAddress,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Most slots that may be announced.
    pub max_slots: u32,
}

/// Serves one request.
pub fn handle(context: &Context, mut request: Request) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let reply = match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => http::reply(200, "text/plain", "ok\n"),
        (Method::Get, "/readyz") => reply_readiness(context),
        (Method::Get, "/metrics") => {
            http::reply(200, "text/plain; version=0.0.4", context.metrics.text())
        }
        (Method::Put, "/v1/backend") => register_backend(context, &mut request),
        (Method::Delete, "/v1/backend") => {
            let _ended = context.events.send(Event::Left);
            http::reply(204, "text/plain", "")
        }
        (method, path) => {
            let detail =
                format!("there is no {method} {path}; docs/PROTOCOL.md lists the interface");
            http::problem(404, &Refusal::new(Reason::NotFound, Ran::No, detail), None)
        }
    };
    http::send(request, reply);
}

fn reply_readiness(context: &Context) -> http::Reply {
    match context.backend_address.get() {
        Some(_) => http::reply(200, "text/plain", "ready\n"),
        None => http::reply(
            503,
            "text/plain",
            "not ready: no backend server has announced itself\n",
        ),
    }
}

fn register_backend(context: &Context, request: &mut Request) -> http::Reply {
    match read_announcement(context, request) {
        Ok(announcement) => {
            context
                .backend_address
                .set(announcement.address.trim_end_matches('/').to_owned());
            let Announcement { slots, kinds, .. } = announcement;
            let _ended = context.events.send(Event::Announced { slots, kinds });
            http::reply(204, "text/plain", "")
        }
        Err(detail) => http::problem(400, &Refusal::new(Reason::Malformed, Ran::No, detail), None),
    }
}

fn read_announcement(context: &Context, request: &mut Request) -> Result<Announcement, String> {
    let body = http::read_body(request, MAX_BODY_BYTES).map_err(|error| error.to_string())?;
    let announcement: Announcement = serde_json::from_slice(&body)
        .map_err(|error| format!("the body is not an announcement: {error}"))?;
    if !(1..=context.max_slots).contains(&announcement.slots) {
        return Err(format!("slots must be 1 to {}", context.max_slots));
    }
    if !announcement.address.starts_with("http://") {
        return Err("address must be a URL such as http://127.0.0.1:9000".to_owned());
    }
    Ok(announcement)
}
