use std::time::Duration;

use crate::clock::Instant;

/// Time without a refusal after which an answer ends an outage. A store that refuses a part of the
/// calls has one long outage in place of many short ones.
const QUIET: Duration = Duration::from_secs(1);

/// Time in which the store refuses calls, for a log with two lines in place of one for each call.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::clock::Instant;
/// use coriandernotch::front::callers::jobs::Outage;
///
/// let now = Instant::from_start(Duration::from_secs(5));
/// let mut outage = Outage::default();
/// assert!(outage.refused_at(now));
/// assert!(!outage.refused_at(now));
/// let over = outage.answered_at(now + Duration::from_secs(1)).unwrap();
/// assert_eq!(over.refused(), 2);
/// ```
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outage {
    first: Instant,
    last: Instant,
    refused: u64,
}

impl Outage {
    /// Counts a refusal and returns whether an outage begins with it.
    pub fn refused_at(&mut self, now: Instant) -> bool {
        let begins = self.refused == 0;
        if begins {
            self.first = now;
        }
        self.last = now;
        self.refused += 1;
        begins
    }

    /// Returns the outage that is over, now that the store has answered, if there is one.
    pub fn answered_at(&mut self, now: Instant) -> Option<Self> {
        let over = self.refused > 0 && now.since(self.last) >= QUIET;
        over.then(|| std::mem::take(self))
    }

    /// Returns the number of refused calls.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the time from the first refusal to the last.
    pub fn length(&self) -> Duration {
        self.last.since(self.first)
    }
}
