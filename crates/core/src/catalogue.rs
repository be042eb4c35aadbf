//! The catalogue: owners with their quotas, and kinds of task with their limits.

mod change;
mod check;
mod file;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

pub use check::{Limits, Problem, is_name};
pub use file::{Fault, File};

/// All entries of the catalogue.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Teams with their quotas.
    #[serde(default, rename = "owner")]
    pub owners: Vec<Owner>,
    /// Kinds of task.
    #[serde(default, rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// A team that submits work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name, unique in the catalogue.
    pub name: String,
    /// Share of the backend servers under contention, relative to the other owners.
    #[serde(default = "one")]
    pub weight: u32,
    /// Tasks that run at the same time over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Task starts a second over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<u32>,
}

/// How soon tasks must start.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Before all normal tasks, but for a share that keeps those from starving.
    Urgent,
    /// After urgent tasks.
    #[default]
    Normal,
}

/// A kind of task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique in the catalogue.
    pub name: String,
    /// Name of the owner.
    pub owner: String,
    /// Class of its tasks.
    #[serde(default)]
    pub class: Class,
    /// Tasks that run at the same time over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Task starts a second over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<u32>,
    /// Most tasks in one job; the setting of the entry if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tasks: Option<u32>,
    /// Most bytes in one input; the setting of the entry if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_input_bytes: Option<u32>,
    /// Longest timeout in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Expected run time of a task in milliseconds, used until run times are learnt.
    #[serde(default = "default_run_ms")]
    pub expected_run_ms: u64,
}

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_RUN_MS: u64 = 200;

fn one() -> u32 {
    1
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_run_ms() -> u64 {
    DEFAULT_RUN_MS
}

impl Catalogue {
    /// Returns the kind of the name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the owner of the name.
    pub fn owner(&self, name: &str) -> Option<&Owner> {
        self.owners.iter().find(|owner| owner.name == name)
    }
}
