use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::acceptance::Acceptance;
use super::row::{self, JOBS};
use super::shared::{STORE_TIMEOUT, Shared};
use super::submission::Submission;
use crate::intake::Partition;
use crate::platform::api::{Outcome, Precondition, Row, Transaction};

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 20;

/// Delay before a transaction with unknown outcome is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a transaction with unknown outcome is retried.
const RETRY_FOR: Duration = Duration::from_millis(2_600);

/// Stores the jobs that wait for one partition, batching them into transactions, until none are
/// left.
pub(super) async fn store(shared: Arc<Shared>, partition: Partition) {
    let name = partition.name();
    loop {
        let mut batch = shared.committer.take(partition, MAX_BATCH_JOBS);
        if batch.is_empty() {
            return;
        }
        while !batch.is_empty() {
            store_batch(&shared, &name, &mut batch).await;
        }
    }
}

/// Sends one transaction until its outcome is known or the retry time is over, and replies to the
/// submissions whose result is known.
async fn store_batch(shared: &Shared, partition: &str, batch: &mut Vec<Submission>) {
    // The write may be carried out late, so it also depends on the job not being cancelled.
    let keys = batch.iter();
    let keys = keys.flat_map(|s| [s.key.clone(), row::cancel_key(&s.key)]);
    let expected = keys.map(|key| Precondition {
        table: JOBS,
        key,
        version: 0,
    });
    // A caller that repeats a request may have the same job in a batch twice.
    let mut keys: Vec<&str> = batch.iter().map(|s| &*s.key).collect();
    keys.sort_unstable();
    if let Some(duplicate) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
        let key = duplicate[0].to_owned();
        let position = batch.iter().rposition(|s| s.key == key);
        if let Some(position) = position {
            // The first of the two is about to be stored; for the other the outcome is unknown, so
            // that the caller repeats the request.
            let _ = batch.remove(position).reply.send(Acceptance::Unknown);
        }
        return;
    }
    let transaction = Transaction {
        part: partition.to_owned(),
        expected: expected.collect(),
        puts: batch
            .iter()
            .map(|s| (JOBS, s.key.clone(), s.content.clone()))
            .collect(),
        deletes: Vec::new(),
    };
    let deadline = Instant::now() + RETRY_FOR;
    let mut may_be_stored = false;
    loop {
        let result = shared.store.transact(&transaction, STORE_TIMEOUT).await;
        match result {
            Ok(Outcome::Applied(_)) => return reply_to(batch, |_| true, Acceptance::Stored),
            Ok(Outcome::Conflict(rows)) => {
                let count = batch.len();
                reply_to(batch, |job| contains(&rows, job), Acceptance::Stored);
                let is_cancelled = |job: &str| contains(&rows, &row::cancel_key(job));
                reply_to(batch, is_cancelled, Acceptance::Cancelled);
                if batch.len() == count {
                    reply_to(batch, |_| true, Acceptance::Unknown);
                }
                return;
            }
            Err(fault) if fault.had_no_effect() && !may_be_stored => {
                log::warn!(event = "jobs-refused", jobs = batch.len(), fault:% = fault; "");
                return reply_to(batch, |_| true, Acceptance::Refused);
            }
            Err(fault) => {
                may_be_stored |= !fault.had_no_effect();
                if Instant::now() > deadline {
                    log::warn!(event = "jobs-unknown", jobs = batch.len(), fault:% = fault; "");
                    return reply_to(batch, |_| true, Acceptance::Unknown);
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn contains(rows: &[Row], key: &str) -> bool {
    rows.iter().any(|row| &*row.key == key && row.version > 0)
}

fn reply_to(batch: &mut Vec<Submission>, is_known: impl Fn(&str) -> bool, result: Acceptance) {
    for submission in batch.extract_if(.., |s| is_known(&s.key)) {
        // Fails when the caller has disconnected and needs no result.
        let _ = submission.reply.send(result);
    }
}
