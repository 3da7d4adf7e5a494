use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::pools::Roster;

/// Time between two reads of the changed rows.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two reads of all rows, which also find the rows that operators changed by hand.
///
/// With 2,300 instances, a full read takes 3 calls and about 0.6 MB, which is 1 KB/s on average.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(600);

/// Reads the pools and phases of the instances periodically and passes them to the dispatcher.
pub(super) async fn poll_assignments(shared: Arc<Shared>) {
    let mut roster = Roster::default();
    let mut last_full = None;
    loop {
        let now = clock::now();
        let full = last_full.is_none_or(|at| now.since(at) >= FULL_READ_INTERVAL);
        match roster.read(&*shared.platform.table, full).await {
            Ok(changed) => {
                if full {
                    last_full = Some(now);
                }
                if changed {
                    let roster = Arc::new(roster.clone());
                    shared.control.dispatcher().set_roster(roster, clock::now());
                }
                shared.roster_loaded.store(true, Ordering::Release);
            }
            Err(error) => log::warn!(event = "assignment-read-failed", error:% = error; ""),
        }
        if shared
            .pause_until(&shared.roster_wanted, READ_INTERVAL)
            .await
        {
            return;
        }
    }
}
