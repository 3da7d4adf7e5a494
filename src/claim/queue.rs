use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::batch::{Batch, Entry};
use super::failure::Failure;
use super::{Pace, Settings};
use crate::clock;
use crate::platform::{Condition, Error, Table, Write};

/// Writes that may wait; beyond it submitters are refused at once.
const MAX_WAITING: usize = 4096;

/// Transactions under way at once, so that a slow store does not stop the others.
const MAX_UNDER_WAY: usize = 4;

/// Reads at once while the conflicts of a batch are sorted out.
const MAX_READS: usize = 16;

/// Gathers writes of many tasks into few transactions.
#[derive(Clone)]
pub(super) struct Queue {
    entries: mpsc::Sender<Entry>,
}

/// What the task of each transaction needs.
#[derive(Clone)]
struct Store {
    table: Arc<dyn Table>,
    pace: Arc<Mutex<Pace>>,
    start: Instant,
}

impl Queue {
    /// Starts the task that gathers; it ends when the last clone of the queue is dropped.
    pub(super) fn start(table: Arc<dyn Table>, settings: Settings) -> Self {
        let (entries, waiting) = mpsc::channel(MAX_WAITING);
        let pace = Pace::new(&settings, clock::Instant::default());
        let store = Store {
            table,
            pace: Arc::new(Mutex::new(pace)),
            start: Instant::now(),
        };
        tokio::spawn(gather(waiting, store, settings));
        Self { entries }
    }

    /// Writes one row with others in one transaction and returns its new version.
    ///
    /// The failure of another row of the transaction does not fail this one.
    pub(super) async fn submit(&self, write: Write) -> Result<u64, Failure> {
        let (done, result) = oneshot::channel();
        self.entries
            .try_send(Entry { write, done })
            .map_err(|_| Failure::Unavailable("too many writes wait for the store".into()))?;
        // The task of the transaction answers every entry unless it was stopped half way.
        result.await.unwrap_or(Err(Failure::Unknown))
    }
}

async fn gather(mut waiting: mpsc::Receiver<Entry>, store: Store, settings: Settings) {
    let under_way = Arc::new(Semaphore::new(MAX_UNDER_WAY));
    let mut later: VecDeque<Entry> = VecDeque::new();
    loop {
        if later.is_empty() {
            match waiting.recv().await {
                Some(entry) => later.push_back(entry),
                None => return,
            }
        }
        sleep(settings.interval).await;
        let Ok(permit) = under_way.clone().acquire_owned().await else {
            return;
        };
        store.turn().await;
        while let Ok(entry) = waiting.try_recv() {
            later.push_back(entry);
        }
        let mut batch = Batch::default();
        later = later
            .into_iter()
            .filter_map(|entry| batch.add(entry).err())
            .collect();
        let store = store.clone();
        tokio::spawn(async move {
            store.send(batch).await;
            drop(permit);
        });
    }
}

impl Store {
    /// Waits until the budget allows one more transaction.
    async fn turn(&self) {
        let now = clock::Instant::from_start(self.start.elapsed());
        let wait = self.pace.lock().expect("pace lock").take(now);
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    async fn send(&self, mut batch: Batch) {
        let mut conflicts = 0;
        loop {
            batch.prune();
            if batch.is_empty() {
                return;
            }
            match self.table.transact(batch.writes()).await {
                Ok(versions) => return batch.succeed(&versions),
                Err(Error::Conflict { key }) => {
                    conflicts += 1;
                    if !batch.conflict(&key) {
                        let reason = format!("conflict on {key}, which was not written");
                        return batch.fail(&Failure::Unavailable(reason));
                    }
                    // One conflict costs one more transaction. With several, reading finds the
                    // others at once, since reads are cheaper than transactions.
                    if conflicts > 1 {
                        self.sort_out(&mut batch).await;
                    }
                    self.turn().await;
                }
                Err(Error::Unavailable { reason, .. }) => {
                    return batch.fail(&Failure::Unavailable(reason));
                }
                Err(Error::Unknown { .. }) => return batch.fail(&Failure::Unknown),
            }
        }
    }

    /// Takes out the entries whose condition does not hold at present.
    async fn sort_out(&self, batch: &mut Batch) {
        let writes = batch.writes();
        for part in writes.chunks(MAX_READS) {
            let reads = part.iter().map(|w| self.table.read(w.key.clone()));
            let rows = futures_util::future::join_all(reads).await;
            for (write, row) in part.iter().zip(rows) {
                // A failed read says nothing; the transaction itself will tell.
                let Ok(row) = row else { continue };
                let holds = match write.condition {
                    Condition::Any => true,
                    Condition::Absent => row.is_none(),
                    Condition::Version(version) => row.is_some_and(|r| r.version == version),
                };
                if !holds {
                    batch.conflict(&write.key);
                }
            }
        }
    }
}
