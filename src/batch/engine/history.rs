use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::Set;

/// Ended jobs whose rows a read of the store may still show.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// End time in milliseconds since 1970 and id of each job whose rows are not being deleted, in
    /// the order in which they were added.
    entries: VecDeque<(u64, Arc<str>)>,
    /// Jobs whose rows are deleted, with the version of the store at which they were.
    deleted: Vec<(u64, Arc<str>)>,
    /// Ids of all jobs.
    ids: Set<Arc<str>>,
    /// Jobs that were cancelled before they were known, and that a read of the store may show yet.
    cancelled_early: Set<Arc<str>>,
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

    /// Adds a job that was cancelled before it was known. Its cancellation is deleted like that of an
    /// ended job.
    pub(super) fn add_cancelled(&mut self, id: &Arc<str>, cancelled_ms: u64) {
        if !self.contains(id) {
            self.add(id.clone(), cancelled_ms);
            self.cancelled_early.insert(id.clone());
        }
    }

    /// Returns whether a job that becomes known was cancelled before.
    pub(super) fn take_cancelled(&mut self, id: &str) -> bool {
        self.cancelled_early.remove(id)
    }

    /// Takes up to `limit` jobs that ended before `before_ms` and for which `selected` holds, to
    /// delete their rows.
    pub(super) fn take_before(
        &mut self,
        before_ms: u64,
        limit: usize,
        selected: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let entries = self.entries.iter().enumerate();
        let positions: Vec<usize> = entries
            .take_while(|(_, (ended_ms, _))| *ended_ms < before_ms)
            .filter(|(_, (_, id))| selected(id))
            .map(|(position, _)| position)
            .take(limit)
            .collect();
        let positions = positions.into_iter().rev();
        positions
            .filter_map(|position| self.entries.remove(position))
            .map(|(_, id)| id)
            .collect()
    }

    /// Records that the rows of jobs were deleted at `version`.
    pub(super) fn record_deletion(&mut self, ids: Vec<Arc<str>>, version: u64) {
        self.deleted.extend(ids.into_iter().map(|id| (version, id)));
    }

    /// Forgets the jobs whose rows were deleted up to `version`, from which on the store is read.
    pub(super) fn forget_deleted(&mut self, version: u64) {
        let forgotten = (self.deleted).extract_if(.., |(deleted, _)| *deleted <= version);
        for (_, id) in forgotten {
            self.ids.remove(&id);
            self.cancelled_early.remove(&id);
        }
    }
}
