//! Stand-ins for the systems around ibisspool, for development only.

pub mod backend;
pub mod caller;
pub mod load;
pub mod local;
pub mod platform;
