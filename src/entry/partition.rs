use std::collections::VecDeque;
use std::time::Duration;

use super::admit;
use super::changes::{Changes, log_refused};
use super::row::{self, JOBS, OWNER_KEY, PROGRESS, TERMS};
use super::shared::{STORE_TIMEOUT, Shared};
use super::term::Term;
use crate::batch::{Fence, MAX_ROW_BYTES, MAX_TRANSACTION_BYTES, Resolution, Writer};
use crate::clock;
use crate::job_store;
use crate::platform::api::{Fault, Outcome, Precondition, Transaction};

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 60;

/// Maximum number of rows that one transaction changes, without the fence row and its condition.
const MAX_ROWS: usize = 98;

/// Number of rows of an ended job in a partition of progress: its progress and, if an instance of an
/// earlier version has stored it, the job and its cancellation.
const ROWS_OF_JOB: usize = 3;

/// Delay after a transaction that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// One partition of progress as the leader writes it.
pub(super) struct Partition {
    key: job_store::Partition,
    name: String,
    writer: Writer,
}

impl Partition {
    /// Returns all partitions of progress, which the leader of a term writes from now on.
    pub(super) fn all(term: &Term) -> Vec<Self> {
        let writer = Writer::new(term.token);
        let keys = job_store::Partition::all_of_progress();
        let partitions = keys.map(|key| Self {
            key,
            name: key.name(),
            writer,
        });
        partitions.collect()
    }

    /// Retries the changes of this partition until they are stored or the leadership ends.
    pub(super) async fn flush(&mut self, shared: &Shared, term: &Term) {
        let mut waiting = self.take_changes(term);
        while let Some(mut changes) = waiting.pop_front().filter(|_| !term.has_ended()) {
            match self.send(shared, &mut changes.transaction).await {
                Ok(true) => {
                    let mut engine = term.engine();
                    for (job, change) in changes.jobs {
                        engine.record_stored_change(job, change);
                    }
                    let mut deletions = term.deletions();
                    for (job, version) in changes.deleted {
                        let is_beside_progress = deletions.place(&job).is_beside_progress;
                        let version = if is_beside_progress {
                            self.writer.version()
                        } else {
                            version
                        };
                        deletions.forget(&job);
                        engine.record_deletion(vec![job], version);
                    }
                }
                Ok(false) => return term.end("a newer leader writes"),
                Err(fault) if fault.is_permanent() => {
                    let parts = changes.split(&fault).into_iter();
                    parts.rev().for_each(|part| waiting.push_front(part));
                }
                Err(fault) => {
                    log::debug!(event = "flush-failed", fault:% = fault; "");
                    waiting.push_front(changes);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Takes changes in transactions that the store accepts.
    fn take_changes(&self, term: &Term) -> VecDeque<Changes> {
        let mut engine = term.engine();
        let is_here = |job: &str| job_store::Partition::of_progress(job) == self.key;
        let rows = engine.take_unstored(MAX_BATCH_JOBS, is_here);
        let mut deletions = term.deletions();
        let deleted = deletions.take_cleared(self.key, (MAX_ROWS - rows.len()) / ROWS_OF_JOB);
        let mut taken: VecDeque<Changes> = VecDeque::new();
        for (key, id, change, progress) in rows {
            let content = row::encode(&progress);
            let size = content.len();
            if size > MAX_ROW_BYTES {
                log_refused(&id, size, &"larger than a row");
                continue;
            }
            let has_room = |changes: &&mut Changes| changes.bytes + size <= MAX_TRANSACTION_BYTES;
            if taken.back_mut().filter(has_room).is_none() {
                taken.push_back(Changes::new(&self.name));
            }
            let changes = taken.back_mut().expect("there is one with room");
            let put = (PROGRESS, id.to_string(), content);
            changes.transaction.puts.push(put);
            changes.jobs.push((key, change));
            changes.bytes += size;
        }
        if taken.is_empty() && !deleted.is_empty() {
            taken.push_back(Changes::new(&self.name));
        }
        let Some(changes) = taken.front_mut() else {
            return taken;
        };
        let transaction = &mut changes.transaction;
        for (id, _) in &deleted {
            transaction.deletes.push((PROGRESS, id.to_string()));
            if deletions.place(id).is_beside_progress {
                transaction.deletes.push((JOBS, id.to_string()));
                transaction.deletes.push((JOBS, row::cancel_key(id)));
            }
        }
        changes.deleted = deleted;
        taken
    }

    /// Sends one transaction on condition that the fence row is unchanged. Returns true if it was
    /// applied and false if a newer leader has fenced the partition.
    async fn send(
        &mut self,
        shared: &Shared,
        transaction: &mut Transaction,
    ) -> Result<bool, Fault> {
        if !self.writer.knows_fence() {
            let Some((version, fence)) = self.read_fence(shared).await? else {
                return Ok(false);
            };
            if !self.writer.observe(version, fence) {
                return Ok(false);
            }
        }
        loop {
            self.set_fence(transaction);
            let sent = clock::now();
            let outcome = shared.store.transact(transaction, STORE_TIMEOUT).await;
            admit::record_call(shared, clock::now().since(sent));
            match outcome? {
                Outcome::Applied(version) => {
                    self.writer.record_applied(version);
                    return Ok(true);
                }
                Outcome::Conflict(_) => {
                    let Some((version, fence)) = self.read_fence(shared).await? else {
                        return Ok(false);
                    };
                    let sent = self.writer.next_fence();
                    let resolution = self.writer.resolve_conflict(version, fence);
                    log_conflict(&self.name, sent, fence, resolution);
                    match resolution {
                        Resolution::Stored => return Ok(true),
                        Resolution::Superseded => return Ok(false),
                        Resolution::Resend => {}
                    }
                }
            }
        }
    }

    /// Adds the fence row and the condition on it to a transaction.
    fn set_fence(&self, transaction: &mut Transaction) {
        transaction.expected = vec![Precondition {
            table: TERMS,
            key: OWNER_KEY.into(),
            version: self.writer.version(),
        }];
        let fence = row::encode(&self.writer.next_fence());
        transaction.puts.retain(|(table, ..)| *table != TERMS);
        transaction.puts.push((TERMS, OWNER_KEY.into(), fence));
    }

    /// Reads the version and content of the fence row of the partition.
    async fn read_fence(&self, shared: &Shared) -> Result<Option<(u64, Fence)>, Fault> {
        let (rows, _) = shared
            .store
            .read(TERMS, &self.name, "", "", STORE_TIMEOUT)
            .await?;
        let row = rows.iter().find(|r| &*r.key == OWNER_KEY);
        Ok(row.and_then(|row| {
            let fence = row::decode(OWNER_KEY, row.content.as_ref()?)?;
            Some((row.version, fence))
        }))
    }
}

/// Logs a conflict of a write with the fence row that was found, and what follows from it.
fn log_conflict(part: &str, sent: Fence, found: Fence, resolution: Resolution) {
    let resolution: &str = resolution.into();
    log::info!(event = "write-conflict", part, token = sent.token, write = sent.write,
        found_token = found.token, found_write = found.write, resolution; "");
}
