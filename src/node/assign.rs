use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::pools::Roster;

/// Time between two readings of what changed.
const READ_EVERY: Duration = Duration::from_millis(900);

/// Time between two readings of all rows, for those that operators changed by hand.
///
/// At 2,300 instances one reading takes 3 reads and about 0.6 MB, 1 KB/s at this pace.
const WHOLE_EVERY: Duration = Duration::from_secs(600);

/// Reads the pools and phases of the instances for the dispatcher.
pub(super) async fn assign(shared: Arc<Shared>) {
    let mut roster = Roster::default();
    let mut last_whole = None;
    loop {
        let now = clock::now();
        let whole = last_whole.is_none_or(|at| now.since(at) >= WHOLE_EVERY);
        match roster.read(&*shared.platform.table, whole).await {
            Ok(changed) => {
                if whole {
                    last_whole = Some(now);
                }
                if changed {
                    let roster = Arc::new(roster.clone());
                    shared.control.dispatcher().assign(roster, clock::now());
                }
                shared.roster_read.store(true, Ordering::Release);
            }
            Err(error) => log::warn!(event = "assignment-read-failed", error:% = error; ""),
        }
        if shared.pause_unless(&shared.roster_wanted, READ_EVERY).await {
            return;
        }
    }
}
