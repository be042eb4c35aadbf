//! Linear regression by ordinary least squares.

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Size at which the value was measured.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// The line that fits samples best by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Root mean square of the vertical distances of the samples from the line.
    pub rms_error: f64,
}

impl Fit {
    /// Fits a line to the samples; with fewer than two different sizes the slope is 0.
    pub fn new(samples: &[Sample]) -> Self {
        let count = samples.len().max(1) as f64;
        let mean = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|sample| sample.size), mean(|sample| sample.value));
        let square_deviation: f64 = samples
            .iter()
            .map(|sample| (sample.size - mean_size).powi(2))
            .sum();
        let co_deviation: f64 = samples
            .iter()
            .map(|sample| (sample.size - mean_size) * (sample.value - mean_value))
            .sum();
        let slope = if square_deviation > 0.0 {
            co_deviation / square_deviation
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let square_error: f64 = samples
            .iter()
            .map(|sample| (sample.value - intercept - slope * sample.size).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            rms_error: (square_error / count).sqrt(),
        }
    }

    /// Returns the value of the line at `size`.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
