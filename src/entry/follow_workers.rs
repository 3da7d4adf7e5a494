use std::sync::Arc;
use std::time::Duration;

use super::listing::Listing;
use super::shared::{STORE_TIMEOUT, Shared};
use super::term::Term;
use crate::platform::api::{Fault, Feed, Row, Store};

/// Time for which one call of the change feed waits for changes.
const FEED_WAIT: Duration = Duration::from_secs(2);

/// Delay after a response: workers write often, and few of the changes are urgent.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Time that workers get to register again after a failure of the store, during which their
/// entries may have expired. A worker that is still not listed then counts as gone.
const REREAD_DELAY: Duration = Duration::from_millis(2_500);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Passes the list of workers to the engine while this instance leads.
pub(super) async fn follow_workers(shared: Arc<Shared>, term: Arc<Term>) {
    let mut failed = false;
    let mut listing = Listing::default();
    loop {
        if let Err(fault) = follow(&shared, &term, &mut listing, failed).await {
            log::debug!(event = "workers-feed-failed", fault:% = fault; "");
            tokio::time::sleep(RETRY_DELAY).await;
            failed = true;
        } else {
            failed = false;
        }
    }
}

async fn follow(
    shared: &Shared,
    term: &Term,
    listing: &mut Listing,
    after_failure: bool,
) -> Result<(), Fault> {
    let (rows, mut version) = read(shared).await?;
    if after_failure {
        // Entries of workers may have expired while the store was unreachable. Workers write them
        // again within a short time, so none is removed before the second read.
        rows.iter().for_each(|row| apply_row(term, listing, row));
        tokio::time::sleep(REREAD_DELAY).await;
        let (rows, reread_version) = read(shared).await?;
        version = reread_version;
        replace_workers(term, listing, &rows);
    } else {
        replace_workers(term, listing, &rows);
    }
    loop {
        match shared
            .store
            .feed(Store::WORKERS, version, FEED_WAIT)
            .await?
        {
            Feed::Gone => return Ok(()),
            Feed::Changes(rows, next) => {
                version = next;
                rows.iter().for_each(|row| apply_row(term, listing, row));
                wake_tasks(term);
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
    }
}

async fn read(shared: &Shared) -> Result<(Vec<Row>, u64), Fault> {
    shared
        .store
        .read(Store::WORKERS, "", "", "", STORE_TIMEOUT)
        .await
}

fn replace_workers(term: &Term, listing: &mut Listing, rows: &[Row]) {
    let profiles = rows.iter().filter_map(|row| listing.decode(row)).collect();
    term.engine().set_workers(profiles);
    wake_tasks(term);
}

/// Wakes the tasks that place work on workers and that store new workers as members.
fn wake_tasks(term: &Term) {
    term.placement_wake.notify_one();
    if term.engine().has_unstored_members() {
        term.renewal_wake.notify_one();
    }
}

fn apply_row(term: &Term, listing: &mut Listing, row: &Row) {
    // Workers register outside of any partition; the feed covers the whole table.
    if !row.part.is_empty() {
        return;
    }
    match listing.decode(row) {
        Some(profile) => {
            term.engine().update_worker(profile);
        }
        None => term.engine().mark_delisted(&row.key),
    }
}
