use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::{JobKey, Machine, State};
use crate::clock::Instant;
use crate::collections::Map;

/// Time in which waiting work is to be done by the machines that are added for it.
const CATCH_UP: Duration = Duration::from_millis(1_500);

/// Time without need after which a borrowed machine leaves its pool.
const IDLE_FOR: Duration = Duration::from_millis(1_200);

/// Further time after which a borrowed machine is switched off, unless another pool needs it.
const SPARE_AFTER: Duration = Duration::from_millis(4_000);

/// Time for which a machine that moves is counted as on its way.
const ARRIVE_WITHIN: Duration = Duration::from_secs(6);

/// Time for which a machine is left alone whose move was refused.
const REFUSED_FOR: Duration = Duration::from_secs(3);

/// Fewest machines that one service may borrow, whatever its size.
const MIN_BORROWABLE: usize = 6;

/// A machine on its way to a pool.
#[derive(Clone, Debug)]
pub(super) struct Trip {
    pub(super) to: Arc<str>,
    pub(super) since: Instant,
}

/// Machines that follow the demand.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    pub(super) machines: Map<Arc<str>, Machine>,
    /// Pool of each machine that is away from its pool.
    homes: Map<Arc<str>, Arc<str>>,
    trips: Map<Arc<str>, Trip>,
    refused: Map<Arc<str>, Instant>,
}

impl Pools {
    /// Returns whether a machine is lent to the pool in which it is.
    pub(super) fn is_borrowed(&self, machine: &Arc<str>) -> bool {
        self.homes.contains_key(machine)
    }
}

