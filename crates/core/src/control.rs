//! The control row: members, service states and catalogue version under one epoch.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Wall;

/// An entry of the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name, unique in the region.
    pub name: String,
    /// Number drawn at each start of the process.
    pub incarnation: u64,
    /// Address for the other processes, `IP:port`.
    pub address: String,
    /// Data centre of the entry.
    pub data_centre: String,
}

/// A set of members that ended, kept so that new coordinators know the previous ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// The epoch that ended.
    pub epoch: u64,
    /// Wall time of the writer when it ended.
    pub ended: Wall,
    /// The members of that epoch.
    pub members: Vec<Member>,
}

/// The one row that all entries agree on; each change adds one to the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Number of changes.
    pub epoch: u64,
    /// The entries of the region, by name.
    pub members: Vec<Member>,
    /// Data centres out of service.
    pub data_centres_out: BTreeSet<String>,
    /// Backend servers out of service.
    pub backends_out: BTreeSet<String>,
    /// Version of the catalogue in force; 0 is the empty catalogue.
    pub catalogue: u64,
    /// Id of the change that made this epoch.
    pub change: String,
    /// Wall time of the writer of this epoch.
    pub written: Wall,
    /// Earlier sets of members within the window, oldest first.
    pub past: Vec<Past>,
    /// Latest changes by operators, oldest first, so that a lost answer can be settled.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// An operator's change that was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id that the operator gave it.
    pub id: String,
    /// The epoch that it made.
    pub epoch: u64,
}

/// Changes by operators that the row keeps.
const CHANGES: usize = 64;

impl Row {
    /// Returns the member of the name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns how many members make it impossible for the others to be a majority.
    pub fn blocking(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.majority())
    }

    /// Returns the row after `member` joined or came back with a new incarnation.
    #[must_use]
    pub fn with_member(&self, member: Member, change: &str, now: Wall, window: Duration) -> Self {
        let mut row = self.with_change(change, now);
        row.remember(self, now, window);
        row.members.retain(|other| other.name != member.name);
        row.members.push(member);
        row.members.sort_by(|a, b| a.name.cmp(&b.name));
        row
    }

    /// Returns the row without the member, `None` if that incarnation is not a member.
    pub fn without_member(
        &self,
        name: &str,
        incarnation: u64,
        change: &str,
        now: Wall,
        window: Duration,
    ) -> Option<Self> {
        let member = self.member(name)?;
        if member.incarnation != incarnation {
            return None;
        }
        let mut row = self.with_change(change, now);
        row.remember(self, now, window);
        row.members.retain(|other| other.name != name);
        Some(row)
    }

    /// Returns the row with the next epoch and nothing else changed.
    #[must_use]
    pub fn with_change(&self, change: &str, now: Wall) -> Self {
        let mut row = self.clone();
        row.epoch += 1;
        change.clone_into(&mut row.change);
        row.written = now;
        row
    }

    /// Returns the row with the next epoch for an operator's change, which the caller then makes.
    #[must_use]
    pub fn with_operator_change(&self, id: &str, now: Wall) -> Self {
        let mut row = self.with_change(id, now);
        let surplus = (row.changes.len() + 1).saturating_sub(CHANGES);
        row.changes.drain(..surplus);
        row.changes.push(Change {
            id: id.to_owned(),
            epoch: row.epoch,
        });
        row
    }

    /// Returns an operator's change that is kept.
    pub fn operator_change(&self, id: &str) -> Option<&Change> {
        self.changes.iter().find(|change| change.id == id)
    }

    fn remember(&mut self, previous: &Self, now: Wall, window: Duration) {
        self.past.push(Past {
            epoch: previous.epoch,
            ended: now,
            members: previous.members.clone(),
        });
        self.past.retain(|past| now.since(past.ended) <= window);
    }
}
