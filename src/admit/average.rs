use std::time::Duration;

/// Weight of a new sample; the mean so far gets the rest.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Exponentially weighted moving average of a duration.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::admit::Average;
///
/// let mut average = Average::default();
/// average.add(Duration::from_millis(10));
/// assert_eq!(average.mean(), Duration::from_millis(10));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    mean_seconds: Option<f64>,
}

impl Average {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.mean_seconds = Some(
            self.mean_seconds
                .map_or(sample, |mean| mean + (sample - mean) * SAMPLE_WEIGHT),
        );
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.unwrap_or(0.0))
    }
}
