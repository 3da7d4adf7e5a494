use std::time::Duration;

use crate::clock::Instant;

/// Weights of a new sample in the mean and in the mean deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of mean deviations above the mean up to which an answer is not late.
const DEVIATIONS: f64 = 4.0;

/// Least time after which an answer counts as late, about ten times what a sound worker needs. If it
/// comes after all, only one more call was made.
const MIN_ALLOWANCE: Duration = Duration::from_millis(60);

/// Mean before the first answer.
const INITIAL_MEAN: Duration = Duration::from_millis(150);

/// Longest time after which an answer counts as late.
const MAX_ALLOWANCE: Duration = Duration::from_millis(700);

/// Time after a missing answer for which others are expected to be missing.
const LOSSES_LAST_FOR: Duration = Duration::from_secs(3);

/// Times that workers take to answer, from which follows when an answer is late, and whether answers
/// are missing.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::AnswerTime;
///
/// let mut times = AnswerTime::default();
/// (0..100).for_each(|_| times.record(Duration::from_millis(5)));
/// let quick = times.allowance();
/// (0..100).for_each(|_| times.record(Duration::from_millis(400)));
/// assert!(times.allowance() > quick);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    mean: Duration,
    deviation: Duration,
    last_missing: Option<Instant>,
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self {
            mean: INITIAL_MEAN,
            deviation: Duration::ZERO,
            last_missing: None,
        }
    }
}

impl AnswerTime {
    /// Records the time that an answer took.
    pub fn record(&mut self, time: Duration) {
        let blend = |old: Duration, new: Duration, weight: f64| {
            old.mul_f64(1.0 - weight) + new.mul_f64(weight)
        };
        self.deviation = blend(self.deviation, time.abs_diff(self.mean), DEVIATION_WEIGHT);
        self.mean = blend(self.mean, time, MEAN_WEIGHT);
    }

    /// Records that an answer is missing.
    pub fn record_missing(&mut self, now: Instant) {
        self.last_missing = Some(now);
    }

    /// Returns whether answers of workers that answer other calls are missing at present.
    pub fn are_missing(&self, now: Instant) -> bool {
        let last = self.last_missing;
        last.is_some_and(|at| now.since(at) < LOSSES_LAST_FOR)
    }

    /// Returns the time after which an answer is late.
    pub fn allowance(&self) -> Duration {
        let allowance = self.mean + self.deviation.mul_f64(DEVIATIONS);
        allowance.clamp(MIN_ALLOWANCE, MAX_ALLOWANCE)
    }
}
