//! What entries tell each other.
//!
//! Load pattern: tens of entries, each of which exchanges messages with every other one several
//! times a second. What has not changed since the last message is left out, so that a message does
//! not grow with the number of entries.

use std::time::Duration;

use super::super::message::Gossip;
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
    /// Version of our list of entries that it was told, 0 before the first.
    members_told: u64,
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
    /// Returns the next message to another entry.
    pub fn tell(&self, peer: &mut Peer) -> Gossip {
        let is_news = peer.members_told < self.members_version;
        peer.members_told = self.members_version;
        let members = if is_news {
            self.members.clone()
        } else {
            Vec::new()
        };
        Gossip {
            from: self.members[0].clone(),
            members,
            version: self.catalogue.as_ref().map_or(0, |known| known.version),
            catalogue: self.catalogue.clone().filter(|_| self.is_ahead_of(peer)),
        }
    }

    /// Returns whether another entry's catalogue is older than ours.
    pub fn is_ahead_of(&self, peer: &Peer) -> bool {
        self.catalogue
            .as_ref()
            .is_some_and(|known| known.version > peer.version)
    }
}
