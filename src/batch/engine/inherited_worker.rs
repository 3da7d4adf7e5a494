use std::sync::Arc;

use crate::batch::TaskId;
use crate::clock::Instant;

/// A worker on which the previous leader may have started tasks and that has not answered this
/// leader.
#[derive(Clone, Debug)]
pub(super) struct InheritedWorker {
    pub(super) service: Arc<str>,
    pub(super) machine: Arc<str>,
    pub(super) born_ms: u64,
    /// When the leases granted by the previous leader have expired.
    pub(super) lease_until: Instant,
    /// Number of the latest lists of machines, one after another, that lack its machine.
    pub(super) absences: u32,
    /// Tasks that may be running there; `None` if any task of its service may be.
    pub(super) tasks: Option<Vec<TaskId>>,
}
