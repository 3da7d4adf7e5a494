use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::{Dispatcher, lock};
use crate::clock::Instant;
use crate::fleet::{ServiceId, Snapshot};
use crate::platform::Instance;
use crate::pools::Roster;
use crate::route::Targets;

/// Targets of the services, from the platform's list and the pools of the instances.
impl Dispatcher {
    /// Replaces the platform's list of instances and updates the targets from it.
    pub fn set_instances(self: &Arc<Self>, list: Arc<[Instance]>, now: Instant) {
        *self.instances.write().expect("instances lock") = Some(list);
        if let Some(current) = self.enforced().first() {
            self.update_targets(current, now);
        }
        self.dispatch_waiting(now);
    }

    /// Returns whether the platform's list of instances was read at least once.
    pub fn has_instances(&self) -> bool {
        self.instances.read().expect("instances lock").is_some()
    }

    /// Replaces the pools and phases of the instances and updates the targets from them.
    pub fn set_roster(self: &Arc<Self>, roster: Arc<Roster>, now: Instant) {
        let version = roster.version();
        *self.roster.write().expect("roster lock") = roster;
        if let Some(current) = self.enforced().first() {
            self.update_targets(current, now);
        }
        self.assigned.store(version, Ordering::Release);
        self.dispatch_waiting(now);
    }

    /// Returns the pools and phases in force.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.read().expect("roster lock").clone()
    }

    /// Returns the version of the roster that calls are granted under; no older one is used any
    /// more.
    pub fn roster_version(&self) -> u64 {
        self.assigned.load(Ordering::Acquire)
    }

    /// Updates the targets of each service from the platform's list and the pools of the instances.
    ///
    /// The pool in the fleet document counts only until the instance has an assignment in the
    /// roster. An instance that is draining or moving to another pool is not a target.
    pub(super) fn update_targets(&self, current: &Snapshot, now: Instant) {
        let Some(list) = self.instances.read().expect("instances lock").clone() else {
            return;
        };
        let _guard = self.sync_lock.lock().expect("synchronisation lock");
        let roster = self.roster();
        let pool_of = |instance: &Instance| match roster.get(&instance.name) {
            Some(membership) => current
                .pool_id(&membership.pool)
                .filter(|_| membership.takes_calls()),
            None => current.pool_of(&instance.name),
        };
        for (id, service) in current.services() {
            let pool = current.service_pool(id);
            let in_pool: Vec<&Instance> = list
                .iter()
                .filter(|i| pool.is_some() && pool_of(i) == pool)
                .collect();
            let upstream = self.upstream_or_new(id, service.slots);
            lock(&upstream)
                .targets
                .set_instances(&in_pool, current, now);
        }
    }

    /// Runs `read` on the targets of a service; returns `None` for an unknown service.
    pub fn with_targets<T>(
        &self,
        service: ServiceId,
        read: impl FnOnce(&Targets) -> T,
    ) -> Option<T> {
        self.upstream(service)
            .map(|upstream| read(&lock(&upstream).targets))
    }

    /// Returns whether any service has a target at the address.
    pub fn has_target(&self, address: SocketAddr) -> bool {
        let known = |targets: &Targets| targets.iter().any(|(_, t)| t.address == address);
        self.upstreams()
            .iter()
            .any(|(_, upstream)| known(&lock(upstream).targets))
    }
}
