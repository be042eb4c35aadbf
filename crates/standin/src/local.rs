//! A whole system in one process on loopback ports: platform, entries, agents, backend servers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use ibisspool_core::catalogue::{Catalogue, Class, Kind, Owner};
use ibisspool_core::control::Row;
use ibisspool_core::entry::operator::{self, Status};
use serde_json::json;

use crate::backend::{self, Backend};
use crate::platform::Platform;

/// Kind of task in the local catalogue that echoes its input.
pub const ECHO: &str = "echo";

/// Time within which the system must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What one backend server of the local system is like.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Data centre.
    pub data_centre: String,
    /// Slots.
    pub slots: u32,
    /// Speed; 1 is ordinary.
    pub speed: f64,
}

/// A running local system.
#[derive(Debug)]
pub struct Local {
    /// The table service.
    pub platform: Platform,
    /// The entries.
    pub entries: Vec<ibisspool::serve::Running>,
    /// The agents.
    pub agents: Vec<ibisspool_agent::serve::Running>,
    /// The backend servers, in the order of the agents.
    pub backends: Vec<Backend>,
}

/// Returns the catalogue of the local system.
pub fn catalogue() -> Catalogue {
    let owner = Owner {
        name: "local".to_owned(),
        weight: 1,
        max_running: None,
        max_rate: None,
    };
    let kind = Kind {
        name: ECHO.to_owned(),
        owner: "local".to_owned(),
        class: Class::Urgent,
        max_running: None,
        max_rate: None,
        max_tasks: None,
        max_input_bytes: None,
        max_timeout_ms: 60_000,
        expected_run_ms: 20,
    };
    Catalogue {
        owners: vec![owner],
        kinds: vec![kind],
    }
}

/// Writes the first control row and catalogue, as an operator does once.
pub fn seed(platform: &Platform, catalogue: &Catalogue) {
    let row = Row {
        epoch: 1,
        catalogue: 1,
        change: "seed".to_owned(),
        ..Row::default()
    };
    platform.put("catalogue-1", json!(catalogue));
    platform.put("control", json!(row));
}

/// Starts a local system with entries in the named data centres, and waits until it is ready.
///
/// # Errors
/// Fails if a part cannot start or the system is not ready in time.
pub fn start(entries: &[&str], shapes: &[Shape], run_ms: f64) -> Result<Local> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any)?;
    seed(&platform, &catalogue());
    let mut local = Local {
        platform,
        entries: Vec::new(),
        agents: Vec::new(),
        backends: Vec::new(),
    };
    for (number, data_centre) in entries.iter().enumerate() {
        let name = format!("entry-{number}");
        let settings =
            ibisspool::settings::Settings::new(&name, data_centre, &local.platform.url());
        local.entries.push(ibisspool::serve::start(&settings)?);
    }
    let seeds: Vec<String> = local
        .entries
        .iter()
        .map(|e| e.peer_address.to_string())
        .collect();
    for (number, shape) in shapes.iter().enumerate() {
        let name = format!("backend-{number}");
        let settings =
            ibisspool_agent::settings::Settings::new(&name, &shape.data_centre, seeds.clone());
        let agent = ibisspool_agent::serve::start(&settings)?;
        local.backends.push(Backend::start(&backend::Settings {
            listen: any,
            agent: format!("http://{}", agent.address),
            slots: shape.slots,
            kinds: vec![ECHO.to_owned()],
            run_ms,
            speed: shape.speed,
        })?);
        local.agents.push(agent);
    }
    local.wait_ready()?;
    Ok(local)
}

impl Local {
    /// Returns the base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|entry| format!("http://{}", entry.address))
            .collect()
    }

    fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for url in self.entry_urls() {
            while !(is_ready(&url) && present_backends(&url) == self.backends.len()) {
                if Instant::now() > deadline {
                    bail!("the entry at {url} is not ready after {START_TIMEOUT:?}; see its log");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// Returns whether an entry takes work.
pub fn is_ready(entry: &str) -> bool {
    attohttpc::get(format!("{entry}/readyz"))
        .send()
        .is_ok_and(|response| response.is_success())
}

/// Returns how many announced backend servers an entry is connected to.
fn present_backends(entry: &str) -> usize {
    let answer = attohttpc::get(format!("{entry}/v1/status")).send();
    let body = answer.and_then(attohttpc::Response::bytes);
    let status = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Status>(&body).ok());
    status.map_or(0, |status| {
        let present = |backend: &&operator::Backend| backend.connected && backend.slots > 0;
        status.backends.iter().filter(present).count()
    })
}
