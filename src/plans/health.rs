use std::time::Duration;

use crate::clock::Instant;

/// Share of failing calls above which a plan stops, in thousandths.
const STOP: u64 = 50;

/// Share of failing calls below which a plan may go on, in thousandths.
const GO_ON: u64 = 20;

/// Time for which calls must succeed before a stopped plan goes on.
pub const RECOVERY: Duration = Duration::from_secs(300);

/// Calls below which the share says nothing.
const ENOUGH: u64 = 20;

/// Whether the calls to a pool succeed, with hysteresis so that a plan does not flap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When failures were last seen, while the plan is stopped.
    bad: Option<Instant>,
}

impl Health {
    /// Takes the calls since the last time into account.
    ///
    /// ```
    /// use coriandernotch::{clock::Instant, plans::Health};
    ///
    /// let mut health = Health::default();
    /// health.observe(Instant::default(), 100, 10);
    /// assert!(!health.is_good());
    /// ```
    pub fn observe(&mut self, now: Instant, calls: u64, failed: u64) {
        let over = |share: u64| calls >= ENOUGH && failed * 1000 > calls * share;
        match self.bad {
            None if over(STOP) => self.bad = Some(now),
            Some(_) if over(GO_ON) => self.bad = Some(now),
            Some(bad) if now.since(bad) >= RECOVERY => self.bad = None,
            _ => {}
        }
    }

    /// Tells whether a plan may go on.
    ///
    /// See [`Health::observe`] for an example.
    pub fn is_good(&self) -> bool {
        self.bad.is_none()
    }
}
