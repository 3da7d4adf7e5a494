use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::peer::Hub;
use crate::platform::{Error, Table, Write};

/// Requests that wait to be written; beyond that callers are refused.
const QUEUE: usize = 1_000;

/// Requests in one transaction.
const BATCH: usize = 64;

/// Time between two transactions for each entry instance of the fleet: 100 transactions a second
/// in all, of the several hundred that the table service does.
const GAP: Duration = Duration::from_millis(10);

type Answer = oneshot::Sender<Result<(), Error>>;

/// Writes requests of callers in batches.
pub(super) struct Intake {
    queue: mpsc::Sender<(Vec<Write>, Answer)>,
}

impl Intake {
    pub(super) fn start(table: Arc<dyn Table>, hub: Arc<Hub>) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE);
        tokio::spawn(work(table, hub, requests));
        Self { queue }
    }

    /// Applies the writes of one request, or none of them.
    pub(super) async fn write(&self, writes: Vec<Write>) -> Result<(), Error> {
        let full = |_| Error::Unavailable {
            step: "queue-write",
            peer: "self".into(),
            reason: "too many requests wait".into(),
        };
        let (answer, result) = oneshot::channel();
        self.queue
            .try_send((writes, answer))
            .map_err(|_| full(()))?;
        result.await.unwrap_or_else(|_| Err(full(())))
    }
}

async fn work(
    table: Arc<dyn Table>,
    hub: Arc<Hub>,
    mut requests: mpsc::Receiver<(Vec<Write>, Answer)>,
) {
    let mut held = None;
    loop {
        let first = match held.take() {
            Some(request) => request,
            None => match requests.recv().await {
                Some(request) => request,
                None => return,
            },
        };
        let mut batch = vec![first];
        // Requests that arrived together share a transaction.
        tokio::time::sleep(Duration::from_millis(2)).await;
        while batch.len() < BATCH {
            let Ok(next) = requests.try_recv() else { break };
            // A condition on a row would not see another write of it in the same transaction.
            if batch.iter().any(|(writes, _)| overlap(writes, &next.0)) {
                held = Some(next);
                break;
            }
            batch.push(next);
        }
        apply(&*table, batch).await;
        let instances = u32::try_from(hub.links().len() + 1).unwrap_or(u32::MAX);
        tokio::time::sleep(GAP * instances).await;
    }
}

fn overlap(a: &[Write], b: &[Write]) -> bool {
    a.iter().any(|x| b.iter().any(|y| x.key == y.key))
}

/// Writes a batch; a request whose condition fails is taken out and the rest tried again.
async fn apply(table: &dyn Table, mut batch: Vec<(Vec<Write>, Answer)>) {
    while !batch.is_empty() {
        let writes = batch.iter().flat_map(|(writes, _)| writes.iter().cloned());
        let result = table.transact(writes.collect()).await.map(drop);
        let rest = match &result {
            Err(Error::Conflict { key }) => {
                let hit = |(writes, _): &(Vec<Write>, Answer)| writes.iter().any(|w| w.key == *key);
                batch.extract_if(.., |request| !hit(request)).collect()
            }
            _ => Vec::new(),
        };
        for (_, answer) in batch.drain(..) {
            drop(answer.send(result.clone()));
        }
        batch = rest;
    }
}
