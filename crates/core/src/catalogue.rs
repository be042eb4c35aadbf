//! The catalogue: operator-maintained configuration of owners with their quotas and of kinds of
//! task with their limits.

mod change;
mod check;
mod file;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

pub use check::{InvalidValue, Limits, is_valid_name};
pub use file::{Fault, File};

/// Complete content of the catalogue.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Teams that submit work, with their quotas.
    #[serde(default, rename = "owner")]
    pub owners: Vec<Owner>,
    /// Kinds of task with their limits.
    #[serde(default, rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// A team that submits work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name, unique in the catalogue.
    pub name: String,
    /// Relative share of the backend servers that the owner gets while tasks of several owners
    /// wait.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of tasks that run concurrently, over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Maximum number of task starts per second, over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<u32>,
}

/// Priority class of tasks.
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
    /// Served before normal tasks, except for a small share that keeps normal tasks from starving.
    Urgent,
    /// Served after urgent tasks.
    #[default]
    Normal,
}

/// A kind of task, which backend servers register to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique in the catalogue.
    pub name: String,
    /// Name of the owner, who must be in the catalogue.
    pub owner: String,
    /// Priority class of the tasks.
    #[serde(default)]
    pub class: Class,
    /// Maximum number of tasks that run concurrently, over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Maximum number of task starts per second, over all entries; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<u32>,
    /// Maximum number of tasks in a job; the setting of the entry if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tasks: Option<u32>,
    /// Maximum bytes of one input; the setting of the entry if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_input_bytes: Option<u32>,
    /// Longest timeout that callers may ask for, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Expected run time of a task in milliseconds, used until tasks of the kind have run.
    #[serde(default = "default_run_ms")]
    pub expected_run_ms: u64,
}

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_RUN_MS: u64 = 200;

fn default_weight() -> u32 {
    1
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_run_ms() -> u64 {
    DEFAULT_RUN_MS
}

impl Catalogue {
    /// Returns the kind with the name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the owner with the name.
    pub fn owner(&self, name: &str) -> Option<&Owner> {
        self.owners.iter().find(|owner| owner.name == name)
    }
}
