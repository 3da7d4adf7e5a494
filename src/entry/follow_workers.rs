use std::sync::Arc;
use std::time::Duration;

use super::shared::{STORE_LIMIT, Shared};
use super::term::Term;
use crate::platform::api::{Fault, Feed, Row, Store, decode_offer};

/// Time for which one call waits for changes.
const WAIT: Duration = Duration::from_secs(2);

/// Pause after an answer: workers write often, and little of it matters at once.
const GATHER: Duration = Duration::from_millis(250);

/// Time after which a worker whose entry lapsed while the store was away counts as gone.
const RETURN_WITHIN: Duration = Duration::from_millis(2_500);

/// Pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Hands the list of workers to the engine while this instance leads.
pub(super) async fn follow_workers(shared: Arc<Shared>, term: Arc<Term>) {
    let mut failed = false;
    loop {
        if let Err(fault) = follow(&shared, &term, failed).await {
            log::debug!(event = "workers-feed-failed", fault:% = fault; "");
            tokio::time::sleep(RETRY_AFTER).await;
            failed = true;
        } else {
            failed = false;
        }
    }
}

async fn follow(shared: &Shared, term: &Term, failed: bool) -> Result<(), Fault> {
    let (rows, mut version) = read(shared).await?;
    if failed {
        // Entries may have lapsed while the store was away; they return within a short time.
        rows.iter().for_each(|row| apply(term, row));
        tokio::time::sleep(RETURN_WITHIN).await;
        let (rows, again) = read(shared).await?;
        version = again;
        replace(term, &rows);
    } else {
        replace(term, &rows);
    }
    loop {
        match shared.store.feed(Store::WORKERS, version, WAIT).await? {
            Feed::Gone => return Ok(()),
            Feed::Changes(rows, next) => {
                version = next;
                rows.iter().for_each(|row| apply(term, row));
                term.placeable.notify_one();
                tokio::time::sleep(GATHER).await;
            }
        }
    }
}

async fn read(shared: &Shared) -> Result<(Vec<Row>, u64), Fault> {
    shared
        .store
        .read(Store::WORKERS, "", "", "", STORE_LIMIT)
        .await
}

fn replace(term: &Term, rows: &[Row]) {
    let offers = rows
        .iter()
        .filter_map(|row| decode_offer(&row.key, row.content.as_ref()?));
    term.engine().set_workers(offers.collect());
    term.placeable.notify_one();
}

fn apply(term: &Term, row: &Row) {
    let offer = row.content.as_ref().and_then(|c| decode_offer(&row.key, c));
    match offer {
        Some(offer) => {
            term.engine().offer(offer);
        }
        None => term.engine().withdraw(&row.key),
    }
}
