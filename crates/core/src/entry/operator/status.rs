//! The status of the region as one entry sees it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ServiceState;
use crate::control::Change;
use crate::entry::Entry;
use crate::time::{Now, Wall};

/// Age of a change after which what is still missing for it counts as overdue.
const OVERDUE_AFTER: Duration = Duration::from_secs(3);

/// The status of the region as one entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: String,
    /// Epoch of the control row that the entry has adopted.
    pub epoch: u64,
    /// Whether the leases of all earlier epochs have lapsed.
    pub in_force: bool,
    /// Id of the change that made the epoch.
    pub change: String,
    /// Wall time at which the change was written.
    pub written: Wall,
    /// Lease of the entry.
    pub lease: Lease,
    /// Version of the catalogue that the control row names.
    pub catalogue: u64,
    /// Version of the catalogue that this entry has adopted.
    pub catalogue_adopted: u64,
    /// The entries of the region.
    pub members: Vec<Member>,
    /// The data centres of the region, by name.
    pub data_centres: Vec<DataCentre>,
    /// The backend servers that the entry knows, by name.
    pub backends: Vec<Backend>,
    /// Jobs at this entry that have not ended.
    pub open_jobs: usize,
    /// Tasks at this entry that wait for a backend server.
    pub queued_tasks: usize,
    /// Latest changes by operators, oldest first.
    pub changes: Vec<Change>,
    /// Problems that should have resolved by now, one sentence for each.
    pub overdue: Vec<String>,
}

/// The lease of the entry that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Whether the epoch of the entry was confirmed within the length of a lease.
    pub held: bool,
    /// Time since the heartbeats or the row read that confirmed the epoch were sent, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// Status of an entry of the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Address for connections of the other processes.
    pub address: String,
    /// Highest epoch that the entry has reported. It uses the catalogue of that epoch.
    pub epoch: u64,
    /// Time since the entry last answered a heartbeat, in milliseconds.
    pub silent_ms: u64,
}

/// Status of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: String,
    /// Service state of the data centre.
    pub state: ServiceState,
    /// Number of backend servers in the data centre that the answering entry knows.
    pub backends: usize,
    /// Number of slots of these backend servers.
    pub slots: u32,
    /// Number of tasks that run on these backend servers, by their latest reports.
    pub running: u32,
}

/// Status of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend server and its agent.
    pub name: String,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// Service state; out of service also if only the data centre is.
    pub state: ServiceState,
    /// Whether the agent is connected to the answering entry.
    pub connected: bool,
    /// Whether the backend server is leaving.
    pub leaving: bool,
    /// Most tasks that the backend server runs at the same time.
    pub slots: u32,
    /// Number of tasks that run, by the agent's latest report.
    pub running: u32,
    /// Number of tasks that wait at the agent, by its latest report.
    pub queued: u32,
    /// Highest epoch that the agent has seen.
    pub epoch: u64,
    /// Kinds that the backend server serves.
    pub kinds: Vec<String>,
}

impl Entry {
    /// Returns the status of the region as this entry sees it.
    pub fn status(&self, now: Now) -> Status {
        let confirmed_at = self.epoch_confirmed_at(now);
        Status {
            entry: self.me.name.clone(),
            epoch: self.row.epoch,
            in_force: self.takeover.is_in_force(self.row.epoch),
            change: self.row.change.clone(),
            written: self.row.written,
            lease: Lease {
                held: confirmed_at.is_some(),
                age_ms: confirmed_at.map(|sent| now.mono.since(sent).as_millis() as u64),
            },
            catalogue: self.row.catalogue,
            catalogue_adopted: self.catalogue_version,
            members: self.member_statuses(now),
            data_centres: self.data_centre_statuses(),
            backends: self.backend_statuses(),
            open_jobs: self.jobs.values().filter(|job| !job.is_ended()).count(),
            queued_tasks: self.queue.len(),
            changes: self.row.changes.clone(),
            overdue: self.overdue(now),
        }
    }

    fn member_statuses(&self, now: Now) -> Vec<Member> {
        let statuses = self.row.members.iter().map(|member| {
            let is_own = member.name == self.me.name;
            let last_heard = self.last_heard.get(&member.name).filter(|_at| !is_own);
            Member {
                name: member.name.clone(),
                data_centre: member.data_centre.clone(),
                address: member.address.clone(),
                epoch: if is_own {
                    self.row.epoch
                } else {
                    self.operator.reported_epoch(&member.name)
                },
                silent_ms: last_heard.map_or(0, |at| now.mono.since(*at).as_millis() as u64),
            }
        });
        statuses.collect()
    }

    fn data_centre_statuses(&self) -> Vec<DataCentre> {
        let mut names = self.known_data_centres();
        names.extend(self.row.data_centres_out.iter().cloned());
        let status_of = |name: String| {
            let agents = self.fleet.agents.values();
            let here = agents.filter(|agent| agent.hello.data_centre == name);
            let (mut backends, mut slots, mut running) = (0, 0, 0);
            for agent in here {
                backends += 1;
                slots += agent.hello.slots;
                running += agent.load.running;
            }
            DataCentre {
                state: service_state(self.row.data_centres_out.contains(&name)),
                name,
                backends,
                slots,
                running,
            }
        };
        names.into_iter().map(status_of).collect()
    }

    fn backend_statuses(&self) -> Vec<Backend> {
        let agents = self.fleet.agents.values();
        let mut statuses: Vec<Backend> = agents
            .map(|agent| Backend {
                name: agent.hello.agent.clone(),
                data_centre: agent.hello.data_centre.clone(),
                state: service_state(!self.is_in_service(agent)),
                connected: agent.link.is_some(),
                leaving: agent.hello.leaving,
                slots: agent.hello.slots,
                running: agent.load.running,
                queued: agent.load.queued,
                epoch: agent.epoch,
                kinds: agent.hello.kinds.clone(),
            })
            .collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }

    /// Returns what is still missing some time after the last change, one sentence for each.
    fn overdue(&self, now: Now) -> Vec<String> {
        let mut overdue = Vec::new();
        let epoch = self.row.epoch;
        if now.wall.since(self.row.written) < OVERDUE_AFTER {
            return overdue;
        }
        for member in self.member_statuses(now) {
            if member.epoch < epoch {
                overdue.push(format!(
                    "entry {} has not confirmed epoch {epoch}",
                    member.name
                ));
            }
        }
        if !self.takeover.is_in_force(epoch) {
            overdue.push(format!("epoch {epoch} is written but not in force"));
        }
        if self.catalogue_version != self.row.catalogue {
            let version = self.row.catalogue;
            overdue.push(format!(
                "entry {} has not read catalogue version {version}",
                self.me.name
            ));
        }
        let disconnected = self.fleet.agents.values().filter(|a| a.link.is_none());
        overdue.extend(disconnected.map(|a| format!("agent {} is not connected", a.hello.agent)));
        overdue
    }
}

fn service_state(is_out: bool) -> ServiceState {
    if is_out {
        ServiceState::Out
    } else {
        ServiceState::In
    }
}
