//! Replaceable parts of an agent's decisions.

use super::health::is_outlier;
use super::progress::{Case, Verdict, judge};
use crate::time::Monotonic;

/// The functions by which an agent judges its runs. The default is used in production; load replays
/// compare it with earlier ones.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Judges a running task.
    pub judge: fn(&Case<'_>, Monotonic) -> Verdict,
    /// Returns whether the ratio of run time to estimate of one task, given the usual one, counts
    /// only once another run supports it.
    pub is_outlier: fn(f32, f32) -> bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { judge, is_outlier }
    }
}
