use std::time::Duration;

use super::Settings;
use crate::clock::Instant;

/// Token bucket that spreads transactions over time.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Pace {
    /// Makes a full bucket.
    ///
    /// ```
    /// use coriandernotch::claim::{Pace, Settings};
    /// use coriandernotch::clock::Instant;
    ///
    /// let mut pace = Pace::new(&Settings::share(4.0, 1), Instant::default());
    /// assert!((0..2).all(|_| pace.take(Instant::default()).is_zero()));
    /// assert_eq!(pace.take(Instant::default()).as_millis(), 250);
    /// ```
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            rate: settings.rate,
            burst: settings.burst,
            tokens: settings.burst,
            at: now,
        }
    }

    /// Takes one token and returns how long to wait until it is there.
    ///
    /// The example of [`Pace::new`] shows a wait.
    pub fn take(&mut self, now: Instant) -> Duration {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst) - 1.0;
        self.at = self.at.max(now);
        Duration::from_secs_f64((-self.tokens / self.rate).clamp(0.0, 60.0))
    }
}
