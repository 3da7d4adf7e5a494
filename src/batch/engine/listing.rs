//! The workers that the store lists.

use std::sync::Arc;

use super::{Engine, Worker};
use crate::batch::{Profile, WorkerKey};
use crate::clock::Instant;
use crate::collections::Set;

impl Engine {
    /// Sets the workers listed in the store.
    pub fn set_workers(&mut self, profiles: Vec<Profile>) {
        let listed: Set<Arc<str>> = profiles.iter().map(|p| p.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.set_delisted(!listed.contains(&worker.profile.id));
        }
        profiles.into_iter().for_each(|profile| {
            self.update_worker(profile);
        });
    }

    /// Adds a worker, or updates what it reports about itself.
    pub fn update_worker(&mut self, profile: Profile) -> WorkerKey {
        if let Some(&key) = self.worker_ids.get(&profile.id) {
            let worker = &mut self.workers[key];
            worker.set_delisted(false);
            let service = profile.service.clone();
            let previous = std::mem::replace(&mut worker.profile, profile).service;
            if previous != service {
                self.leave_service(key, &previous);
                self.service_workers.entry(service).or_default().push(key);
            }
            self.update_membership(key);
            return key;
        }
        let (id, service) = (profile.id.clone(), profile.service.clone());
        let key = self.workers.insert(Worker::new(profile));
        self.worker_ids.insert(id, key);
        self.service_workers.entry(service).or_default().push(key);
        self.update_membership(key);
        key
    }

    /// Removes a worker of which nothing is left to do.
    pub(super) fn remove_worker(&mut self, key: WorkerKey) {
        self.unwanted_on.remove(&key);
        if let Some(worker) = self.workers.remove(key) {
            log::info!(event = "worker-removed", worker = worker.profile.id; "");
            self.worker_ids.remove(&worker.profile.id);
            self.leave_service(key, &worker.profile.service);
        }
    }

    fn leave_service(&mut self, key: WorkerKey, service: &Arc<str>) {
        if let Some(workers) = self.service_workers.get_mut(service) {
            workers.retain(|other| *other != key);
        }
    }

    /// Lists the workers of a service.
    pub(super) fn workers_of(&self, service: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.service_workers.get(service).into_iter().flatten();
        keys.map(|key| (*key, &self.workers[*key]))
    }

    /// Records that the store no longer lists a worker.
    pub fn mark_delisted(&mut self, id: &str) {
        if let Some(&key) = self.worker_ids.get(id) {
            self.workers[key].set_delisted(true);
        }
    }

    /// Records that an order to shut down a machine was accepted.
    pub(super) fn record_shutdown(&mut self, machine: &Arc<str>, now: Instant) {
        let workers = self.workers.values_mut();
        let on_machine = workers.filter(|worker| worker.profile.machine == *machine);
        on_machine.for_each(|worker| worker.record_shutdown(now));
    }

    /// Lists workers again whose machines were shut down and that the store still lists.
    pub(super) fn verify_shutdowns(&mut self, now: Instant) {
        let workers = self.workers.values_mut();
        workers.for_each(|worker| worker.verify_shutdown(now));
    }

    /// Returns the workers to contact: key, id and address.
    pub fn worker_addresses(&self) -> Vec<(WorkerKey, Arc<str>, Arc<str>)> {
        self.addresses_of_others(|_| false)
    }

    /// Returns the workers to contact without those that are known already: key, id and address.
    pub fn addresses_of_others(
        &self,
        is_known: impl Fn(WorkerKey) -> bool,
    ) -> Vec<(WorkerKey, Arc<str>, Arc<str>)> {
        let others = self.workers.iter().filter(|(key, _)| !is_known(*key));
        let contact =
            |(key, w): (WorkerKey, &Worker)| (key, w.profile.id.clone(), w.profile.address.clone());
        others.map(contact).collect()
    }

    /// Returns the address of a worker.
    pub fn address_of(&self, key: WorkerKey) -> Option<&Arc<str>> {
        let worker = self.workers.get(key)?;
        Some(&worker.profile.address)
    }
}
