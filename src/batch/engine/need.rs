use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::{JobKey, State};
use crate::clock::Instant;
use crate::collections::Map;

/// Time within which added machines should work off the waiting work.
const CATCH_UP: Duration = Duration::from_millis(1_500);

/// Processor demand of one service compared with what it has.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) service: Arc<str>,
    /// Processors that the service is short of, in thousandths.
    pub(super) lack: u64,
    /// Machines that the service can do without.
    pub(super) releasable: usize,
}

impl Engine {
    /// Counts the work of an arrived job.
    pub(super) fn count_arrival(&mut self, key: JobKey, now: Instant) {
        let job = &self.jobs[key];
        let (service, work) = (job.service.clone(), job.work());
        self.demand.entry(service).or_default().arrive(work, now);
    }

    /// Returns the shortage and the dispensable machines of each service that has a queue, the
    /// largest shortage first.
    pub(super) fn needs(&mut self, now: Instant) -> Vec<Need> {
        let waiting = self.waiting_work();
        let lasting = self.lasting_use();
        let routes = self.config.routes.iter();
        let mut services: Vec<Arc<str>> = routes.map(|r| r.service.clone()).collect();
        services.sort();
        services.dedup();
        let catch_up = u64::try_from(CATCH_UP.as_millis()).unwrap_or(1);
        let mut needs = Vec::new();
        for service in services {
            let (capacity, count) = self.usable_processors(&service, now);
            let coming = self.coming_processors(&service);
            let own = self.own_processors(&service);
            let stuck = self.pools.lends(&service) && self.has_waiting_tasks(&service, now);
            let demand = self.demand.entry(service.clone()).or_default();
            let rate = demand.rate(now) + waiting.get(&service).copied().unwrap_or(0) / catch_up;
            demand.rhythm.observe(rate, own, now);
            let wanted = rate + lasting.get(&service).copied().unwrap_or(0);
            let machine = capacity / count.max(1);
            let spare = (capacity + coming).saturating_sub(wanted);
            if spare < machine.max(1) {
                demand.wanted = now;
            }
            needs.push(Need {
                lack: wanted
                    .saturating_sub(capacity + coming)
                    .max(u64::from(stuck)),
                releasable: usize::try_from(spare / machine.max(1)).unwrap_or(0),
                service,
            });
        }
        needs.sort_by_key(|need| std::cmp::Reverse(need.lack));
        needs
    }

    /// Sums up the work of jobs that have not started, by service.
    fn waiting_work(&self) -> Map<Arc<str>, u64> {
        let mut sums: Map<Arc<str>, u64> = Map::default();
        for job in self.jobs.values().filter(|job| job.state == State::Queued) {
            *sums.entry(job.service.clone()).or_default() += job.work();
        }
        sums
    }

    /// Sums up the processors of lasting tasks, by service.
    pub(super) fn lasting_use(&self) -> Map<Arc<str>, u64> {
        let mut sums: Map<Arc<str>, u64> = Map::default();
        for run in self.runs.values().filter(|run| run.lasting) {
            if let Some(worker) = self.workers.get(run.worker) {
                let service = worker.offer.service.clone();
                *sums.entry(service).or_default() += run.charge.processors;
            }
        }
        sums
    }

    /// Returns the processors, in thousandths, of the usable workers of a service, and the number
    /// of these workers.
    pub(super) fn usable_processors(&self, service: &Arc<str>, now: Instant) -> (u64, u64) {
        let here = |w: &&Worker| *w.offer.service == **service && self.is_usable(w, now);
        let here = self.workers.values().filter(here);
        here.fold((0, 0), |(sum, count), w| {
            (sum + w.offer.capacity.processors, count + 1)
        })
    }

    fn coming_processors(&self, service: &Arc<str>) -> u64 {
        let trips = self.pools.trips.iter();
        let trips = trips.filter(|(_, trip)| trip.to == *service);
        trips
            .filter_map(|(machine, _)| Some(self.pools.machines.get(machine)?.processors))
            .sum()
    }

    fn own_processors(&self, service: &Arc<str>) -> u64 {
        let machines = self.pools.machines.values();
        let own = machines.filter(|m| self.pools.home(m) == service);
        own.map(|m| m.processors).sum()
    }

    fn has_waiting_tasks(&self, service: &Arc<str>, now: Instant) -> bool {
        let places = self.open.get(service);
        places.is_some_and(|places| places.iter().any(|place| self.has_waiting(*place, now)))
    }
}
