use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::Set;

/// Ended jobs that callers can still query, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct Past {
    /// End time of each job, in milliseconds since 1970, and its id.
    rows: VecDeque<(u64, Arc<str>)>,
    ids: Set<Arc<str>>,
}

impl Past {
    /// Returns whether a job has ended. A read of the store may still show it as in progress.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn add(&mut self, id: Arc<str>, ended_ms: u64) {
        if self.ids.insert(id.clone()) {
            self.rows.push_back((ended_ms, id));
        }
    }

    /// Removes and returns up to `limit` jobs that ended before `before_ms`.
    pub(super) fn take_before(&mut self, before_ms: u64, limit: usize) -> Vec<Arc<str>> {
        let rows = self.rows.iter().take(limit);
        let count = rows.take_while(|(ended, _)| *ended < before_ms).count();
        let old: Vec<Arc<str>> = self.rows.drain(..count).map(|(_, id)| id).collect();
        for id in &old {
            self.ids.remove(id);
        }
        old
    }
}
