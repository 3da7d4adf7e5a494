//! Runs the jobs of the queues whose lease this instance holds.
//!
//! One task per queue ([`queue`]) leases the queue and owns its [`holder::Holder`]; one task per
//! worker ([`client`]) owns the connection to that worker. They communicate over channels.

mod batch;
mod client;
mod command;
mod connection;
mod entry;
mod event;
mod execution;
mod gate;
mod handle;
mod holder;
mod lease;
mod lifecycle;
mod load;
mod permits;
mod queue;
mod reconcile;
mod renewal;
mod report;
mod request;
mod resources;
mod schedule;
mod store;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Shared;
use crate::collections::Map;

/// Time between two checks for queues added to the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest lease of a run: long enough for the next holder to take the queue over before the run
/// stops.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// Time after the end of a lease before a run counts as ended. Allows, with a wide margin, for
/// the drift between the clocks of two machines during one lease.
const LEASE_GRACE: Duration = Duration::from_millis(500);

/// Runs one task for each configured queue until the instance stops; restarts tasks that ended.
pub(super) async fn work(shared: Arc<Shared>) {
    let mut queues: Map<Arc<str>, JoinHandle<()>> = Map::default();
    loop {
        if let Some(current) = shared.control.current() {
            let document = current.document();
            for queue in document.iter().flat_map(|d| &d.queues) {
                let ended = queues.get(&queue.name).is_none_or(JoinHandle::is_finished);
                if ended {
                    let task = queue::run(shared.clone(), queue.name.clone());
                    queues.insert(queue.name.clone(), tokio::spawn(task));
                }
            }
        }
        if shared.pause(CHECK_INTERVAL).await {
            break;
        }
    }
    for (_, task) in queues {
        drop(task.await);
    }
}

/// Returns a duration in the unit of the protocol of workers.
fn millis(lease: Duration) -> u64 {
    u64::try_from(lease.as_millis()).unwrap_or(u64::MAX)
}
