use std::sync::Arc;

use crate::clock::Instant;
use crate::jobs::Owner;
use crate::platform::Write;

/// Writes of one store transaction. The first renews the lease of the queue on condition that its
/// row is unchanged, so an instance that has lost the queue can change no job.
pub(super) struct Batch {
    /// Lease row after the transaction.
    pub(super) tenure: Owner,
    pub(super) writes: Vec<Write>,
    /// Jobs whose rows are written after the lease row, in this order.
    pub(super) jobs: Vec<Arc<str>>,
    /// Jobs whose change rows are deleted after the job rows.
    pub(super) changes: Vec<Arc<str>>,
    /// When the transaction was first sent.
    pub(super) sent_at: Instant,
    /// Whether a response was lost, so that the transaction may have taken effect.
    pub(super) uncertain: bool,
}

impl Batch {
    /// Most job rows, and most change rows, in one transaction or scan.
    pub(super) const MAX_ROWS: usize = 64;
}
