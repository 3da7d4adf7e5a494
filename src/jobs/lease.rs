use std::time::Duration;

use crate::clock::Instant;

/// A lease of fixed length, seen by its holder or by its grantor on their own clocks.
///
/// The holder counts from when it sent the request and the grantor from when it replied, so the
/// holder always stops first, also after a pause.
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
    /// Makes a lease of length `term` from `since`.
    pub fn new(since: Instant, term: Duration) -> Self {
        Self { since, term }
    }

    /// Returns whether its holder may still act on it.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.since + self.term
    }

    /// Returns whether its grantor may give the thing to another, `grace` after the term: the
    /// longest time that an effect started in the term can last.
    pub fn has_lapsed(&self, now: Instant, grace: Duration) -> bool {
        now >= self.since + self.term + grace
    }

    /// Extends the lease by a renewal sent or granted at `since`; an older renewal changes nothing.
    pub fn renew(&mut self, since: Instant) {
        self.since = self.since.max(since);
    }
}
