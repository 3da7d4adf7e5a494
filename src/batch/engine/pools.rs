use std::sync::Arc;
use std::time::Duration;

use super::Engine;
use crate::batch::Machine;
use crate::clock::Instant;
use crate::collections::Map;

/// Time after which a moving machine is no longer expected to arrive.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time before a machine that was switched off may move again.
const SWITCH_OFF_TIME: Duration = Duration::from_secs(2);

/// Time before a machine may move again after a move was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);

/// A machine in transit to another pool.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) to: Arc<str>,
    pub(super) since: Instant,
}

/// The machines and the pools that they are currently in.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    pub(super) machines: Map<Arc<str>, Machine>,
    /// Home pool of each machine that is in another pool.
    homes: Map<Arc<str>, Arc<str>>,
    pub(super) transfers: Map<Arc<str>, Transfer>,
    refused_until: Map<Arc<str>, Instant>,
}

impl Pools {
    /// Returns whether a machine is lent to the pool that it is currently in.
    pub(super) fn is_lent(&self, machine: &Arc<str>) -> bool {
        self.homes.contains_key(machine)
    }

    /// Returns the home pool of a machine.
    pub(super) fn home<'a>(&'a self, machine: &'a Machine) -> &'a Arc<str> {
        self.homes.get(&machine.name).unwrap_or(&machine.pool)
    }

    /// Returns whether machines of a service are in other pools.
    pub(super) fn has_lent_machines(&self, service: &Arc<str>) -> bool {
        self.homes.values().any(|home| home == service)
    }

    /// Returns whether a machine is in transit, or a move of it was refused recently.
    pub(super) fn is_blocked(&self, machine: &Arc<str>, now: Instant) -> bool {
        let refused_until = self.refused_until.get(machine);
        self.transfers.contains_key(machine) || refused_until.is_some_and(|until| *until > now)
    }
}

impl Engine {
    /// Sets the machines listed by the platform, all of them.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        let named = machines.into_iter().map(|m| (m.name.clone(), m));
        self.pools.machines = named.collect();
        self.count_absences();
    }

    /// Restores the home pools of the machines that the previous leader has lent: machine and home
    /// pool.
    pub fn restore_lent_machines(&mut self, homes: &[(Arc<str>, Arc<str>)]) {
        self.pools.homes.extend(homes.iter().cloned());
    }

    /// Returns the lent machines with their home pools, for the next leader.
    pub fn lent_machines(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let homes = self.pools.homes.iter();
        homes
            .map(|(machine, pool)| (machine.clone(), pool.clone()))
            .collect()
    }

    /// Records that a machine is moving to another pool, which ends everything that ran on it.
    pub fn record_move(&mut self, machine: &Arc<str>, to: &Arc<str>, now: Instant) {
        let Some(known) = self.pools.machines.get_mut(machine) else {
            return;
        };
        let from = std::mem::replace(&mut known.pool, to.clone());
        if self.pools.homes.get(machine) == Some(to) {
            self.pools.homes.remove(machine);
        } else {
            self.pools.homes.entry(machine.clone()).or_insert(from);
        }
        let transfer = Transfer {
            to: to.clone(),
            since: now,
        };
        self.pools.transfers.insert(machine.clone(), transfer);
        for worker in self.workers.values_mut() {
            if worker.profile.machine == *machine {
                worker.delisted = true;
            }
        }
    }

    /// Records that a move of a machine was refused.
    pub fn record_refused_move(&mut self, machine: &Arc<str>, now: Instant) {
        self.pools
            .refused_until
            .insert(machine.clone(), now + REFUSED_PAUSE);
    }

    pub(super) fn drop_finished_transfers(&mut self, now: Instant) {
        let workers = &self.workers;
        let spares = &self.config.spare_services;
        self.pools.transfers.retain(|machine, transfer| {
            let has_arrived = workers.values().any(|w| {
                w.profile.machine == *machine
                    && w.profile.service == transfer.to
                    && w.answered_at.is_some()
            });
            let is_off =
                spares.contains(&transfer.to) && now.since(transfer.since) > SWITCH_OFF_TIME;
            !has_arrived && !is_off && now.since(transfer.since) < TRANSFER_TIMEOUT
        });
    }
}
