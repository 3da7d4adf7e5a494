//! Deletion of the rows of ended jobs.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::row::{self, JOBS};
use super::shared::{STORE_TIMEOUT, Shared, unix_time_ms};
use super::term::Term;
use crate::clock;
use crate::job_store::{Class, Partition};
use crate::platform::api::{Fault, Outcome, Precondition, Row, Transaction};

/// Time between two looks for ended jobs whose rows are no longer needed.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of ended jobs that one look finds.
const MAX_FOUND_JOBS: usize = 500;

/// Rows of some ended jobs of one partition.
struct Batch {
    partition: Partition,
    /// Each job with the version of its row.
    jobs: Vec<(Arc<str>, u64)>,
}

/// Deletes the jobs and cancellations that are no longer needed while this instance leads. Their
/// progress is deleted after that with other changes of progress.
pub(super) async fn delete(shared: Arc<Shared>, term: Arc<Term>) {
    loop {
        sleep(INTERVAL).await;
        let found = (term.engine()).take_outdated(unix_time_ms(), MAX_FOUND_JOBS, |_| true);
        term.deletions().add(found, clock::now());
        while shared.committer.may_send(Class::Background)
            && let Some(batch) = take_batch(&term)
        {
            batch.delete(&shared, &term).await;
            term.flush_wake.notify_one();
        }
    }
}

fn take_batch(term: &Term) -> Option<Batch> {
    let mut deletions = term.deletions();
    let (partition, jobs) = deletions.take_batch(clock::now())?;
    let with_version = |job: Arc<str>| (job.clone(), deletions.place(&job).version);
    Some(Batch {
        partition,
        jobs: jobs.into_iter().map(with_version).collect(),
    })
}

impl Batch {
    /// Deletes the rows, and retries until the outcome is known.
    async fn delete(self, shared: &Shared, term: &Term) {
        let mut waiting = vec![self];
        while let Some(mut batch) = waiting.pop() {
            if batch.jobs.is_empty() {
                continue;
            }
            let transaction = batch.transaction();
            match shared.store.transact(&transaction, STORE_TIMEOUT).await {
                Ok(Outcome::Applied(version)) => {
                    let jobs = batch.jobs.into_iter().map(|(job, _)| job).collect();
                    term.deletions().record_cleared(jobs, version);
                }
                Ok(Outcome::Conflict(rows)) => {
                    batch.resolve_conflict(&rows);
                    waiting.push(batch);
                    // A store that reports the same conflict again must not be asked without a pause.
                    sleep(INTERVAL).await;
                }
                Err(fault) if fault.is_permanent() => waiting.extend(batch.split(&fault)),
                Err(fault) => {
                    log::debug!(event = "deletion-failed", fault:% = fault; "");
                    waiting.push(batch);
                    sleep(INTERVAL).await;
                }
            }
        }
    }

    /// Divides a batch that the store refuses for good into one for each job. A job that was refused
    /// alone is given up; the next leader finds it anew.
    fn split(self, fault: &Fault) -> Vec<Self> {
        let partition = self.partition;
        if let [(job, _)] = &self.jobs[..] {
            log::error!(event = "deletion-rejected", job = &**job, part = partition.name(),
                fault:% = fault; "");
            return Vec::new();
        }
        let jobs = self.jobs.into_iter();
        let alone = jobs.map(|job| Self {
            partition,
            jobs: vec![job],
        });
        alone.collect()
    }

    /// The condition keeps a late deletion from another job of the same id that was stored later.
    fn transaction(&self) -> Transaction {
        let expected = self.jobs.iter().map(|(job, version)| Precondition {
            table: JOBS,
            key: job.to_string(),
            version: *version,
        });
        let deletes = self.jobs.iter();
        let deletes =
            deletes.flat_map(|(job, _)| [(JOBS, job.to_string()), (JOBS, row::cancel_key(job))]);
        Transaction {
            part: self.partition.name(),
            expected: expected.collect(),
            puts: Vec::new(),
            deletes: deletes.collect(),
        }
    }

    /// Continues with the jobs that are as expected or were deleted by an earlier attempt.
    fn resolve_conflict(&mut self, rows: &[Row]) {
        self.jobs.retain_mut(|(job, version)| {
            let is_stored = |row: &&Row| row.key == *job && row.content.is_some();
            let found = rows.iter().find(is_stored);
            let found = found.map_or(0, |row| row.version);
            let is_other = found != 0 && found != *version;
            if is_other {
                log::warn!(event = "job-stored-again", job = &**job; "");
            }
            *version = found;
            !is_other
        });
    }
}
