use std::time::Duration;

use super::Verdict;
use crate::clock::Instant;

/// Weight of the newest outcome in the failure rate; eight outcomes make up most of it.
const RATE_WEIGHT: f32 = 0.125;

/// Outcomes before the failure rate says anything.
const MIN_OUTCOMES: u32 = 5;

/// A target is ejected when its failure rate exceeds that of its pool by this much. A rate that
/// the whole pool shares comes from the calls, not from the target.
const RATE_MARGIN: f32 = 0.3;

/// Connection failures in a row that eject a target.
const MAX_UNREACHABLE: u32 = 2;

/// First ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time without ejection after which the next one is short again.
const FORGET_AFTER: Duration = Duration::from_secs(120);

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
/// assert!(health.is_suspect(0.0));
/// assert!(!health.is_suspect(0.9));
/// health.eject(now);
/// assert!(health.is_ejected(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    rate: f32,
    outcomes: u32,
    unreachable: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Takes account of one ended call.
    pub fn record(&mut self, verdict: Verdict) {
        let failed = match verdict {
            Verdict::Answered => 0.0,
            Verdict::Failed | Verdict::Hung | Verdict::Unreachable => 1.0,
            Verdict::Leaving | Verdict::Neutral => return,
        };
        self.unreachable = match verdict {
            Verdict::Unreachable => self.unreachable + 1,
            _ => 0,
        };
        self.rate += (failed - self.rate) * RATE_WEIGHT;
        self.outcomes = self.outcomes.saturating_add(1);
    }

    /// Returns the decayed share of failed calls, 0 to 1.
    pub fn rate(&self) -> f32 {
        self.rate
    }

    /// Returns whether the target should be ejected from a pool with the failure rate `pool_rate`.
    pub fn is_suspect(&self, pool_rate: f32) -> bool {
        self.is_unreachable()
            || (self.outcomes >= MIN_OUTCOMES && self.rate > pool_rate + RATE_MARGIN)
    }

    /// Returns whether the last connections could not be made.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable >= MAX_UNREACHABLE
    }

    /// Ejects the target at `now` and returns for how long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let recent = self
            .ejected_until
            .is_some_and(|t| now.since(t) < FORGET_AFTER);
        self.ejections = if recent { self.ejections + 1 } else { 0 };
        let length = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(5))
            .min(MAX_EJECTION);
        self.ejected_until = Some(now + length);
        self.rate = 0.0;
        self.outcomes = 0;
        self.unreachable = 0;
        length
    }

    /// Returns the end of the last ejection.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
