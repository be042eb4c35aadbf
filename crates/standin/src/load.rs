//! Load on the decision code of entries and agents, in virtual time within one process.
//!
//! Real [`ibisspool_core::entry::Entry`] and [`ibisspool_core::agent::Agent`] state machines
//! exchange their messages through a queue of timed events; there are no sockets and no threads,
//! so that a run is quick and gives the same figures for the same seed.

mod measure;
mod plot;
mod workload;
mod world;

pub use measure::{Figures, table};
pub use plot::draw;
pub use workload::{Arrivals, Deployment, Plan, Workload};
pub use world::run;
