//! Discrete-event simulation of entries and agents under load, to compare placement policies.
//!
//! The production state machines [`ibisspool_core::entry::Entry`] and
//! [`ibisspool_core::agent::Agent`] exchange messages through a queue of timed events in virtual
//! time. There are no sockets and no threads, so a run is quick and gives the same figures for the
//! same seed.

mod measure;
mod plot;
mod simulation;
mod workload;

pub use measure::{Figures, table};
pub use plot::draw_response_times;
pub use simulation::run;
pub use workload::{Arrivals, Deployment, PlannedJob, Workload};
