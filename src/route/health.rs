use std::time::Duration;

use super::Verdict;
use crate::clock::Instant;

/// Weight of the newest outcome in the failure rate, a moving average dominated by the last eight
/// outcomes.
const FAILURE_RATE_WEIGHT: f32 = 0.125;

/// Outcomes needed before the failure rate counts.
const MIN_OUTCOMES: u32 = 5;

/// A target is ejected when its failure rate exceeds that of its pool by more than this. A failure
/// rate that the whole pool shares is caused by the calls, not by the target.
const FAILURE_RATE_MARGIN: f32 = 0.3;

/// Number of consecutive connection failures that ejects a target.
const CONNECT_FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time after the end of an ejection after which the next one starts again at the shortest
/// duration.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(120);

/// Health of one target as seen by one entry instance.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::route::{Health, Verdict};
///
/// let now = Instant::default();
/// let mut health = Health::default();
/// for _ in 0..8 {
///     health.record(Verdict::Failed);
/// }
/// assert!(health.is_outlier(0.0));
/// assert!(!health.is_outlier(0.9));
/// health.eject(now);
/// assert!(health.is_ejected(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f32,
    outcomes: u32,
    connect_failures: u32,
    repeated_ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records the verdict on one call.
    pub fn record(&mut self, verdict: Verdict) {
        let failure = match verdict {
            Verdict::Answered => 0.0,
            Verdict::Failed | Verdict::Hung | Verdict::Unreachable => 1.0,
            Verdict::Leaving | Verdict::Neutral => return,
        };
        self.connect_failures = match verdict {
            Verdict::Unreachable => self.connect_failures + 1,
            _ => 0,
        };
        self.failure_rate += (failure - self.failure_rate) * FAILURE_RATE_WEIGHT;
        self.outcomes = self.outcomes.saturating_add(1);
    }

    /// Returns the failure rate, an exponentially weighted moving average between 0 and 1.
    pub fn rate(&self) -> f32 {
        self.failure_rate
    }

    /// Returns whether the target should be ejected: it is unreachable, or fails much more often
    /// than the rest of its pool, whose failure rate is `pool_failure_rate`.
    pub fn is_outlier(&self, pool_failure_rate: f32) -> bool {
        self.is_unreachable()
            || (self.outcomes >= MIN_OUTCOMES
                && self.failure_rate > pool_failure_rate + FAILURE_RATE_MARGIN)
    }

    /// Returns whether the last connection attempts all failed.
    pub fn is_unreachable(&self) -> bool {
        self.connect_failures >= CONNECT_FAILURES_TO_EJECT
    }

    /// Ejects the target at `now` and returns the duration of the ejection.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let recent = self
            .ejected_until
            .is_some_and(|t| now.since(t) < EJECTION_RESET_AFTER);
        self.repeated_ejections = if recent {
            self.repeated_ejections + 1
        } else {
            0
        };
        let duration = FIRST_EJECTION
            .saturating_mul(1 << self.repeated_ejections.min(5))
            .min(MAX_EJECTION);
        self.ejected_until = Some(now + duration);
        self.failure_rate = 0.0;
        self.outcomes = 0;
        self.connect_failures = 0;
        duration
    }

    /// Returns the end of the last ejection, past or future.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
