use std::sync::Arc;

use tokio::sync::oneshot;

use super::failure::Failure;
use crate::collections::Set;
use crate::platform::Write;

/// Largest number of rows in one transaction.
const MAX_ROWS: usize = 256;

/// Largest total size of the values in one transaction, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Write that waits for its transaction, and the channel for its result.
pub(super) struct Entry {
    pub(super) write: Write,
    pub(super) done: oneshot::Sender<Result<u64, Failure>>,
}

/// Writes of one transaction.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) entries: Vec<Entry>,
    keys: Set<Arc<str>>,
    total_bytes: usize,
}

impl Batch {
    /// Adds an entry, or returns it as the error when it has to wait for a later transaction.
    ///
    /// A key occurs only once in a transaction, because the conditions of two writes to the same row
    /// would both be checked against the state before the transaction. The first entry is always added.
    pub(super) fn add(&mut self, entry: Entry) -> Result<(), Entry> {
        let value_bytes = entry.write.value.as_ref().map_or(0, |value| value.len());
        let full =
            self.entries.len() >= MAX_ROWS || self.total_bytes + value_bytes > MAX_VALUE_BYTES;
        if !self.entries.is_empty() && (full || self.keys.contains(&entry.write.key)) {
            return Err(entry);
        }
        self.total_bytes += value_bytes;
        self.keys.insert(entry.write.key.clone());
        self.entries.push(entry);
        Ok(())
    }

    /// Removes entries whose submitter no longer waits for the result; none of them has taken effect.
    pub(super) fn prune(&mut self) {
        self.entries.retain(|entry| !entry.done.is_closed());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn writes(&self) -> Vec<Write> {
        self.entries.iter().map(|e| e.write.clone()).collect()
    }

    /// Removes the entry of `key` and reports a conflict to its submitter.
    ///
    /// Returns whether the batch has such an entry.
    pub(super) fn fail_conflict(&mut self, key: &str) -> bool {
        let Some(index) = self.entries.iter().position(|e| &*e.write.key == key) else {
            return false;
        };
        // An error means that the submitter no longer waits.
        let _ = self
            .entries
            .swap_remove(index)
            .done
            .send(Err(Failure::Conflict));
        true
    }

    /// Reports `failure` to the submitters of all entries.
    pub(super) fn fail(self, failure: &Failure) {
        for entry in self.entries {
            let _ = entry.done.send(Err(failure.clone()));
        }
    }

    pub(super) fn succeed(self, versions: &[u64]) {
        for (entry, version) in self.entries.into_iter().zip(versions) {
            let _ = entry.done.send(Ok(*version));
        }
    }
}
