use std::sync::Arc;

use super::Partition;
use crate::clock::Instant;

/// A submission that waits to be stored.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) id: Arc<str>,
    pub(super) partition: Partition,
    /// Size of the row.
    pub(super) bytes: usize,
    pub(super) arrived: Instant,
    /// When its caller must have a reply.
    pub(super) answer_by: Instant,
    /// Whether an earlier transaction with this submission may have taken effect or may yet.
    pub(super) may_be_stored: bool,
}
