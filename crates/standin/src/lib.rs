//! Stand-ins for the systems around ibisspool, for development only.

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
