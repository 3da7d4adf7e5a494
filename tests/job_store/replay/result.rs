use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

/// What became of the submissions that arrived while the store was in trouble.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) asked: usize,
    /// Submissions whose caller was told within its time that they are stored.
    pub(super) stored: usize,
    pub(super) refused: usize,
    /// Submissions whose caller got no outcome within its time.
    pub(super) unknown: usize,
    /// Submissions of which the queue never told anything.
    pub(super) unanswered: usize,
    /// Submissions that were refused and stored.
    pub(super) untrue: usize,
    /// Longest time to a reply that a submission is stored.
    pub(super) slowest: Duration,
}

impl Tally {
    /// Returns the share of submissions that are stored in time.
    pub(super) fn share(&self) -> f64 {
        self.stored as f64 / self.asked.max(1) as f64
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(
            f,
            "{} of {} stored in time ({:.3}), {} refused, {} unknown, {} without a reply, {} untrue, \
             slowest {:?}",
            self.stored,
            self.asked,
            self.share(),
            self.refused,
            self.unknown,
            self.unanswered,
            self.untrue,
            self.slowest
        )
    }
}
