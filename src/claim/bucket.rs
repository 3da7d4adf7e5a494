use std::time::Duration;

use super::Settings;
use crate::clock::Instant;

/// Token bucket that limits the rate of transactions.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    ///
    /// ```
    /// use coriandernotch::claim::{Bucket, Settings};
    /// use coriandernotch::clock::Instant;
    ///
    /// let mut bucket = Bucket::new(&Settings::share(4.0, 1), Instant::default());
    /// assert!((0..2).all(|_| bucket.take(Instant::default()).is_zero()));
    /// assert_eq!(bucket.take(Instant::default()).as_millis(), 250);
    /// ```
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            rate: settings.rate,
            burst: settings.burst,
            tokens: settings.burst,
            updated: now,
        }
    }

    /// Takes one token and returns the time until it is available, at most a minute.
    ///
    /// The example of [`Bucket::new`] shows a wait.
    pub fn take(&mut self, now: Instant) -> Duration {
        let refill = now.since(self.updated).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.burst) - 1.0;
        self.updated = self.updated.max(now);
        Duration::from_secs_f64((-self.tokens / self.rate).clamp(0.0, 60.0))
    }
}
