use std::sync::Arc;

use super::NearRack;
use crate::batch::WorkerKey;
use crate::clock::Instant;
use crate::collections::Map;

/// One round of placement for a service.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) now: Instant,
    pub(super) wall_ms: u64,
    /// Workers of the service on which tasks may be started.
    pub(super) workers: Vec<WorkerKey>,
    /// Racks that tasks want and that had no room, with what is expected of them.
    pub(super) racks: Map<Arc<str>, NearRack>,
    /// Whether more work waits than there is room for; determined when it is first asked for.
    pub(super) crowded: Option<bool>,
}

impl Round {
    pub(super) fn new(now: Instant, wall_ms: u64, workers: Vec<WorkerKey>) -> Self {
        Self {
            now,
            wall_ms,
            workers,
            racks: Map::default(),
            crowded: None,
        }
    }
}
