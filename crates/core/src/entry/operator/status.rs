//! One entry's view of the region.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Service;
use crate::control::Change;
use crate::entry::Entry;
use crate::time::{Now, Wall};

/// Time within which a change is usually in force; a longer one is overdue.
const OVERDUE: Duration = Duration::from_secs(3);

/// One entry's view of the region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: String,
    /// Its epoch.
    pub epoch: u64,
    /// Whether no entry can decide under an earlier epoch.
    pub in_force: bool,
    /// The change that made the epoch.
    pub change: String,
    /// Wall time of that change.
    pub written: Wall,
    /// Its lease.
    pub lease: Lease,
    /// Version of the catalogue that the control row names.
    pub catalogue: u64,
    /// Version of the catalogue that this entry has adopted.
    pub catalogue_adopted: u64,
    /// The entries of the region.
    pub members: Vec<Member>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// Jobs of this entry that have not ended.
    pub open_jobs: usize,
    /// Tasks of this entry that wait for a backend server.
    pub queued_tasks: usize,
    /// Latest changes by operators, oldest first.
    pub changes: Vec<Change>,
    /// What should have happened by now and has not.
    pub overdue: Vec<String>,
}

/// The lease of the entry that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Whether it may decide.
    pub held: bool,
    /// Age of the question on which the lease rests, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// An entry of the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for the other processes.
    pub address: String,
    /// The epoch that it said last; it decides under the catalogue of that epoch only.
    pub epoch: u64,
    /// Time since it answered, in milliseconds.
    pub silent_ms: u64,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Its name.
    pub name: String,
    /// Its service state.
    pub state: Service,
    /// Backend servers there that this entry knows.
    pub backends: usize,
    /// Their slots.
    pub slots: u32,
    /// Tasks that run there.
    pub running: u32,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its service state, its data centre's included.
    pub state: Service,
    /// Whether its agent is connected to this entry.
    pub connected: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Tasks that it runs at the same time.
    pub slots: u32,
    /// Tasks that run, by its latest report.
    pub running: u32,
    /// Tasks that wait at its agent.
    pub queued: u32,
    /// Highest epoch that its agent has seen.
    pub epoch: u64,
    /// Kinds that it serves.
    pub kinds: Vec<String>,
}

impl Entry {
    /// Returns this entry's view of the region.
    pub fn status(&self, now: Now) -> Status {
        let basis = self.lease_basis(now);
        Status {
            entry: self.me.name.clone(),
            epoch: self.row.epoch,
            in_force: self.takeover.is_in_force(self.row.epoch),
            change: self.row.change.clone(),
            written: self.row.written,
            lease: Lease {
                held: basis.is_some(),
                age_ms: basis.map(|basis| now.mono.since(basis).as_millis() as u64),
            },
            catalogue: self.row.catalogue,
            catalogue_adopted: self.catalogue_version,
            members: self.member_views(now),
            data_centres: self.data_centre_views(),
            backends: self.backend_views(),
            open_jobs: self.jobs.values().filter(|job| !job.is_ended()).count(),
            queued_tasks: self.queue.len(),
            changes: self.row.changes.clone(),
            overdue: self.overdue(now),
        }
    }

    fn member_views(&self, now: Now) -> Vec<Member> {
        let views = self.row.members.iter().map(|member| {
            let own = member.name == self.me.name;
            let heard = self.heard.get(&member.name).filter(|_at| !own);
            Member {
                name: member.name.clone(),
                data_centre: member.data_centre.clone(),
                address: member.address.clone(),
                epoch: if own {
                    self.row.epoch
                } else {
                    self.operator.epoch_of(&member.name)
                },
                silent_ms: heard.map_or(0, |at| now.mono.since(*at).as_millis() as u64),
            }
        });
        views.collect()
    }

    fn data_centre_views(&self) -> Vec<DataCentre> {
        let mut names = self.data_centres();
        names.extend(self.row.data_centres_out.iter().cloned());
        let view = |name: String| {
            let agents = self.fleet.agents.values();
            let here = agents.filter(|agent| agent.hello.data_centre == name);
            let (mut backends, mut slots, mut running) = (0, 0, 0);
            for agent in here {
                backends += 1;
                slots += agent.hello.slots;
                running += agent.load.running;
            }
            DataCentre {
                state: state(self.row.data_centres_out.contains(&name)),
                name,
                backends,
                slots,
                running,
            }
        };
        names.into_iter().map(view).collect()
    }

    fn backend_views(&self) -> Vec<Backend> {
        let agents = self.fleet.agents.values();
        let mut views: Vec<Backend> = agents
            .map(|agent| Backend {
                name: agent.hello.agent.clone(),
                data_centre: agent.hello.data_centre.clone(),
                state: state(!self.in_service(agent)),
                connected: agent.link.is_some(),
                leaving: agent.hello.leaving,
                slots: agent.hello.slots,
                running: agent.load.running,
                queued: agent.load.queued,
                epoch: agent.epoch,
                kinds: agent.hello.kinds.clone(),
            })
            .collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn overdue(&self, now: Now) -> Vec<String> {
        let mut overdue = Vec::new();
        let epoch = self.row.epoch;
        if now.wall.since(self.row.written) < OVERDUE {
            return overdue;
        }
        for member in self.member_views(now) {
            if member.epoch < epoch {
                overdue.push(format!(
                    "entry {} has not confirmed epoch {epoch}",
                    member.name
                ));
            }
        }
        if !self.takeover.is_in_force(epoch) {
            overdue.push(format!("epoch {epoch} is written and not in force"));
        }
        if self.catalogue_version != self.row.catalogue {
            let version = self.row.catalogue;
            overdue.push(format!(
                "catalogue {version} cannot be read by {}",
                self.me.name
            ));
        }
        let lost = self.fleet.agents.values().filter(|a| a.link.is_none());
        overdue.extend(lost.map(|a| format!("agent {} is not connected", a.hello.agent)));
        overdue
    }
}

fn state(out: bool) -> Service {
    if out { Service::Out } else { Service::In }
}