impl Engine {
    /// Sets the machines that the platform lists.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        let named = machines.into_iter().map(|m| (m.name.clone(), m));
        self.pools.machines = named.collect();
    }

    /// Takes over which machines the last leader has lent: machine and its pool.
    pub fn inherit_homes(&mut self, homes: &[(Arc<str>, Arc<str>)]) {
        self.pools.homes.extend(homes.iter().cloned());
    }

    /// Returns which machines are lent, with their pools, for the next leader.
    pub fn homes(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let homes = self.pools.homes.iter();
        homes
            .map(|(machine, pool)| (machine.clone(), pool.clone()))
            .collect()
    }

    /// Counts the work of a job that arrived.
    pub(super) fn count_arrival(&mut self, key: JobKey, now: Instant) {
        let job = &self.jobs[key];
        let steps = job.record.spec.steps.iter().filter(|step| !step.lasting);
        let work = steps.map(|s| u64::from(s.count) * s.charge().processors * s.estimate_ms);
        let work = work.sum();
        let service = job.service.clone();
        self.demand.entry(service).or_default().arrive(work, now);
    }

    /// Returns the processors, in thousandths, that each service lacks (positive) or has idle.
    fn shortages(&mut self, now: Instant) -> Map<Arc<str>, i64> {
        let mut shortages: Map<Arc<str>, i64> = Map::default();
        let mut waiting: Map<Arc<str>, u64> = Map::default();
        let mut lasting: Map<Arc<str>, u64> = Map::default();
        for job in self.jobs.values().filter(|job| job.state == State::Queued) {
            let steps = job.record.spec.steps.iter().filter(|step| !step.lasting);
            let work = steps.map(|s| u64::from(s.count) * s.charge().processors * s.estimate_ms);
            *waiting.entry(job.service.clone()).or_default() += work.sum::<u64>();
        }
        for run in self.runs.values().filter(|run| run.lasting) {
            if let Some(worker) = self.workers.get(run.worker) {
                let service = worker.offer.service.clone();
                *lasting.entry(service).or_default() += run.charge.processors;
            }
        }
        let catch_up = u64::try_from(CATCH_UP.as_millis()).unwrap_or(1);
        let services: Vec<Arc<str>> = self
            .config
            .routes
            .iter()
            .map(|r| r.service.clone())
            .collect();
        for service in services {
            let here = |w: &&Worker| *w.offer.service == *service && self.may_start(w, now);
            let capacity: u64 = (self.workers.values().filter(here))
                .map(|w| w.offer.capacity.processors)
                .sum();
            let trips = self
                .pools
                .trips
                .iter()
                .filter(|(_, trip)| trip.to == service);
            let coming: u64 = trips
                .filter_map(|(machine, _)| Some(self.pools.machines.get(machine)?.processors))
                .sum();
            let demand = self.demand.entry(service.clone()).or_default();
            let wanted = demand.rate(now)
                + waiting.get(&service).copied().unwrap_or_default() / catch_up
                + lasting.get(&service).copied().unwrap_or_default();
            let lack = i64::try_from(wanted).unwrap_or(i64::MAX / 2)
                - i64::try_from(capacity + coming).unwrap_or(i64::MAX / 2);
            if lack > 0 {
                demand.wanted = now;
            }
            shortages.insert(service, lack);
        }
        shortages
    }

    /// Chooses machines that move now: machine and pool. They are empty, or their worker is kept
    /// free of starts until they are.
    pub fn relocations(&mut self, now: Instant) -> Vec<(Arc<str>, Arc<str>)> {
        self.note_arrivals(now);
        let mut shortages: Vec<(i64, Arc<str>)> = self
            .shortages(now)
            .into_iter()
            .map(|(service, lack)| (lack, service))
            .collect();
        shortages.sort_by(|a, b| b.cmp(a));
        let mut moves = Vec::new();
        let mut free = self.free_machines(now);
        for (mut lack, service) in shortages {
            let mut borrowed = self.borrowed_by(&service);
            let most = self.borrowable(&service);
            while lack > 0 && borrowed < most {
                let place = free.iter().position(|machine| {
                    let known = &self.pools.machines[machine];
                    known.pool != service && !self.out.contains(&known.data_centre)
                });
                let Some(machine) = place.map(|place| free.remove(place)) else {
                    break;
                };
                lack -= i64::try_from(self.pools.machines[&machine].processors).unwrap_or(0);
                borrowed += 1;
                moves.push((machine, service.clone()));
            }
        }
        for machine in free {
            let known = &self.pools.machines[&machine];
            let idle = self
                .demand
                .get(&known.pool)
                .map_or(Duration::MAX, |d| now.since(d.wanted));
            if let Some(home) = self.pools.homes.get(&machine)
                && idle > IDLE_FOR + SPARE_AFTER
            {
                moves.push((machine.clone(), home.clone()));
            }
        }
        moves
    }

    /// Returns how many machines a service may borrow: two thirds of its own.
    fn borrowable(&self, service: &Arc<str>) -> usize {
        let machines = self.pools.machines.values().filter(|m| m.pool == *service);
        let own = machines
            .filter(|m| !self.pools.is_borrowed(&m.name))
            .count();
        (own * 2 / 3).max(MIN_BORROWABLE)
    }

    fn borrowed_by(&self, service: &Arc<str>) -> usize {
        let trips = self
            .pools
            .trips
            .values()
            .filter(|trip| trip.to == *service)
            .count();
        let here = self.pools.homes.keys().filter(|machine| {
            !self.pools.trips.contains_key(*machine)
                && self
                    .pools
                    .machines
                    .get(*machine)
                    .is_some_and(|m| m.pool == *service)
        });
        trips + here.count()
    }

    /// Lists machines that may move now: those of spare pools, and lent ones that nobody needs.
    fn free_machines(&mut self, now: Instant) -> Vec<Arc<str>> {
        let mut free = Vec::new();
        let mut emptied = Vec::new();
        for machine in self.pools.machines.values() {
            let held = self.pools.trips.contains_key(&machine.name)
                || self
                    .pools
                    .refused
                    .get(&machine.name)
                    .is_some_and(|until| *until > now)
                || self.waves.iter().any(|w| {
                    w.emptying.contains_key(&machine.name) || w.down.contains_key(&machine.name)
                });
            if held || !machine.up {
                continue;
            }
            if self.config.spares.contains(&machine.pool) {
                free.push(machine.name.clone());
                continue;
            }
            let needed = self.demand.get(&machine.pool);
            let needed = needed.is_some_and(|demand| now.since(demand.wanted) <= IDLE_FOR);
            if needed || !self.pools.homes.contains_key(&machine.name) {
                continue;
            }
            let worker = self
                .workers
                .iter()
                .find(|(_, w)| w.offer.machine == machine.name);
            match worker {
                Some((key, worker)) if worker.runs.iter().all(|run| !self.runs[*run].lasting) => {
                    emptied.push(key);
                    if worker.runs.is_empty() && self.has_stored_ends(worker) {
                        free.push(machine.name.clone());
                    }
                }
                Some(_) | None => {}
            }
        }
        for (key, worker) in &mut self.workers {
            worker.leaving = emptied.contains(&key);
        }
        free.sort();
        free
    }

    /// Takes note that a machine moves; everything that ran there has ended.
    pub fn relocated(&mut self, machine: &Arc<str>, to: &Arc<str>, now: Instant) {
        let Some(known) = self.pools.machines.get_mut(machine) else {
            return;
        };
        let from = std::mem::replace(&mut known.pool, to.clone());
        if self.pools.homes.get(machine) == Some(to) {
            self.pools.homes.remove(machine);
        } else {
            self.pools.homes.entry(machine.clone()).or_insert(from);
        }
        let trip = Trip {
            to: to.clone(),
            since: now,
        };
        self.pools.trips.insert(machine.clone(), trip);
        for worker in self.workers.values_mut() {
            if worker.offer.machine == *machine {
                worker.gone = true;
            }
        }
    }

    /// Takes note that a machine cannot move now.
    pub fn relocation_refused(&mut self, machine: &Arc<str>, now: Instant) {
        self.pools
            .refused
            .insert(machine.clone(), now + REFUSED_FOR);
    }

    fn note_arrivals(&mut self, now: Instant) {
        let workers = &self.workers;
        let spares = &self.config.spares;
        self.pools.trips.retain(|machine, trip| {
            let arrived = workers.values().any(|w| {
                w.offer.machine == *machine && w.offer.service == trip.to && w.heard.is_some()
            });
            let off = spares.contains(&trip.to) && now.since(trip.since) > Duration::from_secs(2);
            !arrived && !off && now.since(trip.since) < ARRIVE_WITHIN
        });
    }
}
