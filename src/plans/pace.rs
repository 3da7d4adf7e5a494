use std::time::Duration;

/// Time that maintenance of one instance takes, learned from those that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    mean: f64,
    deviation: f64,
}

impl Default for Pace {
    /// Ten minutes, until the first instance shows what it takes.
    fn default() -> Self {
        Self {
            mean: 600.0,
            deviation: 150.0,
        }
    }
}

impl Pace {
    /// Takes one instance into account.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::plans::Pace;
    ///
    /// let mut pace = Pace::default();
    /// (0..50).for_each(|_| pace.observe(Duration::from_secs(60)));
    /// assert!(pace.mean() < Duration::from_secs(90));
    /// assert!(pace.most() >= pace.mean());
    /// ```
    pub fn observe(&mut self, took: Duration) {
        // The weights are those of the round-trip estimate of RFC 6298.
        let took = took.as_secs_f64();
        self.deviation += ((took - self.mean).abs() - self.deviation) / 4.0;
        self.mean += (took - self.mean) / 8.0;
    }

    /// Returns the expected time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a time that few exceed.
    pub fn most(&self) -> Duration {
        Duration::from_secs_f64(self.mean + 2.0 * self.deviation)
    }
}
