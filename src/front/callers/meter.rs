use std::sync::{Arc, RwLock};
use std::time::Duration;

use metrics::{Counter, Histogram, counter, histogram};

use crate::collections::Map;
use crate::fleet::{ServiceId, Snapshot, WorkspaceId};

/// Metrics of the calls of one workspace to one service.
#[derive(Clone)]
pub(super) struct Meter {
    queue: Histogram,
    service: Histogram,
    added: Histogram,
    answered: Counter,
}

impl Meter {
    /// Records an answered call: time in the queue, time at the target and time added by us.
    pub(super) fn record(&self, queue: Duration, service: Duration, total: Duration) {
        self.queue.record(queue);
        self.service.record(service);
        self.added
            .record(total.saturating_sub(service).saturating_sub(queue));
        self.answered.increment(1);
    }
}

/// Handles to all meters, so that a call needs no registry look-up.
#[derive(Default)]
pub(super) struct Meters(RwLock<Map<(ServiceId, WorkspaceId), Meter>>);

impl Meters {
    pub(super) fn get(
        &self,
        snapshot: &Snapshot,
        service: ServiceId,
        workspace: WorkspaceId,
    ) -> Meter {
        if let Some(meter) = self
            .0
            .read()
            .expect("meters lock")
            .get(&(service, workspace))
        {
            return meter.clone();
        }
        let meter = make(snapshot, service, workspace);
        self.0
            .write()
            .expect("meters lock")
            .insert((service, workspace), meter.clone());
        meter
    }
}

fn make(snapshot: &Snapshot, service: ServiceId, workspace: WorkspaceId) -> Meter {
    let name = |name: Option<&Arc<str>>| name.map_or(String::new(), |n| n.to_string());
    let service = name(snapshot.service(service).map(|s| &s.name));
    let workspace = name(snapshot.workspace(workspace).map(|t| &t.name));
    let labels = [("service", service), ("workspace", workspace)];
    Meter {
        queue: histogram!("call_queue_seconds", &labels),
        service: histogram!("call_service_seconds", &labels),
        added: histogram!("call_added_seconds", &labels),
        answered: counter!("calls_answered_total", &labels),
    }
}
