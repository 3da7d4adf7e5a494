use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Lease;
use crate::clock::Instant;

/// Current holder of a queue, as stored in the row `shards/{queue}`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Owner {
    /// Number that identifies the incarnation of the holder, 0 for none.
    pub holder: u64,
    /// Fencing token; increases with each holder and never decreases.
    pub token: u64,
    /// Increases with each renewal of the lease.
    pub renewals: u64,
}

/// Lease of one queue as one instance sees it. Makes the decisions; its caller reads and writes
/// the row.
///
/// The clocks of instances are not comparable, so a candidate measures on its own clock for how
/// long the row has not changed.
#[derive(Debug)]
pub struct Ownership {
    incarnation: u64,
    term: Duration,
    grace: Duration,
    row: Owner,
    /// Lease that counts from when the row was last seen to change.
    observed: Option<Lease>,
    /// Lease of this instance, if it was the last to write the row.
    held: Option<Lease>,
}

impl Ownership {
    /// Creates the view of one instance. `incarnation` identifies its incarnation and must not be
    /// 0. `grace` is the longest time for which a start can take effect at a receiver that cannot
    /// check the token; zero if workers check it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::jobs::{Owner, Ownership};
    ///
    /// let start = Instant::default();
    /// let mut ownership = Ownership::new(7, Duration::from_secs(4), Duration::ZERO);
    /// ownership.observe(Owner::default(), start);
    /// let row = ownership.acquire(start).unwrap();
    /// ownership.write_succeeded(row, start);
    /// assert_eq!(ownership.token(start), Some(1));
    /// assert_eq!(ownership.token(start + Duration::from_secs(4)), None);
    /// ```
    pub fn new(incarnation: u64, term: Duration, grace: Duration) -> Self {
        Self {
            incarnation,
            term,
            grace,
            row: Owner::default(),
            observed: None,
            held: None,
        }
    }

    /// Records the row as read; `now` is when the response arrived.
    pub fn observe(&mut self, row: Owner, now: Instant) {
        if self.observed.is_none() || row != self.row {
            self.row = row;
            self.observed = Some(Lease::new(now, self.term));
        }
        if row.holder != self.incarnation {
            self.held = None;
        }
    }

    /// Returns the row to write to take the queue over, on condition that the stored row is
    /// unchanged. Returns `None` unless the queue has no holder or its lease was not renewed for
    /// the term plus the grace time.
    pub fn acquire(&self, now: Instant) -> Option<Owner> {
        let observed = self.observed?;
        let is_free = self.row.holder == 0 || observed.has_lapsed(now, self.grace);
        (is_free && self.held.is_none_or(|h| !h.is_valid(now))).then_some(Owner {
            holder: self.incarnation,
            token: self.row.token + 1,
            renewals: 0,
        })
    }

    /// Returns the row to write to renew the lease, while it is valid. An instance that was paused
    /// beyond the term must acquire the queue again, with a new token.
    pub fn renew(&self, now: Instant) -> Option<Owner> {
        self.token(now).map(|token| Owner {
            holder: self.incarnation,
            token,
            renewals: self.row.renewals + 1,
        })
    }

    /// Records that the conditional write of `row`, sent at `sent`, succeeded.
    pub fn write_succeeded(&mut self, row: Owner, sent: Instant) {
        self.row = row;
        self.observed = Some(Lease::new(sent, self.term));
        self.held = (row.holder == self.incarnation).then(|| Lease::new(sent, self.term));
    }

    /// Ends the lease of this instance and returns the row to write to give the queue up. The
    /// instance must not start jobs any more.
    pub fn resign(&mut self, now: Instant) -> Option<Owner> {
        let token = self.token(now)?;
        self.held = None;
        Some(Owner {
            holder: 0,
            token,
            renewals: self.row.renewals + 1,
        })
    }

    /// Returns the fencing token for starts, while the lease is valid.
    pub fn token(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|lease| lease.is_valid(now))
            .map(|_| self.row.token)
    }
}
