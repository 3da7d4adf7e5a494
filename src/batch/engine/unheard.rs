use std::sync::Arc;

use crate::batch::TaskId;
use crate::clock::Instant;

/// A worker that this leader has not heard and on which the last leader may have started tasks.
#[derive(Clone, Debug)]
pub(super) struct Unheard {
    pub(super) service: Arc<str>,
    pub(super) machine: Arc<str>,
    pub(super) born_ms: u64,
    /// When the leases that the last leader granted have run out.
    pub(super) until: Instant,
    /// Tasks that may run there; `None` when any task of its service may.
    pub(super) tasks: Option<Vec<TaskId>>,
}
