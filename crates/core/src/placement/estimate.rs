//! Run time estimates. The model is that a run time is the work of the kind multiplied by the
//! slowness of the backend server; both factors are estimated from observed run times.

/// Upper bound of the total weight. Beyond it the mean is an EWMA in which each observation weighs
/// 1/40.
const MAX_TOTAL_WEIGHT: f64 = 40.0;

/// Weight of the initial value, in observations.
const PRIOR_WEIGHT: f64 = 1.0;

/// Weight of the initial deviation 0 of one kind on one server, in observations. After as many
/// observations the estimated deviation reaches half of the observed one.
const DEVIATION_PRIOR_WEIGHT: f64 = 15.0;

/// A mean that gives less weight to older observations.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    value: f64,
    total_weight: f64,
}

impl DecayingMean {
    /// Creates a mean whose initial value counts as one observation.
    pub fn new(value: f64) -> Self {
        Self {
            value,
            total_weight: PRIOR_WEIGHT,
        }
    }

    /// Creates the mean of a deviation, which starts at 0 and moves only after several
    /// observations.
    pub fn new_deviation() -> Self {
        Self {
            value: 0.0,
            total_weight: DEVIATION_PRIOR_WEIGHT,
        }
    }

    /// Returns the present mean.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds an observation.
    pub fn observe(&mut self, observation: f64) {
        self.total_weight = (self.total_weight + 1.0).min(MAX_TOTAL_WEIGHT);
        self.value += (observation - self.value) / self.total_weight;
    }
}

/// Estimate of the work of one kind, from observations on all backend servers. The work is the run
/// time on a server of slowness 1.
#[derive(Debug, Clone, Copy)]
pub struct WorkEstimate {
    /// Mean natural logarithm of the work in milliseconds.
    pub mean_log_ms: DecayingMean,
    /// Mean work in milliseconds.
    pub mean_ms: DecayingMean,
}

impl WorkEstimate {
    /// Creates the estimate of a kind without observations from the run time declared in the
    /// catalogue.
    pub fn new(declared_ms: f64) -> Self {
        let ms = declared_ms.max(1.0);
        Self {
            mean_log_ms: DecayingMean::new(ms.ln()),
            mean_ms: DecayingMean::new(ms),
        }
    }
}
