use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::Set;

/// Ended jobs that callers can still query, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// End time of each job, in milliseconds since 1970, and its id.
    entries: VecDeque<(u64, Arc<str>)>,
    ids: Set<Arc<str>>,
}

impl History {
    /// Returns whether a job has ended. A read of the store may still show it as in progress.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn add(&mut self, id: Arc<str>, ended_ms: u64) {
        if self.ids.insert(id.clone()) {
            self.entries.push_back((ended_ms, id));
        }
    }

    /// Removes and returns up to `limit` jobs that ended before `before_ms`.
    pub(super) fn take_before(&mut self, before_ms: u64, limit: usize) -> Vec<Arc<str>> {
        let entries = self.entries.iter().take(limit);
        let count = entries.take_while(|(ended, _)| *ended < before_ms).count();
        let removed: Vec<Arc<str>> = self.entries.drain(..count).map(|(_, id)| id).collect();
        for id in &removed {
            self.ids.remove(id);
        }
        removed
    }
}
