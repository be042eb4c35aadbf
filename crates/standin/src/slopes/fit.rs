//! A straight line through measured points.

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// What was measured at it.
    pub value: f64,
}

/// A line by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub error: f64,
}

impl Fit {
    /// Fits a line; with fewer than two sizes the slope is 0.
    pub fn new(samples: &[Sample]) -> Self {
        let count = samples.len().max(1) as f64;
        let mean = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|s| s.size), mean(|s| s.value));
        let spread: f64 = samples.iter().map(|s| (s.size - size).powi(2)).sum();
        let joint: f64 = samples
            .iter()
            .map(|s| (s.size - size) * (s.value - value))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = value - slope * size;
        let squares: f64 = samples
            .iter()
            .map(|s| (s.value - base - slope * s.size).powi(2))
            .sum();
        Self {
            base,
            slope,
            error: (squares / count).sqrt(),
        }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
