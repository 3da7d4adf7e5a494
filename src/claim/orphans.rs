use std::collections::BTreeMap;
use std::sync::Arc;

use super::Timestamp;

/// Largest number of recorded orphans. Beyond it the oldest are dropped, and their claims stay in
/// force until they expire.
const MAX_ORPHANS: usize = 4096;

/// Claims of this owner whose request was never sent but whose row may be in state
/// [`super::State::Started`].
#[derive(Default)]
pub(super) struct Orphans {
    by_operation: BTreeMap<u64, (Arc<str>, Timestamp)>,
}

impl Orphans {
    pub(super) fn add(&mut self, operation: u64, row_key: Arc<str>, now: Timestamp) {
        if self.by_operation.len() == MAX_ORPHANS {
            self.by_operation.pop_first();
        }
        self.by_operation.insert(operation, (row_key, now));
    }

    pub(super) fn contains(&self, operation: u64) -> bool {
        self.by_operation.contains_key(&operation)
    }

    pub(super) fn remove(&mut self, operation: u64) {
        self.by_operation.remove(&operation);
    }

    /// Returns number, row key and time of recording of up to `limit` orphans, the oldest first.
    pub(super) fn oldest(&self, limit: usize) -> Vec<(u64, Arc<str>, Timestamp)> {
        let oldest = self.by_operation.iter().take(limit);
        oldest
            .map(|(operation, (row_key, at))| (*operation, row_key.clone(), *at))
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.by_operation.len()
    }
}
