use std::sync::Arc;
use std::time::Duration;

use super::Engine;
use super::demand::AVERAGING_WINDOW;
use crate::batch::admission::Throughput;
use crate::batch::{JobKey, State};
use crate::clock::Instant;
use crate::collections::Map;

/// Time within which added machines should work off the waiting work.
const CATCH_UP_TIME: Duration = Duration::from_millis(1_500);

/// Processor demand of one service compared with what it has.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) service: Arc<str>,
    /// Processors that the service is short of, in thousandths.
    pub(super) shortage: u64,
    /// Machines that the service can do without.
    pub(super) releasable: usize,
}

impl Engine {
    /// Counts the work of an arrived job.
    pub(super) fn count_arrival(&mut self, key: JobKey, now: Instant) {
        let job = &self.jobs[key];
        let (service, work) = (job.service.clone(), self.expected_work(job));
        if !job.over_rate && job.record.spec.occurrences == 0 {
            let place = (service.clone(), job.terms.priority);
            let arrived = self.arrived.entry(place);
            let arrived = arrived.or_insert_with(|| Throughput::over(AVERAGING_WINDOW));
            arrived.add(work, now);
        }
        self.demand
            .entry(service)
            .or_default()
            .add_arrival(work, now);
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
        let catch_up = u64::try_from(CATCH_UP_TIME.as_millis()).unwrap_or(1);
        let mut needs = Vec::new();
        for service in services {
            let (capacity, count) = self.usable_processors(&service, now);
            let arriving = self.arriving_processors(&service);
            let home_processors = self.home_processors(&service);
            let must_recall_lent =
                self.pools.has_lent_machines(&service) && self.has_waiting_tasks(&service, now);
            let demand = self.demand.entry(service.clone()).or_default();
            let current_demand = demand.required_processors(now)
                + waiting.get(&service).copied().unwrap_or(0) / catch_up;
            demand
                .bursts
                .record_demand(current_demand, home_processors, now);
            let required = current_demand + lasting.get(&service).copied().unwrap_or(0);
            let per_machine = capacity / count.max(1);
            let spare = (capacity + arriving).saturating_sub(required);
            if spare < per_machine.max(1) {
                demand.last_needed = now;
            }
            needs.push(Need {
                shortage: required
                    .saturating_sub(capacity + arriving)
                    .max(u64::from(must_recall_lent)),
                releasable: usize::try_from(spare / per_machine.max(1)).unwrap_or(0),
                service,
            });
        }
        needs.sort_by_key(|need| std::cmp::Reverse(need.shortage));
        needs
    }

    /// Sums up the work of jobs that have not started, by service.
    fn waiting_work(&self) -> Map<Arc<str>, u64> {
        let mut sums: Map<Arc<str>, u64> = Map::default();
        for job in self.jobs.values().filter(|job| job.state == State::Queued) {
            *sums.entry(job.service.clone()).or_default() += self.expected_work(job);
        }
        sums
    }

    /// Sums up the processors of lasting tasks, by service.
    pub(super) fn lasting_use(&self) -> Map<Arc<str>, u64> {
        let mut sums: Map<Arc<str>, u64> = Map::default();
        for run in self.runs.values().filter(|run| run.lasting) {
            if let Some(worker) = self.workers.get(run.worker) {
                let service = worker.profile.service.clone();
                *sums.entry(service).or_default() += run.reserved.processors;
            }
        }
        sums
    }

    /// Returns the processors, in thousandths, of the usable workers of a service, and the number
    /// of these workers.
    pub(super) fn usable_processors(&self, service: &Arc<str>, now: Instant) -> (u64, u64) {
        let workers = self.workers_of(service);
        let usable = workers.filter(|(_, worker)| self.is_usable(worker, now));
        usable.fold((0, 0), |(sum, count), (_, w)| {
            (sum + w.profile.capacity.processors, count + 1)
        })
    }

    pub(super) fn arriving_processors(&self, service: &Arc<str>) -> u64 {
        let transfers = self.pools.transfers.iter();
        let transfers = transfers.filter(|(_, transfer)| transfer.to == *service);
        transfers
            .filter_map(|(machine, _)| Some(self.pools.machines.get(machine)?.processors))
            .sum()
    }

    fn home_processors(&self, service: &Arc<str>) -> u64 {
        let machines = self.pools.machines.values();
        let home_machines = machines.filter(|m| self.pools.home(m) == service);
        home_machines.map(|m| m.processors).sum()
    }

    fn has_waiting_tasks(&self, service: &Arc<str>, now: Instant) -> bool {
        let stage_keys = self.ready_stages.get(service);
        stage_keys.is_some_and(|stage_keys| {
            stage_keys
                .iter()
                .any(|stage_key| self.has_startable_task(*stage_key, now))
        })
    }
}
