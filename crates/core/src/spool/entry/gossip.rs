//! What entries tell each other.
//!
//! Load pattern: tens of entries, each of which exchanges messages with every other one several
//! times a second, also while all of them start at once or a large catalogue comes into force. What
//! the other one has been told is left out, so that a message does not grow with the number of
//! entries, and the catalogue goes only to those that ask with an older one.

use std::sync::Arc;
use std::time::Duration;

use super::super::catalogue::Snapshot;
use super::super::message::{Gossip, Member};
use super::Entry;

/// Shortest pause between two exchanges with one other entry: a change that the store does not tell
/// one of them is known to all within the two seconds that a change may take.
const SHORTEST: Duration = Duration::from_millis(400);

/// Longest pause, so that an entry that reaches only one other still learns of a change in time.
const LONGEST: Duration = Duration::from_millis(1_200);

/// Other entries up to which each is asked after the shortest pause; with more of them, an entry
/// hears of a change as soon from any of them.
const FEW: u32 = 12;

/// Returns the pause between two exchanges with one of so many other entries.
pub fn gossip_pause(others: usize) -> Duration {
    (SHORTEST * others as u32 / FEW).clamp(SHORTEST, LONGEST)
}

/// What the entry at the other end of a connection knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Version of its catalogue; the newest possible before it has said.
    version: u64,
    /// How many of our list of entries it was told.
    members_told: usize,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            version: u64::MAX,
            members_told: 0,
        }
    }
}

impl Peer {
    /// Takes note of what the other entry says of itself.
    pub fn hear(&mut self, heard: &Gossip) {
        self.version = heard.version;
    }
}

impl Entry {
    /// Returns the next question to another entry.
    pub fn ask(&self, peer: &mut Peer) -> Gossip {
        Gossip {
            from: self.members[0].clone(),
            members: untold(&self.members, &mut peer.members_told),
            version: self.catalogue.as_ref().map_or(0, |known| known.version),
            catalogue: None,
        }
    }

    /// Returns the answer to the question of another entry just heard. Only an answer carries the
    /// catalogue: most entries have a new one from the store by the time they ask.
    pub fn tell(&self, peer: &mut Peer) -> Gossip {
        let is_behind = |known: &Arc<Snapshot>| known.version > peer.version;
        Gossip {
            catalogue: self.catalogue.clone().filter(is_behind),
            ..self.ask(peer)
        }
    }
}

/// Returns the entries after the first `told`, which then are told as well.
pub(super) fn untold(members: &[Member], told: &mut usize) -> Vec<Member> {
    let news = members[*told..].to_vec();
    *told = members.len();
    news
}
