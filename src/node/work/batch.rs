use std::sync::Arc;

use crate::clock::Instant;
use crate::jobs::Tenure;
use crate::platform::Write;

/// One transaction of a holder. Its first write renews the lease of the queue under the condition
/// that nobody else took it, so a former holder changes no job.
pub(super) struct Batch {
    pub(super) tenure: Tenure,
    pub(super) writes: Vec<Write>,
    /// Jobs whose rows follow the lease, in order.
    pub(super) jobs: Vec<Arc<str>>,
    /// News that are deleted after them.
    pub(super) news: Vec<Arc<str>>,
    /// When it was first sent.
    pub(super) sent: Instant,
    /// Whether an answer was lost, so that it may have taken effect.
    pub(super) lost: bool,
}
