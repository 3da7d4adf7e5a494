use std::time::Duration;

use super::admit;
use super::shared::Shared;
use crate::clock::{self, Instant};
use crate::job_store::Acceptance;

/// Time from which a write shows that the store is slow.
const SLOW: Duration = Duration::from_millis(500);

/// A write that stores a job. Until its outcome is known, and for good if its caller gives up
/// before, the job may be stored.
pub(super) struct Write<'a> {
    shared: &'a Shared,
    id: &'a str,
    begun: Instant,
    outcome: Option<Acceptance>,
}

impl<'a> Write<'a> {
    pub(super) fn begin(shared: &'a Shared, id: &'a str) -> Self {
        let mut attempts = shared.attempts.lock().expect("attempts lock");
        attempts.record_write(id);
        drop(attempts);
        Self {
            shared,
            id,
            begun: clock::now(),
            outcome: None,
        }
    }

    /// Records the outcome.
    pub(super) fn end(mut self, outcome: Acceptance) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Write<'_> {
    fn drop(&mut self) {
        if self.outcome == Some(Acceptance::Refused) {
            let mut attempts = self.shared.attempts.lock().expect("attempts lock");
            attempts.record_not_stored(self.id);
        }
        // A caller that disconnects at once says nothing about the store.
        let is_slow = clock::now().since(self.begun) >= SLOW;
        if is_slow || self.outcome == Some(Acceptance::Unknown) {
            admit::record_doubt(self.shared);
        }
    }
}
