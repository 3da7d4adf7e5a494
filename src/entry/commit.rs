use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::committed::Committed;
use super::row::JOBS;
use super::shared::{STORE_LIMIT, Shared};
use super::submission::Submission;
use crate::platform::api::{Expected, Outcome, Transaction};

/// Most jobs in one transaction.
const BATCH: usize = 20;

/// Pause before a transaction whose outcome is unknown is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time for which a transaction of unknown outcome is repeated.
const REPEAT_FOR: Duration = Duration::from_millis(2_600);

/// Stores the jobs of one partition, those that wait together in one transaction.
pub(super) async fn store(
    shared: Arc<Shared>,
    part: String,
    mut receiver: mpsc::Receiver<Submission>,
) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, BATCH).await > 0 {
        while !batch.is_empty() {
            store_batch(&shared, &part, &mut batch).await;
        }
    }
}

/// Sends one transaction until its outcome is known, and answers the submissions that it settles.
async fn store_batch(shared: &Shared, part: &str, batch: &mut Vec<Submission>) {
    let expected = batch.iter().map(|s| Expected {
        table: JOBS,
        key: s.key.clone(),
        version: 0,
    });
    // One request may be in a batch twice.
    let mut keys: Vec<&str> = batch.iter().map(|s| &*s.key).collect();
    keys.sort_unstable();
    if let Some(twice) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
        let key = twice[0].to_owned();
        let place = batch.iter().rposition(|s| s.key == key);
        if let Some(place) = place {
            // The caller asks again; the first of the two is under way.
            let _ = batch.remove(place).done.send(Committed::Unknown);
        }
        return;
    }
    let transaction = Transaction {
        part: part.to_owned(),
        expected: expected.collect(),
        puts: batch
            .iter()
            .map(|s| (JOBS, s.key.clone(), s.content.clone()))
            .collect(),
        deletes: Vec::new(),
    };
    let until = Instant::now() + REPEAT_FOR;
    let mut sent = false;
    loop {
        let result = shared.store.transact(&transaction, STORE_LIMIT).await;
        match result {
            Ok(Outcome::Applied(_)) => return settle(batch, |_| true, Committed::Stored),
            Ok(Outcome::Conflict(rows)) => {
                let stored = |key: &str| rows.iter().any(|r| &*r.key == key && r.version > 0);
                let before = batch.len();
                settle(batch, stored, Committed::Stored);
                if batch.len() == before {
                    settle(batch, |_| true, Committed::Unknown);
                }
                return;
            }
            Err(fault) if fault.is_harmless() && !sent => {
                log::warn!(event = "jobs-refused", jobs = batch.len(), fault:% = fault; "");
                return settle(batch, |_| true, Committed::Refused);
            }
            Err(fault) => {
                sent |= !fault.is_harmless();
                if Instant::now() > until {
                    log::warn!(event = "jobs-unknown", jobs = batch.len(), fault:% = fault; "");
                    return settle(batch, |_| true, Committed::Unknown);
                }
            }
        }
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

fn settle(batch: &mut Vec<Submission>, settled: impl Fn(&str) -> bool, result: Committed) {
    for submission in batch.extract_if(.., |s| settled(&s.key)) {
        // A caller that left needs no answer.
        let _ = submission.done.send(result);
    }
}
