use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;

use super::admit;
use super::row::{self, JOBS, OWNER_KEY, PROGRESS, TERMS};
use super::shared::{STORE_TIMEOUT, Shared};
use super::term::Term;
use crate::batch::{Fence, JobKey, MAX_ROW_BYTES, MAX_TRANSACTION_BYTES, Resolution, Writer};
use crate::clock::{self, Instant};
use crate::job_store::{self, Class};
use crate::platform::api::{Fault, Outcome, Precondition, Transaction};

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 60;

/// Maximum number of rows that one transaction changes, without the fence row and its condition.
const MAX_ROWS: usize = 98;

/// Number of rows of an ended job in a partition of progress: its progress and, if an instance of an
/// earlier version has stored it, the job and its cancellation.
const ROWS_OF_JOB: usize = 3;

/// Delay before changes that callers wait for are stored, so that several share a transaction.
const URGENT_FLUSH_DELAY: Duration = Duration::from_millis(15);

/// Delay before other changes are stored.
const FLUSH_DELAY: Duration = Duration::from_millis(45);

/// Maximum time for which changes that nobody waits for are held back by submissions of jobs.
const MAX_HELD_BACK: Duration = Duration::from_secs(1);

/// Delay after a transaction that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// One partition as the leader writes it.
struct Partition {
    key: job_store::Partition,
    name: String,
    writer: Writer,
}

/// Changes that one transaction stores.
struct Changes {
    transaction: Transaction,
    /// Changed jobs, with the number of each change.
    jobs: Vec<(JobKey, u64)>,
    /// Ended jobs whose progress is deleted, with the version at which their other rows were.
    deleted: Vec<(Arc<str>, u64)>,
    /// Sum of the contents of the rows.
    bytes: usize,
}

/// Stores changes of jobs while this instance leads, and all that are left when it resigns.
///
/// A leader that resigns waits for the end of this task. If it aborted the task, a write might be under
/// way whose number the next one would bear as well, and either would be taken for the other.
pub(super) async fn flush(shared: Arc<Shared>, term: Arc<Term>) {
    let mut partitions = all_partitions(&term);
    let mut held_back_since: Option<Instant> = None;
    while !term.is_resigning() {
        let urgent = term.engine().has_changes_to_store();
        let urgent = urgent.or_else(|| term.deletions().has_cleared().then_some(false));
        match urgent {
            Some(true) => tokio::time::sleep(URGENT_FLUSH_DELAY).await,
            Some(false) => tokio::time::sleep(FLUSH_DELAY).await,
            None => {
                let wait = tokio::time::timeout(Duration::from_secs(1), term.flush_wake.notified());
                let _ = wait.await;
                continue;
            }
        }
        if urgent == Some(false) && !shared.committer.may_send(Class::Background) {
            let now = clock::now();
            if now.since(*held_back_since.get_or_insert(now)) < MAX_HELD_BACK {
                continue;
            }
        }
        held_back_since = None;
        flush_all(&mut partitions, &shared, &term).await;
    }
    // No write is under way, so the store has refused what is not confirmed. It is tried once more.
    term.engine().queue_unconfirmed_changes();
    while term.engine().has_changes_to_store().is_some() && !term.has_ended() {
        flush_all(&mut partitions, &shared, &term).await;
    }
}

/// Stores the changes of all partitions at the same time.
async fn flush_all(partitions: &mut [Partition], shared: &Shared, term: &Term) {
    let flushes = partitions
        .iter_mut()
        .map(|partition| partition.flush(shared, term));
    futures_util::future::join_all(flushes).await;
}

fn all_partitions(term: &Term) -> Vec<Partition> {
    let writer = Writer::new(term.token);
    let keys = job_store::Partition::all_of_progress();
    let partitions = keys.map(|key| Partition {
        key,
        name: key.name(),
        writer,
    });
    partitions.collect()
}

impl Changes {
    fn new(partition: &str) -> Self {
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
    fn split(self, fault: &Fault) -> Vec<Self> {
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
fn log_refused(key: &str, bytes: usize, reason: &dyn std::fmt::Display) {
    counter!("rows_refused_total", "table" => PROGRESS).increment(1);
    log::error!(event = "row-refused", table = PROGRESS, key, bytes, reason:% = reason; "");
}

/// Logs a conflict of a write with the fence row that was found, and what follows from it.
fn log_conflict(part: &str, sent: Fence, found: Fence, resolution: Resolution) {
    let resolution: &str = resolution.into();
    log::info!(event = "write-conflict", part, token = sent.token, write = sent.write,
        found_token = found.token, found_write = found.write, resolution; "");
}

impl Partition {
    /// Retries the changes of this partition until they are stored or the leadership ends.
    async fn flush(&mut self, shared: &Shared, term: &Term) {
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
