//! Designed for tens of entries, each of which exchanges messages with every other one every 0.4 to
//! 1.2 s, also while all of them start at once or a large catalogue is published. To keep messages
//! small, an entry sends each peer only the list items that it has not sent over this connection,
//! and sends the catalogue only in reply to a peer with an older version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::super::catalogue::Snapshot;
use super::super::message::{Gossip, Member, QueueLoad};
use super::{AdmissionLoad, Entry, TaskKey};
use crate::time::{Monotonic, Now};

/// Shortest interval between two exchanges with the same peer. This interval is short enough for a
/// change that the store fails to deliver to some entry to reach all entries within the two seconds
/// that a change may take.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Longest interval, so that an entry that can reach only one peer still learns of a change in
/// time.
const MAX_INTERVAL: Duration = Duration::from_millis(1_200);

/// Number of peers up to which the interval stays at its minimum. With more peers the interval can
/// grow, because any of them may be the first to pass on a change.
const PEERS_AT_MIN_INTERVAL: u32 = 12;

/// Interval while this entry has no catalogue shortly after its start: peers that started at the same
/// time get it from the store some milliseconds later, and callers wait for it.
const INTERVAL_WITHOUT_CATALOGUE: Duration = Duration::from_millis(50);

/// Time from the start of the process for which [`INTERVAL_WITHOUT_CATALOGUE`] holds. An entry that
/// has no catalogue for longer would send its peers that many messages for ever.
const STARTUP_TIME: Duration = Duration::from_secs(1);

/// Returns the interval between two exchanges with the same peer, given the number of other
/// entries.
pub fn gossip_interval(others: usize) -> Duration {
    (MIN_INTERVAL * others as u32 / PEERS_AT_MIN_INTERVAL).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// What is known about the entry at the other end of a gossip connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Version of the peer's catalogue; `u64::MAX` until the peer has sent its version, so that no
    /// catalogue is sent needlessly.
    catalogue_version: u64,
    /// Number of items of [`Entry::known_entries`] already sent to the peer.
    members_sent: usize,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            catalogue_version: u64::MAX,
            members_sent: 0,
        }
    }
}

impl Peer {
    /// Records the catalogue version in a message from the peer.
    pub fn record_peer_version(&mut self, heard: &Gossip) {
        self.catalogue_version = heard.version;
    }
}

/// Time for which a peer's queue length is valid. Between two entries messages pass in both
/// directions at least every 1.2 s, so that one lost message does not void the value.
const QUEUE_VALIDITY: Duration = Duration::from_secs(2);

/// What the peers' queues hold together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerSum {
    /// CPU that waits at the peers with a valid value, in thousandths of a core.
    pub waiting_cpu: f64,
    /// CPU that these peers have refused lately, in thousandths of a core.
    pub refused_cpu: f64,
    /// Number of peers without a valid value.
    pub silent: usize,
}

/// Queue lengths that other entries have told, by the name of the entry.
#[derive(Debug, Default)]
pub struct PeerQueues {
    told: HashMap<String, (Monotonic, QueueLoad)>,
}

impl PeerQueues {
    /// Records the queue of an entry.
    pub fn record(&mut self, entry: &str, load: QueueLoad, now: Monotonic) {
        self.told
            .retain(|_entry, (at, _load)| now.since(*at) < QUEUE_VALIDITY);
        self.told.insert(entry.to_owned(), (now, load));
    }

    /// Returns the sum over the valid values, given the number of other entries.
    pub fn sum(&self, others: usize, now: Monotonic) -> PeerSum {
        let mut sum = PeerSum {
            silent: others,
            ..PeerSum::default()
        };
        for (at, load) in self.told.values() {
            if now.since(*at) < QUEUE_VALIDITY {
                sum.waiting_cpu += load.waiting_cpu as f64;
                sum.refused_cpu += load.refused_cpu as f64;
                sum.silent = sum.silent.saturating_sub(1);
            }
        }
        sum
    }
}

impl Entry {
    /// Records what another entry told of its queue, if its message had that part.
    pub fn record_peer_queue(&mut self, from: &Member, load: Option<QueueLoad>, now: Now) {
        if let Some(load) = load
            && *from != self.members[0]
        {
            self.peer_queues.record(&from.name, load, now.mono);
        }
    }

    /// Returns what the admission of jobs is based on, for operators.
    pub fn admission_load(&self, now: Monotonic) -> AdmissionLoad {
        let peers = self.peer_queues.sum(self.members.len() - 1, now);
        AdmissionLoad {
            waiting_cpu: self.queue_load(now).waiting_cpu as f64,
            peer_cpu: peers.waiting_cpu,
            silent_peers: peers.silent,
        }
    }

    /// Returns the CPU that waits at this entry and that it has refused lately, for the part behind a gossip message.
    pub fn queue_load(&self, now: Monotonic) -> QueueLoad {
        let cpu = |key: &TaskKey| {
            let task = &self.tasks[*key];
            let step = &self.jobs[task.job].request.steps[usize::from(task.step)];
            u64::from(step.needs.cpu_millicores)
        };
        QueueLoad {
            waiting_cpu: self
                .queued_tasks
                .iter()
                .map(|(_urgency, key)| cpu(key))
                .sum(),
            refused_cpu: self.refused_work.cpu(now) as u64,
        }
    }

    /// Returns the next request to a peer. A request never carries the catalogue.
    pub fn gossip_request(&self, peer: &mut Peer) -> Gossip {
        Gossip {
            from: self.members[0].clone(),
            members: take_unsent_members(&self.members, &mut peer.members_sent),
            version: self.catalogue.as_ref().map_or(0, |known| known.version),
            catalogue: None,
        }
    }

    /// Returns the time until the next request to a peer.
    pub fn next_gossip_delay(&self, now: Monotonic) -> Duration {
        let has_just_started = now.since(Monotonic(0)) < STARTUP_TIME;
        if self.catalogue.is_none() && has_just_started {
            INTERVAL_WITHOUT_CATALOGUE
        } else {
            gossip_interval(self.members.len() - 1)
        }
    }

    /// Returns the reply to a peer's request, after [`Peer::record_peer_version`] has recorded the
    /// request. Only replies carry the catalogue: most entries get a new one from the store before
    /// they ask their peers.
    pub fn gossip_reply(&self, peer: &mut Peer) -> Gossip {
        let is_behind = |known: &Arc<Snapshot>| known.version > peer.catalogue_version;
        Gossip {
            catalogue: self.catalogue.clone().filter(is_behind),
            ..self.gossip_request(peer)
        }
    }
}

/// Returns the members after the first `sent` and marks all as sent.
pub(super) fn take_unsent_members(members: &[Member], sent: &mut usize) -> Vec<Member> {
    let unsent = members[*sent..].to_vec();
    *sent = members.len();
    unsent
}
