use std::time::Duration;

use super::{Partition, SubmissionKey};

/// Submissions that one transaction stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Partition of the jobs.
    pub partition: Partition,
    /// Submissions with different ids.
    pub submissions: Vec<SubmissionKey>,
    /// Time for which the answer of the store is awaited.
    pub timeout: Duration,
}
