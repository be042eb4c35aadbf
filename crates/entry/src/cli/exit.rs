//! Exit codes of the operator commands.

/// The change is in force, a dry run succeeded, or the requested view was printed.
pub const SUCCESS: i32 = 0;

/// The command line or the file is not valid. No entry was called.
pub const INVALID: i32 = 2;

/// The entry refused the request. Nothing was changed.
pub const NOT_ACCEPTED: i32 = 3;

/// The change was written and will come into force, but not all entries have confirmed it yet.
pub const NOT_CONFIRMED: i32 = 4;

/// No entry answered, or the answer cannot be read. Whether the change takes effect is unknown.
pub const NO_ANSWER: i32 = 5;
