use std::time::Duration;

use crate::clock::Instant;

/// A lease of fixed length as its holder or its grantor sees it, each on its own clock.
///
/// The holder counts from when it sent the request and the grantor from when it replied. So the
/// lease always ends first for the holder, even if the holder was paused.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::clock::Instant;
/// use coriandernotch::jobs::Lease;
///
/// let at = |s| Instant::from_start(Duration::from_secs(s));
/// let term = Duration::from_secs(10);
/// let (holder, grantor) = (Lease::new(at(0), term), Lease::new(at(1), term));
/// assert!(!holder.is_valid(at(10)) && !grantor.has_lapsed(at(10), Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    since: Instant,
    term: Duration,
}

impl Lease {
    /// Creates a lease of length `term` that starts at `since`.
    pub fn new(since: Instant, term: Duration) -> Self {
        Self { since, term }
    }

    /// Returns whether the holder may still act under the lease.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.since + self.term
    }

    /// Returns whether the grantor may grant a lease to another holder: `grace` after the term,
    /// the longest time for which an effect that began during the term can last.
    pub fn has_lapsed(&self, now: Instant, grace: Duration) -> bool {
        now >= self.since + self.term + grace
    }

    /// Restarts the term at `since`, when a renewal was sent or granted. A renewal older than the
    /// latest one changes nothing.
    pub fn renew(&mut self, since: Instant) {
        self.since = self.since.max(since);
    }
}
