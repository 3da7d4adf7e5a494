use std::sync::Arc;

use super::Engine;
use crate::batch::Load;
use crate::clock::Instant;
use crate::collections::Map;

impl Engine {
    /// Returns the number of workers, their processors and the tasks of each service, sorted by
    /// service name.
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads: Map<Arc<str>, Load> = Map::default();
        for worker in self.workers.values() {
            let load = loads.entry(worker.profile.service.clone()).or_default();
            load.running += worker.runs.len();
            if self.may_start(worker, now) {
                load.workers += 1;
                load.processors += worker.profile.capacity.processors;
                load.used += worker.used.processors;
            } else {
                load.unusable += 1;
            }
        }
        for (service, stage_keys) in &self.ready_stages {
            let stages = stage_keys.iter();
            let stages = stages.filter_map(|p| self.stage(p.job, p.occurrence, p.step));
            let waiting = stages.flat_map(|stage| &stage.tasks);
            let waiting = waiting.filter(|task| task.is_waiting(now)).count();
            loads.entry(service.clone()).or_default().waiting += waiting;
        }
        let named = loads
            .into_iter()
            .map(|(service, load)| Load { service, ..load });
        let mut loads: Vec<Load> = named.collect();
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }
}
