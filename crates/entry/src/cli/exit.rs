//! Exit codes of the operator commands.

/// The change is in force, or the view was shown.
pub const IN_FORCE: i32 = 0;

/// The command line or the file is not valid; no entry was asked.
pub const INVALID: i32 = 2;

/// The entry did not accept it: nothing was changed.
pub const NOT_ACCEPTED: i32 = 3;

/// The change was written and will be in force, but not all entries have confirmed it yet.
pub const NOT_CONFIRMED: i32 = 4;

/// No answer: whether the change takes effect is not known.
pub const NO_ANSWER: i32 = 5;
