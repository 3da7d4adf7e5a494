//! Jobs of the queues that this instance holds.
//!
//! One task per queue ([`queue`]) leases the queue and owns its [`holder::Holder`]; one task per
//! worker ([`worker`]) owns the connection to it. They talk over channels.

mod batch;
mod decide;
mod entry;
mod gate;
mod holder;
mod line;
mod load;
mod need;
mod news;
mod order;
mod queue;
mod report;
mod run;
mod settle;
mod site;
mod store;
mod sync;
mod task;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Shared;
use crate::collections::Map;

/// Time between two looks at the queues of the configuration.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Longest term of a task's lease: long enough for the next holder to take the queue over before
/// the task stops.
const LEASE: Duration = Duration::from_secs(6);

/// Added to the end of a lease before a task counts as ended: difference between clocks of two
/// machines over one lease, with a wide margin.
const GRACE: Duration = Duration::from_millis(500);

/// Runs one task for each queue of the configuration until the instance stops.
pub(super) async fn work(shared: Arc<Shared>) {
    let mut queues: Map<Arc<str>, JoinHandle<()>> = Map::default();
    loop {
        if let Some(current) = shared.control.current() {
            let document = current.document();
            for queue in document.iter().flat_map(|d| &d.queues) {
                let ended = queues.get(&queue.name).is_none_or(JoinHandle::is_finished);
                if ended {
                    let task = queue::queue(shared.clone(), queue.name.clone());
                    queues.insert(queue.name.clone(), tokio::spawn(task));
                }
            }
        }
        if shared.pause(LOOK_EVERY).await {
            break;
        }
    }
    for (_, task) in queues {
        drop(task.await);
    }
}
