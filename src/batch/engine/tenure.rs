use std::time::Duration;

use super::Engine;
use crate::clock::Instant;

/// Time after the last renewal for which a leader is certainly the only one. Another instance may
/// lead 1.8 s after that renewal.
const SOLE_LEADER_FOR: Duration = Duration::from_millis(1_200);

impl Engine {
    /// Returns the latest time up to `now` until which this leader was certainly the only one.
    ///
    /// Later events do not show that a run has ended for good: a newer leader may have renewed the
    /// lease of its worker, or read its end.
    pub(super) fn sole_leader_until(&self, now: Instant) -> Instant {
        self.renewed_at
            .map_or(now, |renewed_at| now.min(renewed_at + SOLE_LEADER_FOR))
    }

    /// Returns whether no other instance can have led at a time.
    pub(super) fn was_sole_leader(&self, at: Instant) -> bool {
        self.sole_leader_until(at) == at
    }
}
