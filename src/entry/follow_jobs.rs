use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;

use super::load;
use super::row::JOBS;
use super::shared::Shared;
use super::term::Term;
use crate::platform::api::{Fault, Feed, Row};

/// Time for which one call of the change feed waits for new jobs.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// Delay after a response with jobs, so that a burst takes few calls.
const BATCH_DELAY: Duration = Duration::from_millis(12);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Passes new jobs and cancellations to the engine while this instance leads.
pub(super) async fn follow_jobs(shared: Arc<Shared>, term: Arc<Term>) {
    let mut version = term.loaded_version;
    loop {
        if let Err(fault) = follow(&shared, &term, &mut version).await {
            log::debug!(event = "jobs-feed-failed", fault:% = fault; "");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Follows the changes after `version`. When the store no longer has the history since then, reads
/// all jobs again.
async fn follow(shared: &Shared, term: &Term, version: &mut u64) -> Result<(), Fault> {
    loop {
        match shared.store.feed(JOBS, *version, FEED_WAIT).await? {
            Feed::Gone => {
                log::info!(event = "jobs-history-expired", version = *version; "");
                *version = read_all(shared, term).await;
            }
            Feed::Changes(rows, next) => {
                *version = next;
                apply_changes(term, &rows, next);
                if rows.is_empty() {
                    continue;
                }
                term.placement_wake.notify_one();
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
    }
}

/// Passes the changes up to `version` to the engine.
fn apply_changes(term: &Term, rows: &[Row], version: u64) {
    let mut engine = term.engine();
    let mut deletions = term.deletions();
    for row in rows {
        load::apply_job_row(&mut engine, &mut deletions, row, &row.part, None);
    }
    engine.forget_deleted(version);
}

/// Reads all jobs again, because the engine may have missed some. The others are unchanged: the
/// engine knows those in progress and all ended ones that may still be read.
async fn read_all(shared: &Shared, term: &Term) -> u64 {
    let partitions = load::read_all_jobs(shared).await;
    for rows in load::in_order(&partitions).chunks(load::ROWS_PER_TURN) {
        {
            let (mut engine, mut deletions) = (term.engine(), term.deletions());
            for (row, partition) in rows {
                load::apply_job_row(&mut engine, &mut deletions, row, partition, None);
            }
        }
        yield_now().await;
    }
    term.placement_wake.notify_one();
    let versions = partitions.iter().map(|jobs| jobs.version);
    versions.min().unwrap_or_default()
}
