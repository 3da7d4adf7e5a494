use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::collections::Set;

/// Time between two readings of the platform's list.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Reads the platform's list: targets for the dispatcher, and which voters have ended.
pub(super) async fn list(shared: Arc<Shared>) {
    loop {
        let started = clock::now();
        match shared.platform.listing.instances().await {
            Ok(instances) => {
                let now = clock::now();
                if let Some(current) = shared.control.current() {
                    shared
                        .control
                        .dispatcher()
                        .sync_targets(&current, &instances, now);
                }
                let dispatcher = shared.control.dispatcher();
                shared
                    .port
                    .connections()
                    .sweep(|address| dispatcher.has_target(address));
                let voters = shared.control.read(|state| {
                    state
                        .revision()
                        .map(|r| r.head.voters.clone())
                        .unwrap_or_default()
                });
                let shown: Set<Arc<str>> = instances.into_iter().map(|i| i.name).collect();
                shared
                    .control
                    .with_presence(|p| p.on_list(now, started, &voters, &shown));
            }
            Err(error) => log::warn!(event = "list-read-failed", error:% = error; ""),
        }
        if shared.pause(READ_EVERY).await {
            return;
        }
    }
}
