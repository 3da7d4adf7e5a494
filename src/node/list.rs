use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock::{self, Instant};
use crate::collections::Set;
use crate::platform::Instance;

/// Time between two readings of the platform's list.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Reads the platform's list: targets for the dispatcher, and which voters have ended.
pub(super) async fn list(shared: Arc<Shared>) {
    loop {
        let started = clock::now();
        match shared.platform.listing.instances().await {
            Ok(instances) => take(&shared, instances, started),
            Err(error) => log::warn!(event = "list-read-failed", error:% = error; ""),
        }
        if shared.pause(READ_EVERY).await {
            return;
        }
    }
}

fn take(shared: &Shared, instances: Vec<Instance>, started: Instant) {
    let now = clock::now();
    let dispatcher = shared.control.dispatcher();
    let shown: Set<Arc<str>> = instances.iter().map(|i| i.name.clone()).collect();
    // Without the assignments a target might be used that drains or has moved.
    let instances: Arc<[Instance]> = instances.into();
    *shared.instances.lock().expect("instances lock") = instances.clone();
    if shared.has_roster() {
        dispatcher.list(instances.clone(), now);
    }
    shared
        .sightings
        .lock()
        .expect("sightings lock")
        .take(instances, started);
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
        .with_presence(|p| p.on_list(now, started, voters, &shown));
}
