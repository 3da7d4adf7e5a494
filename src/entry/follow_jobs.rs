use std::sync::Arc;
use std::time::Duration;

use super::load;
use super::part;
use super::row::{self, JOBS, PROGRESS};
use super::shared::{STORE_LIMIT, Shared};
use super::term::Term;
use crate::collections::Map;
use crate::platform::api::{Fault, Feed, Row};

/// Time for which one call waits for new jobs.
const WAIT: Duration = Duration::from_secs(1);

/// Pause after an answer with jobs, so that a burst takes few calls.
const GATHER: Duration = Duration::from_millis(12);

/// Pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Hands new jobs and cancellations to the engine while this instance leads.
pub(super) async fn follow_jobs(shared: Arc<Shared>, term: Arc<Term>) {
    loop {
        if let Err(fault) = follow(&shared, &term).await {
            log::debug!(event = "jobs-feed-failed", fault:% = fault; "");
            tokio::time::sleep(RETRY_AFTER).await;
        }
    }
}

async fn follow(shared: &Shared, term: &Term) -> Result<(), Fault> {
    let mut version = read_all(shared, term).await?;
    loop {
        match shared.store.feed(JOBS, version, WAIT).await? {
            Feed::Gone => return Ok(()),
            Feed::Changes(rows, next) => {
                version = next;
                if rows.is_empty() {
                    continue;
                }
                take_all(term, &rows);
                term.placeable.notify_one();
                tokio::time::sleep(GATHER).await;
            }
        }
    }
}

fn take_all(term: &Term, rows: &[Row]) {
    let mut engine = term.engine();
    rows.iter()
        .for_each(|row| load::take(&mut engine, row, None));
}

/// Reads all jobs again, since the engine may have missed some. Jobs that it knows stay as they
/// are; one that has ended is recognised by its progress.
async fn read_all(shared: &Shared, term: &Term) -> Result<u64, Fault> {
    let mut version = u64::MAX;
    for part in part::all() {
        let (jobs, at) = shared.store.read(JOBS, &part, "", "", STORE_LIMIT).await?;
        version = version.min(at);
        let (progress, _) = shared
            .store
            .read(PROGRESS, &part, "", "", STORE_LIMIT)
            .await?;
        let progress: Map<_, _> = progress.iter().map(|row| (row.key.clone(), row)).collect();
        let mut engine = term.engine();
        for job in &jobs {
            let known = progress.get(&job.key).and_then(|row| row.content.as_ref());
            let known = known.and_then(|content| row::decode(&job.key, content));
            load::take(&mut engine, job, known);
        }
    }
    term.placeable.notify_one();
    Ok(version)
}
