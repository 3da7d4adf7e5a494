use std::time::Duration;

use crate::clock::Instant;

/// Weight of a new sample in the mean delay.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean delay of a timer from which an instance cannot keep up with its work: starts would wait
/// longer than a change of the leader takes.
const MAX_MEAN_DELAY: Duration = Duration::from_millis(300);

/// Time for which the mean delay must be that long. A burst of jobs delays timers for a shorter
/// time.
const BEHIND_AFTER: Duration = Duration::from_secs(2);

/// How late the timers of an instance fire: the time that its other tasks, rounds of scheduling
/// among them, and other processes keep the processor from it.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::{batch::Lag, clock::Instant};
///
/// let mut lag = Lag::default();
/// let at = |ms| Instant::from_start(Duration::from_millis(ms));
/// (0..50).for_each(|n| lag.record(Duration::from_millis(900), at(n * 100)));
/// assert!(lag.is_behind(at(5_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    mean: Duration,
    exceeded_since: Option<Instant>,
}

impl Lag {
    /// Records that a timer that was due at `now - delay` fired at `now`.
    pub fn record(&mut self, delay: Duration, now: Instant) {
        self.mean = self.mean.mul_f64(1.0 - SAMPLE_WEIGHT) + delay.mul_f64(SAMPLE_WEIGHT);
        if self.mean <= MAX_MEAN_DELAY {
            self.exceeded_since = None;
        } else {
            self.exceeded_since.get_or_insert(now);
        }
    }

    /// Returns the mean delay of the latest timers.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns whether the instance cannot keep up with its work.
    pub fn is_behind(&self, now: Instant) -> bool {
        let since = self.exceeded_since;
        since.is_some_and(|since| now.since(since) >= BEHIND_AFTER)
    }
}
