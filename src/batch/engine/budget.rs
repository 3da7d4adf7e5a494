use std::sync::Arc;

use super::candidate::Candidate;
use crate::collections::Map;

/// Machines that the services can give up in one planning pass.
pub(super) struct Budget {
    /// Machines that each service can currently do without.
    pub(super) releasable: Map<Arc<str>, usize>,
    /// Machines that belong to each service, beyond those that it must keep.
    pub(super) surplus: Map<Arc<str>, usize>,
}

impl Budget {
    /// Returns whether a service has any machine left in `of`.
    pub(super) fn left(of: &Map<Arc<str>, usize>, service: &Arc<str>) -> bool {
        of.get(service).is_some_and(|left| *left > 0)
    }

    /// Subtracts a machine from the counts of its pool and of its home pool.
    pub(super) fn take(&mut self, candidate: &Candidate) {
        if let Some(left) = self.releasable.get_mut(&candidate.pool) {
            *left = left.saturating_sub(1);
        }
        if candidate.pool == candidate.home
            && let Some(left) = self.surplus.get_mut(&candidate.home)
        {
            *left = left.saturating_sub(1);
        }
    }
}
