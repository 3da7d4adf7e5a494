use std::sync::Arc;

use metrics::counter;

use super::row::PROGRESS;
use crate::batch::JobKey;
use crate::platform::api::{Fault, Transaction};

/// Changes that one transaction stores.
pub(super) struct Changes {
    pub(super) transaction: Transaction,
    /// Changed jobs, with the number of each change.
    pub(super) jobs: Vec<(JobKey, u64)>,
    /// Ended jobs whose progress is deleted, with the version at which their other rows were.
    pub(super) deleted: Vec<(Arc<str>, u64)>,
    /// Sum of the contents of the rows.
    pub(super) bytes: usize,
}

impl Changes {
    pub(super) fn new(partition: &str) -> Self {
        Self {
            transaction: Transaction {
                part: partition.to_owned(),
                ..Transaction::default()
            },
            jobs: Vec::new(),
            deleted: Vec::new(),
            bytes: 0,
        }
    }

    /// Divides changes that the store refused for good into one for each row and one for the
    /// deletions. A row that was refused alone is logged and given up until its job changes again.
    pub(super) fn split(self, fault: &Fault) -> Vec<Self> {
        let partition = self.transaction.part;
        let is_row = |(table, ..): &(&str, String, Vec<u8>)| *table == PROGRESS;
        let rows: Vec<_> = (self.transaction.puts.into_iter())
            .filter(is_row)
            .zip(self.jobs)
            .collect();
        if rows.len() + usize::from(!self.deleted.is_empty()) <= 1 {
            for ((_, key, content), _) in rows {
                log_refused(&key, content.len(), fault);
            }
            for (id, _) in self.deleted {
                log_refused(&id, 0, fault);
            }
            return Vec::new();
        }
        let mut parts: Vec<Self> = rows
            .into_iter()
            .map(|(put, job)| {
                let mut part = Self::new(&partition);
                part.bytes = put.2.len();
                part.transaction.puts.push(put);
                part.jobs.push(job);
                part
            })
            .collect();
        if !self.deleted.is_empty() {
            let mut part = Self::new(&partition);
            part.transaction.deletes = self.transaction.deletes;
            part.deleted = self.deleted;
            parts.push(part);
        }
        parts
    }
}

/// Logs a row of progress that the store does not take.
pub(super) fn log_refused(key: &str, bytes: usize, reason: &dyn std::fmt::Display) {
    counter!("rows_refused_total", "table" => PROGRESS).increment(1);
    log::error!(event = "row-refused", table = PROGRESS, key, bytes, reason:% = reason; "");
}
