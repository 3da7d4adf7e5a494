use std::collections::VecDeque;
use std::time::Duration;

use super::SubmissionKey;
use crate::clock::Instant;

/// Delay before a transaction is sent again that was refused, doubled with each refusal, and its
/// maximum. A partition refuses while it has more than 1 s of transactions to carry out.
const MIN_DELAY: Duration = Duration::from_millis(60);
const MAX_DELAY: Duration = Duration::from_millis(480);

/// Delay before a transaction is sent again whose outcome is unknown.
const UNCERTAIN_DELAY: Duration = Duration::from_millis(100);

/// Submissions for one partition, which get one transaction at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct PartitionQueue {
    /// Submissions that no transaction can have stored.
    pub(super) fresh: VecDeque<SubmissionKey>,
    /// Submissions that an earlier transaction may have stored or may yet.
    pub(super) uncertain: VecDeque<SubmissionKey>,
    /// Whether a transaction is in flight.
    pub(super) is_busy: bool,
    /// Whether each transaction stores one job, because the store rejected several together.
    pub(super) is_single: bool,
    fresh_at: Option<Instant>,
    uncertain_at: Option<Instant>,
    refusals: u32,
    /// Whether the last transaction was one of uncertain submissions.
    was_uncertain: bool,
}

impl PartitionQueue {
    pub(super) fn is_empty(&self) -> bool {
        !self.is_busy && self.fresh.is_empty() && self.uncertain.is_empty()
    }

    /// Returns whether uncertain submissions are sent next, or `None` if none may be sent now.
    pub(super) fn next_kind(&self, now: Instant) -> Option<bool> {
        let is_due = |at: Option<Instant>| at.is_none_or(|at| at <= now);
        let fresh = !self.fresh.is_empty() && is_due(self.fresh_at);
        let uncertain = !self.uncertain.is_empty() && is_due(self.uncertain_at);
        match (fresh, uncertain) {
            _ if self.is_busy => None,
            (false, false) => None,
            (true, true) => Some(!self.was_uncertain),
            (_, uncertain) => Some(uncertain),
        }
    }

    /// Returns when submissions may be sent that may not now.
    pub(super) fn next_time(&self) -> Option<Instant> {
        let fresh = self.fresh_at.filter(|_| !self.fresh.is_empty());
        let uncertain = self.uncertain_at.filter(|_| !self.uncertain.is_empty());
        let times = fresh.into_iter().chain(uncertain);
        times.min().filter(|_| !self.is_busy)
    }

    pub(super) fn begin(&mut self, is_uncertain: bool) {
        (self.is_busy, self.was_uncertain) = (true, is_uncertain);
    }

    /// Records an answer that shows that the partition carries out transactions.
    pub(super) fn record_success(&mut self) {
        (self.is_busy, self.refusals) = (false, 0);
        (self.fresh_at, self.uncertain_at) = (None, None);
    }

    /// Records that the partition refused a transaction. `spread` from 0 to 1 keeps lanes from coming
    /// back together.
    pub(super) fn record_refusal(&mut self, spread: f64, now: Instant) {
        let delay = (MIN_DELAY * 2u32.saturating_pow(self.refusals.min(8))).min(MAX_DELAY);
        let at = now + delay.mul_f64(0.5 + spread);
        (self.is_busy, self.refusals) = (false, self.refusals + 1);
        (self.fresh_at, self.uncertain_at) = (Some(at), Some(at));
    }

    pub(super) fn record_silence(&mut self, now: Instant) {
        self.is_busy = false;
        self.uncertain_at = Some(now + UNCERTAIN_DELAY);
    }

    pub(super) fn remove(&mut self, key: SubmissionKey) {
        self.fresh.retain(|other| *other != key);
        self.uncertain.retain(|other| *other != key);
    }
}
