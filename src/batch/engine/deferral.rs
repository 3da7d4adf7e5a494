use crate::batch::JobKey;
use crate::clock::Instant;
use crate::collections::Set;

/// Jobs of one service that are deferred because of overload, and when they were selected.
#[derive(Clone, Debug, Default)]
pub(super) struct Deferral {
    pub(super) selected_at: Instant,
    pub(super) jobs: Set<JobKey>,
}
