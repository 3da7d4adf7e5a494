use std::collections::BTreeMap;
use std::sync::Arc;

use super::Stamp;

/// Claims remembered; beyond it the oldest stay as started until the window ends.
const MAX_ORPHANS: usize = 4096;

/// Claims of this owner whose request was never sent but whose row may say started.
#[derive(Default)]
pub(super) struct Orphans {
    rows: BTreeMap<u64, (Arc<str>, Stamp)>,
}

impl Orphans {
    pub(super) fn add(&mut self, operation: u64, row: Arc<str>, now: Stamp) {
        if self.rows.len() == MAX_ORPHANS {
            self.rows.pop_first();
        }
        self.rows.insert(operation, (row, now));
    }

    pub(super) fn contains(&self, operation: u64) -> bool {
        self.rows.contains_key(&operation)
    }

    pub(super) fn remove(&mut self, operation: u64) {
        self.rows.remove(&operation);
    }

    /// Returns up to `limit` of them, the oldest first, with the time at which each was added.
    pub(super) fn oldest(&self, limit: usize) -> Vec<(u64, Arc<str>, Stamp)> {
        let first = self.rows.iter().take(limit);
        first
            .map(|(operation, (row, at))| (*operation, row.clone(), *at))
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}
