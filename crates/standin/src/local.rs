//! A complete ibisspool in one process on loopback ports: table service, entries, agents and
//! backend servers.

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

/// The only kind of the local catalogue; its tasks return their input.
pub const ECHO: &str = "echo";

/// Time within which all entries must be ready and connected to all agents.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Configuration of one backend server of a local system.
#[derive(Debug, Clone)]
pub struct BackendShape {
    /// Name of the data centre.
    pub data_centre: String,
    /// Number of tasks that run at the same time.
    pub slots: u32,
    /// Factor by which run times are divided.
    pub speed: f64,
}

/// A running local system. The order of the agents is that of the backend servers.
#[derive(Debug)]
pub struct LocalSystem {
    /// The table service.
    pub platform: Platform,
    /// The entries.
    pub entries: Vec<ibisspool::serve::Running>,
    /// The agents, one for each backend server.
    pub agents: Vec<ibisspool_agent::serve::Running>,
    /// The backend servers, in the order of the agents.
    pub backends: Vec<Backend>,
}

/// Returns the catalogue of a local system: the kind [`ECHO`] and its owner.
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

/// Writes the first control row and the first catalogue, which entries need before they can start
/// work. An operator does this once for each installation.
pub fn write_initial_rows(platform: &Platform, catalogue: &Catalogue) {
    let row = Row {
        epoch: 1,
        catalogue: 1,
        change: "seed".to_owned(),
        ..Row::default()
    };
    platform.overwrite_row("catalogue-1", json!(catalogue));
    platform.overwrite_row("control", json!(row));
}

/// Starts a local system and waits until it is ready. `entries` names the data centre of each
/// entry; `default_run_ms` is the run time in milliseconds at speed 1 of tasks whose input has no
/// `run_ms`.
///
/// # Errors
/// Fails if a component cannot start or the system is not ready within 20 s.
pub fn start(
    entries: &[&str],
    shapes: &[BackendShape],
    default_run_ms: f64,
) -> Result<LocalSystem> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any_port)?;
    write_initial_rows(&platform, &catalogue());
    let mut local = LocalSystem {
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
    let entry_addresses: Vec<String> = local
        .entries
        .iter()
        .map(|entry| entry.peer_address.to_string())
        .collect();
    for (number, shape) in shapes.iter().enumerate() {
        let name = format!("backend-{number}");
        let settings = ibisspool_agent::settings::Settings::new(
            &name,
            &shape.data_centre,
            entry_addresses.clone(),
        );
        let agent = ibisspool_agent::serve::start(&settings)?;
        local.backends.push(Backend::start(&backend::Settings {
            listen: any_port,
            agent_url: format!("http://{}", agent.address),
            slots: shape.slots,
            kinds: vec![ECHO.to_owned()],
            default_run_ms,
            speed: shape.speed,
        })?);
        local.agents.push(agent);
    }
    local.wait_until_ready()?;
    Ok(local)
}

impl LocalSystem {
    /// Returns the base URLs of the entries, in their order.
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|entry| format!("http://{}", entry.address))
            .collect()
    }

    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for url in self.entry_urls() {
            while !(is_ready(&url) && count_announced_backends(&url) == self.backends.len()) {
                if Instant::now() > deadline {
                    bail!(
                        "the entry at {url} is not ready or lacks a backend server after {START_TIMEOUT:?}; see its log"
                    );
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// Returns whether the entry with the base URL `entry` reports that it is ready to accept jobs.
pub fn is_ready(entry: &str) -> bool {
    attohttpc::get(format!("{entry}/readyz"))
        .send()
        .is_ok_and(|response| response.is_success())
}

/// Returns the number of backend servers that are announced and whose agents are connected to the
/// entry.
fn count_announced_backends(entry: &str) -> usize {
    let answer = attohttpc::get(format!("{entry}/v1/status")).send();
    let body = answer.and_then(attohttpc::Response::bytes);
    let status = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Status>(&body).ok());
    status.map_or(0, |status| {
        let is_announced = |backend: &&operator::Backend| backend.connected && backend.slots > 0;
        status.backends.iter().filter(is_announced).count()
    })
}
