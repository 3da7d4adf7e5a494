use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::client::Client;
use super::entry::{Entry, Phase};
use super::gate::Gate;
use super::handle::Handle;
use super::holder::Holder;
use crate::clock::Instant;
use crate::fleet::{DataCentreId, Snapshot};
use crate::jobs::{Action, Outcome};
use crate::platform::{Instance, State};

/// Longest time for which the platform's list may lack a live instance.
const LIST_LAG: Duration = Duration::from_secs(30);

impl Holder {
    /// Applies the enforced configuration and the platform's instance list.
    pub(super) fn reconcile(&mut self, now: Instant) {
        let enforced = self.gate.shared.control.dispatcher().enforced();
        let Some(current) = enforced.first() else {
            return;
        };
        if self.applied_version != current.version() {
            self.applied_version = current.version();
            for (id, workspace) in current.workspaces() {
                self.scheduler
                    .set_workspace(id, workspace.share, workspace.limit);
            }
        }
        self.reconcile_data_centres(&enforced, now);
        self.reconcile_workers(current, now);
        self.remove_ended_workers(now);
    }

    fn reconcile_data_centres(&mut self, enforced: &[Arc<Snapshot>], now: Instant) {
        let documents = enforced.iter().filter_map(|s| s.document());
        let names = documents.flat_map(|d| &d.data_centres).map(|d| &d.name);
        let ids = names.filter_map(|name| enforced.iter().find_map(|s| s.data_centre_id(name)));
        let out = |id: &DataCentreId| enforced.iter().any(|s| !s.is_in(*id));
        let mut out_of_service: Vec<DataCentreId> = ids.filter(out).collect();
        out_of_service.sort();
        out_of_service.dedup();
        if out_of_service == self.out_of_service {
            return;
        }
        let before = std::mem::replace(&mut self.out_of_service, out_of_service.clone());
        let mut actions: Vec<Action> = Vec::new();
        for id in before.iter().filter(|id| !out_of_service.contains(id)) {
            actions.extend(self.scheduler.set_out_of_service(*id, false, now));
        }
        for id in out_of_service.iter().filter(|id| !before.contains(id)) {
            actions.extend(self.scheduler.set_out_of_service(*id, true, now));
        }
        self.apply_actions(&actions);
    }

    /// Starts or updates a client for each listed worker of the pool.
    fn reconcile_workers(&mut self, current: &Snapshot, now: Instant) {
        let queue = current.queue_id(&self.gate.queue);
        let Some(pool) = queue.and_then(|q| current.pool_id(&current.queue(q)?.pool)) else {
            return;
        };
        let instances = self.gate.shared.instances();
        for instance in instances
            .iter()
            .filter(|i| current.pool_of(&i.name) == Some(pool))
        {
            self.reconcile_worker(instance, now);
        }
    }

    fn reconcile_worker(&mut self, instance: &Instance, now: Instant) {
        let Some(events) = self.events.clone() else {
            return;
        };
        let live = instance.state == State::Live;
        let name = &instance.name;
        let same_address = |handle: &Handle| handle.address == instance.address;
        let keep = self.workers.get(name).is_some_and(same_address) || self.is_worker_busy(name);
        if let Some(handle) = self.workers.get_mut(name).filter(|_| keep) {
            (handle.listed_at, handle.live) = (now, live);
            self.update_availability(name, now);
            return;
        }
        // A worker with a new address is a new worker for the scheduler.
        if let Some((old, _)) = self.workers.remove(name).and_then(|s| s.ready) {
            let _ = self.scheduler.worker_leaving(old, now);
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let gate: Arc<Gate> = self.gate.clone();
        let data_centre = &instance.data_centre;
        let client = Client::new(name, data_centre, instance.address, gate, events);
        tokio::spawn(client.run(receiver));
        let handle = Handle {
            address: instance.address,
            commands,
            ready: None,
            listed_at: now,
            available: true,
            live,
            reachable: true,
        };
        self.workers.insert(name.clone(), handle);
    }

    fn is_worker_busy(&self, worker: &Arc<str>) -> bool {
        let on_worker = |e: &Entry| e.record.worker.as_ref() == Some(worker);
        let mut runs = self.entries.values().filter(|e| e.phase != Phase::Waiting);
        runs.any(on_worker)
    }

    /// Makes a worker available to the scheduler while it is listed, live and reachable.
    pub(super) fn update_availability(&mut self, name: &Arc<str>, now: Instant) {
        let Some(handle) = self.workers.get_mut(name) else {
            return;
        };
        let available = handle.live && handle.reachable && now.since(handle.listed_at) < LIST_LAG;
        let Some((worker, _)) = handle.ready.filter(|_| handle.available != available) else {
            return;
        };
        handle.available = available;
        if available {
            self.scheduler.worker_rejoined(worker);
        } else {
            let actions = self.scheduler.worker_leaving(worker, now);
            self.apply_actions(&actions);
        }
    }

    /// Removes workers that have been missing from the list for longer than [`LIST_LAG`], so they
    /// have ended. While the list cannot be read, all workers are kept.
    fn remove_ended_workers(&mut self, now: Instant) {
        let newest = self.workers.values().map(|s| s.listed_at).max();
        let is_gone =
            |handle: &Handle| newest.is_some_and(|n| n.since(handle.listed_at) > LIST_LAG);
        let ended: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, handle)| is_gone(handle))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            self.update_availability(&name, now);
            let on_worker = |e: &Entry| e.record.worker.as_ref() == Some(&name);
            let runs: Vec<_> = self
                .entries
                .iter()
                .filter(|(_, e)| on_worker(e) && e.phase == Phase::Active)
                .map(|(id, e)| (id.clone(), e.record.run))
                .collect();
            for (id, run) in runs {
                self.end_run(&id, run, Outcome::Stopped, 0, now);
            }
            self.workers.remove(&name);
        }
    }

    /// Returns whether enough worker sizes are known to refuse a job as too large.
    pub(super) fn knows_worker_sizes(&self, now: Instant) -> bool {
        // After this time the workers that have not responded are ignored.
        let timed_out = now.since(self.taken_over_at) > Duration::from_secs(3);
        let ready = self.workers.values().filter(|s| s.ready.is_some()).count();
        ready > 0 && (timed_out || ready == self.workers.len())
    }

    /// Returns whether the worker of an inherited run has provably ended; `since` is when the run
    /// was read.
    pub(super) fn has_worker_ended(&self, worker: &str, since: Instant, now: Instant) -> bool {
        !self.workers.contains_key(worker)
            && !self.workers.is_empty()
            && now.since(since) > LIST_LAG
    }
}
