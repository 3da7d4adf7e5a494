//! The services that queues use besides those for which their jobs were accepted.

use std::sync::Arc;

use super::{Engine, Job};
use crate::batch::{JobKey, QueueService};

/// Lists of such services in the row of the leader. A successor reads them there, so that it waits for
/// the workers of each service on which a task may run.
#[derive(Debug, Default)]
pub(super) struct QueueServices {
    /// List for the latest renewal, and that of the latest one that is stored.
    latest: Vec<QueueService>,
    stored: Vec<QueueService>,
}

impl QueueServices {
    /// Returns whether the successor certainly finds an entry in the row.
    fn is_stored(&self, queue: &str, service: &str) -> bool {
        contains(&self.stored, queue, service) && contains(&self.latest, queue, service)
    }

    /// Returns whether the row contains an entry, or may contain it.
    fn may_contain(&self, queue: &str, service: &str) -> bool {
        contains(&self.stored, queue, service) || contains(&self.latest, queue, service)
    }

    /// Records that the list for the latest renewal is stored.
    pub(super) fn confirm(&mut self) {
        self.stored.clone_from(&self.latest);
    }
}

fn contains(list: &[QueueService], queue: &str, service: &str) -> bool {
    list.iter()
        .any(|entry| *entry.queue == *queue && *entry.service == *service)
}

impl Engine {
    /// Takes the list that the previous leader has stored.
    pub fn restore_queue_services(&mut self, services: Vec<QueueService>) {
        self.queue_services.latest = services;
        self.queue_services.confirm();
    }

    /// Lists the services for the next renewal. It counts as stored once [`Engine::record_renewal`]
    /// is called.
    pub fn queue_services(&mut self) -> Vec<QueueService> {
        let current = self.jobs.values().filter(|job| !job.state.is_final());
        let current = current.filter_map(|job| other_service(job, &job.service));
        let runs = self.runs.values().filter_map(|run| {
            let worker = self.workers.get(run.worker)?;
            other_service(self.jobs.get(run.job)?, &worker.profile.service)
        });
        let mut list: Vec<QueueService> = current.chain(runs).collect();
        if !self.uncontacted.is_empty() {
            // The runs of the previous leader are not all known yet.
            list.extend(self.queue_services.latest.iter().cloned());
        }
        list.sort_unstable();
        list.dedup();
        self.queue_services.latest.clone_from(&list);
        list
    }

    /// Returns whether tasks wait for a renewal that stores the service of their queue.
    pub fn has_unstored_queue_services(&self) -> bool {
        self.jobs
            .iter()
            .any(|(key, job)| !job.state.is_final() && !self.has_stored_service(key))
    }

    /// Returns whether a successor knows that tasks of a job may run on the service that its queue
    /// uses now. A leadership that does not expire has no successor.
    pub(super) fn has_stored_service(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        self.renewed_at.is_none()
            || job.service == job.record.service
            || (self.queue_services).is_stored(&job.record.route, &job.service)
    }

    /// Returns whether the previous leader may have started tasks of a job on workers of a service.
    pub(super) fn may_have_used(&self, job: &Job, service: &Arc<str>) -> bool {
        job.service == *service
            || job.record.service == *service
            || (self.queue_services).may_contain(&job.record.route, service)
    }
}

/// Returns the entry for a service that a job uses, unless the job was accepted for it.
fn other_service(job: &Job, service: &Arc<str>) -> Option<QueueService> {
    (job.record.service != *service).then(|| QueueService {
        queue: job.record.route.clone(),
        service: service.clone(),
    })
}
