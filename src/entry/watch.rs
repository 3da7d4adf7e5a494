use std::sync::Arc;
use std::time::Duration;

use super::shared::{STORE_LIMIT, Shared};
use crate::clock;
use crate::platform::api::{Fault, Feed, Store};

/// Time for which one call waits for news from operators. It bounds how old the knowledge of an
/// instance is, so it stays well below the bound on changes of the configuration.
const WAIT: Duration = Duration::from_millis(700);

/// Pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Follows what operators ask for until the instance stops.
pub(super) async fn watch(shared: Arc<Shared>) {
    let mut failing = false;
    loop {
        let fault = match follow(&shared, &mut failing).await {
            Ok(()) => continue,
            Err(fault) => fault,
        };
        if !std::mem::replace(&mut failing, true) {
            log::warn!(event = "store-lost", fault:% = fault; "");
        }
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

/// Reads everything and then the changes, until a call fails or the history is gone.
async fn follow(shared: &Shared, failing: &mut bool) -> Result<(), Fault> {
    let store = &shared.store;
    let sent = clock::now();
    let (rows, mut version) = store
        .read(Store::OPERATORS, "", "", "", STORE_LIMIT)
        .await?;
    shared
        .desired
        .lock()
        .expect("desired lock")
        .replace(&rows, sent);
    if std::mem::replace(failing, false) {
        log::info!(event = "store-regained"; "");
    }
    loop {
        let sent = clock::now();
        match store.feed(Store::OPERATORS, version, WAIT).await? {
            Feed::Gone => return Ok(()),
            Feed::Changes(rows, next) => {
                version = next;
                let mut desired = shared.desired.lock().expect("desired lock");
                rows.iter().for_each(|row| desired.apply(row, clock::now()));
                // An answer without changes tells that there were none until it was written; the
                // time at which the call was sent is certain.
                desired.hear(if rows.is_empty() {
                    sent + WAIT.mul_f64(0.9)
                } else {
                    sent
                });
            }
        }
    }
}
