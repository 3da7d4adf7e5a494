use std::sync::Arc;
use std::time::Duration;

use super::fence::Fence;
use super::part;
use super::row::{self, JOBS, OWNER, PROGRESS, TERMS};
use super::shared::{STORE_LIMIT, Shared, wall_ms};
use super::term::Term;
use crate::batch::JobKey;
use crate::platform::api::{Expected, Fault, Outcome, Transaction};

/// Most jobs in one transaction.
const BATCH: usize = 60;

/// Most ended jobs whose rows one transaction deletes.
const OUTDATED: usize = 12;

/// Pause before changes that callers wait for are stored.
const URGENT_AFTER: Duration = Duration::from_millis(15);

/// Pause before other changes are stored.
const AFTER: Duration = Duration::from_millis(45);

/// Pause after a transaction that failed.
const RETRY_AFTER: Duration = Duration::from_millis(120);

/// One partition as its leader writes it.
struct Part {
    name: String,
    /// Version and number of the last write of the row that fences the partition.
    version: u64,
    write: u64,
}

/// Changes of jobs that one transaction stores.
struct Changes {
    transaction: Transaction,
    jobs: Vec<(JobKey, u64)>,
}

/// Stores changes of jobs while this instance leads.
pub(super) async fn flush(shared: Arc<Shared>, term: Arc<Term>) {
    let mut parts: Vec<Part> = part::all().map(Part::new).collect();
    loop {
        let urgent = term.engine().unstored();
        match urgent {
            Some(true) => tokio::time::sleep(URGENT_AFTER).await,
            Some(false) => tokio::time::sleep(AFTER).await,
            None => {
                let wait = tokio::time::timeout(Duration::from_secs(1), term.storable.notified());
                let _ = wait.await;
                continue;
            }
        }
        let writes = parts.iter_mut().map(|part| part.flush(&shared, &term));
        futures_util::future::join_all(writes).await;
    }
}

/// Stores all that is not stored, also what a task was storing when it was ended.
pub(super) async fn flush_now(shared: &Shared, term: &Term) {
    term.engine().mark_unstored();
    let mut parts: Vec<Part> = part::all().map(Part::new).collect();
    while term.engine().unstored().is_some() && !term.is_over() {
        let writes = parts.iter_mut().map(|part| part.flush(shared, term));
        futures_util::future::join_all(writes).await;
    }
}

impl Part {
    fn new(name: String) -> Self {
        Self {
            name,
            version: 0,
            write: 0,
        }
    }

    /// Stores the changes of this partition until they are stored or the leadership is over.
    async fn flush(&mut self, shared: &Shared, term: &Term) {
        let Some(mut changes) = self.take(term) else {
            return;
        };
        while !term.is_over() {
            match self.send(shared, term, &mut changes.transaction).await {
                Ok(true) => {
                    let mut engine = term.engine();
                    for (job, change) in changes.jobs {
                        engine.stored(job, change);
                    }
                    return;
                }
                Ok(false) => return term.end("a newer leader writes"),
                Err(fault) => log::debug!(event = "flush-failed", fault:% = fault; ""),
            }
            tokio::time::sleep(RETRY_AFTER).await;
        }
    }

    fn take(&self, term: &Term) -> Option<Changes> {
        let mut engine = term.engine();
        let rows = engine.take_unstored(BATCH, |job| part::of(job) == self.name);
        if rows.is_empty() {
            return None;
        }
        let mut transaction = Transaction {
            part: self.name.clone(),
            ..Transaction::default()
        };
        let mut jobs = Vec::new();
        for (key, id, change, progress) in rows {
            transaction
                .puts
                .push((PROGRESS, id.to_string(), row::encode(&progress)));
            jobs.push((key, change));
        }
        let old = engine.take_outdated(wall_ms(), OUTDATED);
        // Others are deleted with a later write; a new leader finds those that were left out.
        for id in old.iter().filter(|id| part::of(id) == self.name) {
            transaction.deletes.push((JOBS, id.to_string()));
            transaction.deletes.push((JOBS, row::cancel_key(id)));
            transaction.deletes.push((PROGRESS, id.to_string()));
        }
        Some(Changes { transaction, jobs })
    }

    /// Sends one transaction. Returns whether it is stored, or false when a newer leader writes.
    async fn send(
        &mut self,
        shared: &Shared,
        term: &Term,
        transaction: &mut Transaction,
    ) -> Result<bool, Fault> {
        if self.version == 0 {
            let Some(fence) = self.read(shared).await? else {
                return Ok(false);
            };
            if fence.token != term.token {
                return Ok(false);
            }
            self.write = fence.write;
        }
        let fence = Fence {
            token: term.token,
            write: self.write + 1,
        };
        transaction.expected = vec![Expected {
            table: TERMS,
            key: OWNER.into(),
            version: self.version,
        }];
        transaction.puts.retain(|(table, ..)| *table != TERMS);
        transaction
            .puts
            .push((TERMS, OWNER.into(), row::encode(&fence)));
        match shared.store.transact(transaction, STORE_LIMIT).await? {
            Outcome::Applied(version) => {
                (self.version, self.write) = (version, fence.write);
                Ok(true)
            }
            Outcome::Conflict(_) => {
                // An earlier attempt whose answer was lost may have been applied.
                let Some(found) = self.read(shared).await? else {
                    return Ok(false);
                };
                let own = found.token == term.token;
                let applied = own && found.write == fence.write;
                self.write = found.write;
                if own && !applied {
                    self.version = 0;
                    return Box::pin(self.send(shared, term, transaction)).await;
                }
                Ok(applied)
            }
        }
    }

    /// Reads the row that fences the partition.
    async fn read(&mut self, shared: &Shared) -> Result<Option<Fence>, Fault> {
        let (rows, _) = shared
            .store
            .read(TERMS, &self.name, "", "", STORE_LIMIT)
            .await?;
        let Some(row) = rows.iter().find(|r| &*r.key == OWNER) else {
            return Ok(None);
        };
        self.version = row.version;
        Ok(row.content.as_ref().and_then(|c| row::decode(OWNER, c)))
    }
}
