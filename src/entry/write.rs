use super::acceptance::Acceptance;
use super::admit;
use super::shared::Shared;

/// A write that stores a job. Until its outcome is known, and for good if its caller gives up
/// before, the job may be stored.
pub(super) struct Write<'a> {
    shared: &'a Shared,
    id: &'a str,
    ended: bool,
}

impl<'a> Write<'a> {
    pub(super) fn begin(shared: &'a Shared, id: &'a str) -> Self {
        let mut attempts = shared.attempts.lock().expect("attempts lock");
        attempts.record_write(id);
        drop(attempts);
        Self {
            shared,
            id,
            ended: false,
        }
    }

    /// Records the outcome.
    pub(super) fn end(mut self, outcome: Acceptance) {
        match outcome {
            Acceptance::Stored | Acceptance::Cancelled => {}
            Acceptance::Refused => {
                let mut attempts = self.shared.attempts.lock().expect("attempts lock");
                attempts.record_not_stored(self.id);
            }
            Acceptance::Unknown => admit::record_doubt(self.shared),
        }
        self.ended = true;
    }
}

impl Drop for Write<'_> {
    fn drop(&mut self) {
        if !self.ended {
            admit::record_doubt(self.shared);
        }
    }
}
