use std::sync::Arc;
use std::time::Duration;

use futures_util::future::try_join_all;

use super::load;
use super::partition;
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
                *version = read_all(shared, term).await?;
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
    rows.iter()
        .for_each(|row| load::apply_job_row(&mut engine, row, None));
    engine.forget_deleted(version);
}

/// Reads all jobs again, because the engine may have missed some. The others are unchanged: the
/// engine knows those in progress and all ended ones that may still be read.
async fn read_all(shared: &Shared, term: &Term) -> Result<u64, Fault> {
    let names: Vec<String> = partition::all().collect();
    let reads = names.iter().map(|name| load::read_jobs(shared, name));
    let partitions = try_join_all(reads).await?;
    partitions
        .iter()
        .for_each(|jobs| load::load_jobs(&mut term.engine(), jobs));
    term.placement_wake.notify_one();
    Ok(partitions
        .iter()
        .map(|jobs| jobs.version)
        .min()
        .unwrap_or_default())
}
