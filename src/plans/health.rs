use std::time::Duration;

use crate::clock::Instant;

/// Share of failed calls, in thousandths, above which a plan stops.
const STOP_PER_MILLE: u64 = 50;

/// Share of failed calls, in thousandths, above which a stopped plan does not resume.
const RESUME_PER_MILLE: u64 = 20;

/// Time for which the share must stay at or below the resume threshold before a plan resumes.
pub const RECOVERY_TIME: Duration = Duration::from_secs(300);

/// Fewest calls in one observation from which a share is computed.
const MIN_CALLS: u64 = 20;

/// Whether enough calls to a pool succeed, with hysteresis so that a plan does not flap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When the share was last too high; `None` while the plan may run.
    last_failing: Option<Instant>,
}

impl Health {
    /// Records the calls since the previous observation and how many of them failed.
    ///
    /// ```
    /// use coriandernotch::{clock::Instant, plans::Health};
    ///
    /// let mut health = Health::default();
    /// health.observe(Instant::default(), 100, 10);
    /// assert!(!health.is_good());
    /// ```
    pub fn observe(&mut self, now: Instant, calls: u64, failed: u64) {
        let exceeds = |per_mille: u64| calls >= MIN_CALLS && failed * 1000 > calls * per_mille;
        match self.last_failing {
            None if exceeds(STOP_PER_MILLE) => self.last_failing = Some(now),
            Some(_) if exceeds(RESUME_PER_MILLE) => self.last_failing = Some(now),
            Some(at) if now.since(at) >= RECOVERY_TIME => self.last_failing = None,
            _ => {}
        }
    }

    /// Tells whether a plan may run.
    ///
    /// See [`Health::observe`] for an example.
    pub fn is_good(&self) -> bool {
        self.last_failing.is_none()
    }
}
