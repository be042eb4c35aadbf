//! Learnt run times: the work of a kind times the slowness of a backend server.

/// Observations after which the newest weighs no less.
const MEMORY: f64 = 40.0;

/// Observations that a starting value counts for.
const PRIOR: f64 = 1.0;

/// Observations before the deviation of one kind on one server counts half.
const DEVIATION_PRIOR: f64 = 15.0;

/// A mean in which old observations fade.
#[derive(Debug, Clone, Copy)]
pub struct Mean {
    value: f64,
    weight: f64,
}

impl Mean {
    /// Makes a mean with a starting value that counts for one observation.
    pub fn new(value: f64) -> Self {
        Self {
            value,
            weight: PRIOR,
        }
    }

    /// Makes the mean of a deviation, which is trusted only after a number of observations.
    pub fn deviation() -> Self {
        Self {
            value: 0.0,
            weight: DEVIATION_PRIOR,
        }
    }

    /// Returns the mean.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds an observation.
    pub fn learn(&mut self, observation: f64) {
        self.weight = (self.weight + 1.0).min(MEMORY);
        self.value += (observation - self.value) / self.weight;
    }
}

/// What is learnt of one kind over all backend servers.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Mean of the logarithm of the work in milliseconds.
    pub log_ms: Mean,
    /// Mean work in milliseconds.
    pub ms: Mean,
}

impl Work {
    /// Makes the work of a kind that ran nowhere yet.
    pub fn new(declared_ms: f64) -> Self {
        let ms = declared_ms.max(1.0);
        Self {
            log_ms: Mean::new(ms.ln()),
            ms: Mean::new(ms),
        }
    }
}
