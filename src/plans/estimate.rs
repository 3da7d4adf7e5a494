use std::time::Duration;

/// Estimate of the time that maintenance of one instance takes, learned from completed ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    mean_seconds: f64,
    deviation_seconds: f64,
}

impl Default for Estimate {
    /// Ten minutes, used until the first instance completes.
    fn default() -> Self {
        Self {
            mean_seconds: 600.0,
            deviation_seconds: 150.0,
        }
    }
}

impl Estimate {
    /// Adds the time that one instance took.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::plans::Estimate;
    ///
    /// let mut estimate = Estimate::default();
    /// (0..50).for_each(|_| estimate.observe(Duration::from_secs(60)));
    /// assert!(estimate.mean() < Duration::from_secs(90));
    /// assert!(estimate.high() >= estimate.mean());
    /// ```
    pub fn observe(&mut self, took: Duration) {
        // Same weights as the round-trip time estimator of RFC 6298.
        let took = took.as_secs_f64();
        self.deviation_seconds += ((took - self.mean_seconds).abs() - self.deviation_seconds) / 4.0;
        self.mean_seconds += (took - self.mean_seconds) / 8.0;
    }

    /// Returns the mean time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds)
    }

    /// Returns the mean plus two deviations, a time that few instances exceed.
    pub fn high(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds + 2.0 * self.deviation_seconds)
    }
}
