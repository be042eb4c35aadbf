//! The control row: the one record in the table service that holds the members, the service states
//! and the catalogue version of a region.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Wall;

/// An entry process that belongs to the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name, unique in the region.
    pub name: String,
    /// Random number drawn at each start of the process, which tells a restarted process from its
    /// predecessor.
    pub incarnation: u64,
    /// Address on which agents and other entries reach this entry, `IP:port`.
    pub address: String,
    /// Data centre of the entry.
    pub data_centre: String,
}

/// An earlier set of members. New coordinators of a job use it to find the previous ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastMembers {
    /// Last epoch of this set of members.
    pub epoch: u64,
    /// Wall time of the writer of the next epoch.
    pub ended: Wall,
    /// The members of that epoch.
    pub members: Vec<Member>,
}

/// The record on which all entries agree. It is replaced by compare-and-swap, and each change
/// increments the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Number of changes so far.
    pub epoch: u64,
    /// The members of the region, sorted by name.
    pub members: Vec<Member>,
    /// Names of the data centres that operators have taken out of service.
    pub data_centres_out: BTreeSet<String>,
    /// Names of the backend servers that operators have taken out of service.
    pub backends_out: BTreeSet<String>,
    /// Version of the catalogue in force; 0 stands for the empty catalogue.
    pub catalogue: u64,
    /// Id of the change that created this epoch.
    pub change: String,
    /// Wall time at which the writer created this epoch.
    pub written: Wall,
    /// Earlier sets of members that ended within the retention window, oldest first.
    pub past: Vec<PastMembers>,
    /// Latest changes by operators, oldest first. If the answer to a write is lost, the entry finds
    /// out here whether the change was made.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// A change by an operator that has been written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id that the operator gave the change.
    pub id: String,
    /// Epoch that the change created.
    pub epoch: u64,
}

/// Number of operator changes kept in the row; older ones are dropped.
const MAX_KEPT_CHANGES: usize = 64;

impl Row {
    /// Returns the member with the name, `None` if there is none.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Returns the number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of members without which the others are no majority.
    pub fn blocking_size(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.majority())
    }

    /// Returns the row of the next epoch, in which `member` has joined or replaced its earlier
    /// incarnation. Sets of members that ended longer than `window` ago are dropped.
    #[must_use]
    pub fn with_member(&self, member: Member, change: &str, now: Wall, window: Duration) -> Self {
        let mut row = self.with_change(change, now);
        row.append_to_past(self, now, window);
        row.members.retain(|other| other.name != member.name);
        row.members.push(member);
        row.members.sort_by(|a, b| a.name.cmp(&b.name));
        row
    }

    /// Returns the row of the next epoch without the member, `None` if that incarnation is not a
    /// member.
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
        row.append_to_past(self, now, window);
        row.members.retain(|other| other.name != name);
        Some(row)
    }

    /// Returns the row with the epoch incremented and all other content unchanged.
    #[must_use]
    pub fn with_change(&self, change: &str, now: Wall) -> Self {
        let mut row = self.clone();
        row.epoch += 1;
        change.clone_into(&mut row.change);
        row.written = now;
        row
    }

    /// Returns the row with the epoch incremented and the operator change `id` recorded. The caller
    /// then applies the change itself.
    #[must_use]
    pub fn with_operator_change(&self, id: &str, now: Wall) -> Self {
        let mut row = self.with_change(id, now);
        let surplus = (row.changes.len() + 1).saturating_sub(MAX_KEPT_CHANGES);
        row.changes.drain(..surplus);
        row.changes.push(Change {
            id: id.to_owned(),
            epoch: row.epoch,
        });
        row
    }

    /// Returns the operator change with the id if it is among the kept ones.
    pub fn operator_change(&self, id: &str) -> Option<&Change> {
        self.changes.iter().find(|change| change.id == id)
    }

    /// Appends the members of `previous` to the past and drops sets that ended before the window.
    fn append_to_past(&mut self, previous: &Self, now: Wall, window: Duration) {
        self.past.push(PastMembers {
            epoch: previous.epoch,
            ended: now,
            members: previous.members.clone(),
        });
        self.past.retain(|past| now.since(past.ended) <= window);
    }
}
