use std::time::Duration;

use super::Reason;

/// Decision about a job before it is stored.
///
/// ```
/// use coriandernotch::batch::admission::{Reason, Verdict};
///
/// assert!(Verdict::Accept(Reason::InTime).is_accept());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is stored.
    Accept(Reason),
    /// The job would end too late to be of any use.
    Refuse {
        /// Expected time until its end.
        end: Duration,
        /// Time after which a job like it is expected to meet its objective.
        delay: Duration,
    },
}

impl Verdict {
    /// Returns whether the job is accepted.
    pub fn is_accept(self) -> bool {
        matches!(self, Self::Accept(_))
    }
}
