use std::sync::Arc;

use tokio::sync::oneshot;

use super::failure::Failure;
use crate::collections::Set;
use crate::platform::Write;

/// Rows of one transaction.
const MAX_ROWS: usize = 256;

/// Sum of the values of one transaction, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// A write that waits for its transaction.
pub(super) struct Entry {
    pub(super) write: Write,
    pub(super) done: oneshot::Sender<Result<u64, Failure>>,
}

/// Writes that go into one transaction.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) entries: Vec<Entry>,
    keys: Set<Arc<str>>,
    bytes: usize,
}

impl Batch {
    /// Adds an entry, or gives it back when it has to wait for a later transaction.
    ///
    /// A key occurs once in a transaction, since the conditions of two writes to one row would
    /// both be judged on the state before the transaction. The first entry always fits.
    pub(super) fn add(&mut self, entry: Entry) -> Result<(), Entry> {
        let size = entry.write.value.as_ref().map_or(0, |value| value.len());
        let full = self.entries.len() >= MAX_ROWS || self.bytes + size > MAX_BYTES;
        if !self.entries.is_empty() && (full || self.keys.contains(&entry.write.key)) {
            return Err(entry);
        }
        self.bytes += size;
        self.keys.insert(entry.write.key.clone());
        self.entries.push(entry);
        Ok(())
    }

    /// Drops entries whose submitter stopped waiting; they have not been sent yet.
    pub(super) fn prune(&mut self) {
        self.entries.retain(|entry| !entry.done.is_closed());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn writes(&self) -> Vec<Write> {
        self.entries.iter().map(|e| e.write.clone()).collect()
    }

    /// Takes out the entry of `key` and tells it that its condition failed.
    pub(super) fn conflict(&mut self, key: &str) -> bool {
        let Some(place) = self.entries.iter().position(|e| &*e.write.key == key) else {
            return false;
        };
        // A submitter that stopped waiting needs no answer.
        let _ = self
            .entries
            .swap_remove(place)
            .done
            .send(Err(Failure::Conflict));
        true
    }

    /// Tells all entries the same failure.
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
