use super::admit;
use super::shared::Shared;
use crate::job_store::Acceptance;

/// A write that stores a job. Until its outcome is known, and for good if its caller gives up
/// before, the job may be stored.
pub(super) struct Write<'a> {
    shared: &'a Shared,
    id: &'a str,
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
        if self.outcome == Some(Acceptance::Unknown) {
            admit::record_unknown_outcome(self.shared);
        }
    }
}
