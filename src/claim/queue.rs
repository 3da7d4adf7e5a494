use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::batch::{Batch, Entry};
use super::failure::Failure;
use super::{Bucket, Settings};
use crate::clock;
use crate::platform::{Condition, Error, Table, Write};

/// Largest number of waiting writes; further ones fail at once.
const MAX_QUEUED_WRITES: usize = 4096;

/// Concurrent transactions; with more than one, a slow transaction does not hold up the others.
const MAX_IN_FLIGHT: usize = 4;

/// Concurrent reads that look for the conflicts of one batch.
const MAX_CONCURRENT_READS: usize = 16;

/// Combines the writes of many tasks into few transactions.
#[derive(Clone)]
pub(super) struct Queue {
    entries: mpsc::Sender<Entry>,
}

/// Sends transactions to the store at a limited rate.
#[derive(Clone)]
struct Writer {
    table: Arc<dyn Table>,
    bucket: Arc<Mutex<Bucket>>,
    start: Instant,
}

impl Queue {
    /// Starts the task that forms transactions; it ends when the last clone of the queue is dropped.
    pub(super) fn start(table: Arc<dyn Table>, settings: Settings) -> Self {
        let (entries, submitted) = mpsc::channel(MAX_QUEUED_WRITES);
        let bucket = Bucket::new(&settings, clock::Instant::default());
        let writer = Writer {
            table,
            bucket: Arc::new(Mutex::new(bucket)),
            start: Instant::now(),
        };
        tokio::spawn(run_transactions(submitted, writer, settings));
        Self { entries }
    }

    /// Writes one row, in one transaction with other rows, and returns its new version.
    ///
    /// A conflict on another row of the transaction does not fail this write.
    pub(super) async fn submit(&self, write: Write) -> Result<u64, Failure> {
        let (done, result) = oneshot::channel();
        self.entries
            .try_send(Entry { write, done })
            .map_err(|_| Failure::Unavailable("the write queue is full".into()))?;
        // The task of the transaction reports a result for every entry unless the task was stopped.
        result.await.unwrap_or(Err(Failure::Unknown))
    }
}

async fn run_transactions(
    mut submitted: mpsc::Receiver<Entry>,
    writer: Writer,
    settings: Settings,
) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut pending: VecDeque<Entry> = VecDeque::new();
    loop {
        if pending.is_empty() {
            match submitted.recv().await {
                Some(entry) => pending.push_back(entry),
                None => return,
            }
        }
        sleep(settings.batch_interval).await;
        let Ok(permit) = in_flight.clone().acquire_owned().await else {
            return;
        };
        writer.wait_for_token().await;
        while let Ok(entry) = submitted.try_recv() {
            pending.push_back(entry);
        }
        let mut batch = Batch::default();
        pending = pending
            .into_iter()
            .filter_map(|entry| batch.add(entry).err())
            .collect();
        let writer = writer.clone();
        tokio::spawn(async move {
            writer.send(batch).await;
            drop(permit);
        });
    }
}

impl Writer {
    /// Waits until the rate limit allows one more transaction.
    async fn wait_for_token(&self) {
        let now = clock::Instant::from_start(self.start.elapsed());
        let wait = self.bucket.lock().expect("bucket lock").take(now);
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    async fn send(&self, mut batch: Batch) {
        let mut conflict_count = 0;
        loop {
            batch.prune();
            if batch.is_empty() {
                return;
            }
            match self.table.transact(batch.writes()).await {
                Ok(versions) => return batch.succeed(&versions),
                Err(Error::Conflict { key }) => {
                    conflict_count += 1;
                    if !batch.fail_conflict(&key) {
                        let reason = format!("conflict on {key}, a row outside the transaction");
                        return batch.fail(&Failure::Unavailable(reason));
                    }
                    // Each conflict costs one more transaction. After the second, reading all rows
                    // finds the remaining conflicts together; reads are cheaper than transactions.
                    if conflict_count > 1 {
                        self.remove_conflicts(&mut batch).await;
                    }
                    self.wait_for_token().await;
                }
                Err(Error::Unavailable { reason, .. }) => {
                    return batch.fail(&Failure::Unavailable(reason));
                }
                Err(Error::Unknown { .. }) => return batch.fail(&Failure::Unknown),
            }
        }
    }

    /// Reads the rows of the batch and removes the entries whose condition does not hold.
    async fn remove_conflicts(&self, batch: &mut Batch) {
        let writes = batch.writes();
        for chunk in writes.chunks(MAX_CONCURRENT_READS) {
            let reads = chunk.iter().map(|w| self.table.read(w.key.clone()));
            let rows = futures_util::future::join_all(reads).await;
            for (write, row) in chunk.iter().zip(rows) {
                // After a failed read the next transaction shows whether the condition holds.
                let Ok(row) = row else { continue };
                let holds = match write.condition {
                    Condition::Any => true,
                    Condition::Absent => row.is_none(),
                    Condition::Version(version) => row.is_some_and(|r| r.version == version),
                };
                if !holds {
                    batch.fail_conflict(&write.key);
                }
            }
        }
    }
}
