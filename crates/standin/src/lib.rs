//! Development tools, never linked into the two binaries.
//!
//! - Replacements for the systems around ibisspool: [`platform`], [`backend`], [`executor`], and
//!   the clients [`caller`] and [`operator`].
//! - Running systems: [`local`] in one process, [`children`] as separate processes.
//! - Experiments, each run by the example of its name: [`changes`], [`data_centre`], [`faults`],
//!   [`load`] and [`slopes`], with [`steady`] load and the [`history`] check.

pub mod backend;
pub mod caller;
pub mod changes;
pub mod children;
pub mod data_centre;
pub mod executor;
pub mod faults;
pub mod history;
pub mod load;
pub mod local;
pub mod operator;
pub mod platform;
pub mod slopes;
pub mod steady;
