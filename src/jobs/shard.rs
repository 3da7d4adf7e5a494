use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Lease;
use crate::clock::Instant;

/// Row `shards/{queue}`: who holds a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tenure {
    /// Incarnation of the holder, 0 for none.
    pub holder: u64,
    /// Increases with each holder and never returns to an older value.
    pub token: u64,
    /// Increases with each renewal.
    pub renewals: u64,
}

/// Lease of one queue as one instance sees it. It decides; its caller reads and writes the row.
///
/// Clocks of instances are not comparable, so a candidate measures on its own clock how long the
/// row has not changed.
#[derive(Debug)]
pub struct Shard {
    me: u64,
    term: Duration,
    grace: Duration,
    row: Tenure,
    seen: Option<Lease>,
    held: Option<Lease>,
}

impl Shard {
    /// Makes the view of instance `me` (not 0). `grace` is the longest effect of a start that its
    /// receiver cannot check against the token; zero where the worker checks it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::jobs::{Shard, Tenure};
    ///
    /// let start = Instant::default();
    /// let mut shard = Shard::new(7, Duration::from_secs(4), Duration::ZERO);
    /// shard.observe(Tenure::default(), start);
    /// let wish = shard.acquire(start).unwrap();
    /// shard.written(wish, start);
    /// assert_eq!(shard.token(start), Some(1));
    /// assert_eq!(shard.token(start + Duration::from_secs(4)), None);
    /// ```
    pub fn new(me: u64, term: Duration, grace: Duration) -> Self {
        Self {
            me,
            term,
            grace,
            row: Tenure::default(),
            seen: None,
            held: None,
        }
    }

    /// Takes note of the row as read; `now` is when the response arrived.
    pub fn observe(&mut self, row: Tenure, now: Instant) {
        if self.seen.is_none() || row != self.row {
            self.row = row;
            self.seen = Some(Lease::new(now, self.term));
        }
        if row.holder != self.me {
            self.held = None;
        }
    }

    /// Returns the row to write, on condition that it is unchanged, to take the queue over: it has
    /// no holder, or was not renewed for the term and the longest effect.
    pub fn acquire(&self, now: Instant) -> Option<Tenure> {
        let seen = self.seen?;
        let free = self.row.holder == 0 || seen.has_lapsed(now, self.grace);
        (free && self.held.is_none_or(|h| !h.is_valid(now))).then_some(Tenure {
            holder: self.me,
            token: self.row.token + 1,
            renewals: 0,
        })
    }

    /// Returns the row to write to renew, while the lease is valid. An instance that was paused
    /// beyond its term must acquire again with a new token.
    pub fn renew(&self, now: Instant) -> Option<Tenure> {
        self.token(now).map(|token| Tenure {
            holder: self.me,
            token,
            renewals: self.row.renewals + 1,
        })
    }

    /// Takes note that the conditional write of `row`, sent at `sent`, took effect.
    pub fn written(&mut self, row: Tenure, sent: Instant) {
        self.row = row;
        self.seen = Some(Lease::new(sent, self.term));
        self.held = (row.holder == self.me).then(|| Lease::new(sent, self.term));
    }

    /// Returns the row to write to give the queue up on shutdown; the holder starts nothing after.
    pub fn resign(&mut self, now: Instant) -> Option<Tenure> {
        let token = self.token(now)?;
        self.held = None;
        Some(Tenure {
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
