use std::sync::Arc;
use std::time::Duration;

use super::shared::{STORE_TIMEOUT, Shared};
use crate::clock;
use crate::platform::api::{Fault, Feed, Store};

/// Time for which one call of the change feed waits for changes by operators. The configuration may
/// get this old between two responses, so it is well below the time within which a configuration
/// must be in force.
const FEED_WAIT: Duration = Duration::from_millis(700);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps the state that operators request up to date until the instance stops.
pub(super) async fn follow_desired(shared: Arc<Shared>) {
    let mut failing = false;
    loop {
        let fault = match follow(&shared, &mut failing).await {
            Ok(()) => continue,
            Err(fault) => fault,
        };
        if !std::mem::replace(&mut failing, true) {
            log::warn!(event = "store-lost", fault:% = fault; "");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads all rows of the operators and then their changes, until a call fails or the store no
/// longer has the history.
async fn follow(shared: &Shared, failing: &mut bool) -> Result<(), Fault> {
    let store = &shared.store;
    let sent = clock::now();
    let (rows, mut version) = store
        .read(Store::OPERATORS, "", "", "", STORE_TIMEOUT)
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
        match store.feed(Store::OPERATORS, version, FEED_WAIT).await? {
            Feed::Gone => return Ok(()),
            Feed::Changes(rows, next) => {
                version = next;
                let mut desired = shared.desired.lock().expect("desired lock");
                rows.iter().for_each(|row| desired.apply(row, clock::now()));
                // A response without changes shows that there were none until it was written, about
                // one wait after the call. A response with changes only shows that all changes
                // before the call are known.
                desired.advance_known_until(if rows.is_empty() {
                    sent + FEED_WAIT.mul_f64(0.9)
                } else {
                    sent
                });
            }
        }
    }
}
