use std::sync::Mutex;

use super::orphans::Orphans;
use super::{ClaimRequest, Ticket, Timestamp, Verdict};

/// Attempt to claim a request.
///
/// When it is dropped without success while one of its writes may still take effect, the claim is
/// recorded as an orphan, to be released later.
pub(super) struct Attempt<'a> {
    orphans: &'a Mutex<Orphans>,
    request: &'a ClaimRequest,
    operation: u64,
    now: Timestamp,
    in_flight: bool,
    may_take_effect: bool,
}

impl<'a> Attempt<'a> {
    pub(super) fn new(
        orphans: &'a Mutex<Orphans>,
        request: &'a ClaimRequest,
        operation: u64,
        now: Timestamp,
    ) -> Self {
        Self {
            orphans,
            request,
            operation,
            now,
            in_flight: false,
            may_take_effect: false,
        }
    }

    /// Records that a write is being sent.
    pub(super) fn mark_sent(&mut self) {
        self.in_flight = true;
    }

    /// Records that the write had no effect.
    pub(super) fn mark_no_effect(&mut self) {
        self.in_flight = false;
    }

    /// Records that the answer to the write was lost, so that it may still take effect.
    pub(super) fn mark_unknown(&mut self) {
        self.in_flight = false;
        self.may_take_effect = true;
    }

    /// Ends the attempt with the claim stored in the row at `version`.
    pub(super) fn succeed(mut self, version: u64) -> Verdict {
        self.in_flight = false;
        self.may_take_effect = false;
        Verdict::First(Ticket {
            row_key: self.request.row_key.clone(),
            version,
            operation: self.operation,
            digest: self.request.digest,
        })
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.in_flight || self.may_take_effect {
            let mut orphans = self.orphans.lock().expect("orphans lock");
            orphans.add(self.operation, self.request.row_key.clone(), self.now);
        }
    }
}
