use std::time::Duration;

/// Weight of the newest sample.
const WEIGHT: f64 = 0.05;

/// Decayed mean of a duration.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::admit::Estimate;
///
/// let mut mean = Estimate::default();
/// mean.add(Duration::from_millis(10));
/// assert_eq!(mean.mean(), Duration::from_millis(10));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    seconds: Option<f64>,
}

impl Estimate {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = Some(
            self.seconds
                .map_or(sample, |mean| mean + (sample - mean) * WEIGHT),
        );
    }

    /// Returns the mean, zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.unwrap_or(0.0))
    }
}
