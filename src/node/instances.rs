use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock::{self, Instant};
use crate::collections::Set;
use crate::platform::Instance;

/// Time between two reads of the platform's list of instances.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform's list of instances periodically: it gives the dispatcher its targets and
/// shows which voters have ended.
pub(super) async fn poll_instances(shared: Arc<Shared>) {
    loop {
        let started = clock::now();
        match shared.platform.listing.instances().await {
            Ok(instances) => apply_instances(&shared, instances, started),
            Err(error) => log::warn!(event = "list-read-failed", error:% = error; ""),
        }
        if shared.pause(READ_INTERVAL).await {
            return;
        }
    }
}

fn apply_instances(shared: &Shared, instances: Vec<Instance>, started: Instant) {
    let now = clock::now();
    let dispatcher = shared.control.dispatcher();
    let listed: Set<Arc<str>> = instances.iter().map(|i| i.name.clone()).collect();
    let instances: Arc<[Instance]> = instances.into();
    *shared.instances.lock().expect("instances lock") = instances.clone();
    // Without the assignments, the dispatcher might use a target that drains or has moved to
    // another pool.
    if shared.has_roster() {
        dispatcher.set_instances(instances.clone(), now);
    }
    shared
        .inventory
        .lock()
        .expect("inventory lock")
        .update(instances, started);
    shared
        .port
        .connections()
        .sweep(|address| dispatcher.has_target(address));
    let head = shared
        .control
        .read(|state| state.revision())
        .map(|r| r.head);
    let voters = head.as_ref().map_or(&[][..], |head| &head.voters);
    shared
        .control
        .with_presence(|p| p.on_list(now, started, voters, &listed));
}
