//! The outlook that the leader publishes for admission.

use std::sync::Arc;
use std::time::Duration;

use super::relocate::{KEPT_FRACTION, MIN_BORROWABLE, MIN_QUIET_TO_LEND};
use super::{Engine, Job};
use crate::batch::admission::{Backlog, Outlook, QueueForecast, Supply, Throughput, USEFUL_FACTOR};
use crate::batch::{JobKey, Route};
use crate::clock::Instant;
use crate::collections::Map;

/// Time over which completed work is averaged: several tasks of usual length.
const COMPLETION_WINDOW: Duration = Duration::from_secs(2);

/// Work by service and priority.
type Backlogs = Map<(Arc<str>, u32), Backlog>;

impl Engine {
    /// Returns what the queues can bear in the next seconds. `store_ms` is the time on the clock of
    /// the store, 0 if unknown.
    pub fn outlook(&mut self, store_ms: u64, wall_ms: u64, now: Instant) -> Outlook {
        let backlogs = self.backlogs(wall_ms);
        let config = self.config.clone();
        let lasting = self.lasting_use();
        let mut supplies: Map<Arc<str>, Supply> = Map::default();
        let mut queues = Vec::new();
        for route in &config.routes {
            let mut backlog = Backlog::default();
            let before = backlogs.iter().filter(|((service, priority), _)| {
                *service == route.service && *priority <= route.priority
            });
            before.for_each(|(_, part)| backlog += *part);
            if backlog.is_empty() {
                continue;
            }
            let service = &route.service;
            if !supplies.contains_key(service) {
                let supply = Supply {
                    lasting: lasting.get(service).copied().unwrap_or(0),
                    ..self.supply(service, now)
                };
                supplies.insert(service.clone(), supply);
            }
            let forecast = QueueForecast::new(&route.name, &backlog, &supplies[service]);
            queues.extend(forecast.map(|forecast| self.add_rhythm(forecast, route, now)));
        }
        let second = wall_ms / 1_000;
        let weight = |workspace: &Arc<str>| {
            let workspace = config.workspaces.get(workspace);
            workspace.map_or(0, |workspace| workspace.weight)
        };
        let mut over_rate: Vec<(Arc<str>, u64)> = Vec::new();
        if !queues.is_empty() {
            let exhausted = self.submissions.exhausted(second, weight);
            over_rate.extend(exhausted.map(|workspace| (workspace, second)));
            over_rate.sort();
        }
        Outlook {
            token: self.token,
            made_ms: store_ms,
            queues,
            over_rate,
        }
        .bounded()
    }

    /// Records that a task was completed.
    pub(super) fn count_completion(&mut self, key: JobKey, step: usize, now: Instant) {
        let job = &self.jobs[key];
        let Some(step) = job.record.spec.steps.get(step) else {
            return;
        };
        let (service, work) = (job.service.clone(), self.task_work(job, step) as u64);
        let completed = self.completed.entry(service);
        let completed = completed.or_insert_with(|| Throughput::over(COMPLETION_WINDOW));
        completed.add(work, now);
    }

    /// Adds the arrivals that go before new jobs of a queue, and the rhythm of its service.
    fn add_rhythm(
        &mut self,
        forecast: QueueForecast,
        route: &Route,
        now: Instant,
    ) -> QueueForecast {
        let before = self.arrived.iter_mut().filter(|((service, priority), _)| {
            *service == route.service && *priority <= route.priority
        });
        let arriving = before.map(|(_, arrived)| arrived.processors(now)).sum();
        let demand = self.demand.get(&route.service);
        let burst = demand.and_then(|demand| demand.bursts.remaining_burst(now));
        QueueForecast {
            arriving,
            burst_ms: burst.map(|burst| u64::try_from(burst.as_millis()).unwrap_or(u64::MAX)),
            ..forecast
        }
    }

    /// Sums up the remaining work of all jobs but lasting ones and those with start times. Waiting
    /// jobs that are of no use any more do not count: they are placed after all others.
    fn backlogs(&self, wall_ms: u64) -> Backlogs {
        // A run is on average half done.
        let mut done: Map<JobKey, u64> = Map::default();
        for run in self.runs.values().filter(|run| !run.lasting) {
            let Some(job) = self.jobs.get(run.job) else {
                continue;
            };
            let step = job.record.spec.steps.get(run.task.step as usize);
            let work = step.map_or(0.0, |step| self.task_work(job, step));
            *done.entry(run.job).or_default() += work as u64 / 2;
        }
        let mut backlogs = Backlogs::default();
        for (key, job) in &self.jobs {
            let steps = &job.record.spec.steps;
            if job.state.is_final()
                || job.record.spec.occurrences > 0
                || steps.iter().any(|step| step.lasting)
            {
                continue;
            }
            let work = (self.remaining_work(job) as u64)
                .saturating_sub(done.get(&key).copied().unwrap_or_default());
            if !job.is_started() && (self.waits_for_quota(job) || self.is_expired(job, wall_ms)) {
                continue;
            }
            let place = (job.service.clone(), job.terms.priority);
            let backlog = backlogs.entry(place).or_default();
            if job.is_started() {
                backlog.start(work);
            } else if job.over_rate {
                backlog.exceed(work);
            } else if self.is_postponed(key, wall_ms) {
                backlog.postpone(work);
            } else {
                backlog.keep(work);
            }
        }
        backlogs
    }

    /// Returns whether a job is deferred for others or can no longer meet its objective.
    fn is_postponed(&self, key: JobKey, wall_ms: u64) -> bool {
        let job = &self.jobs[key];
        let deferral = self.deferrals.get(&job.service);
        let deferred = deferral.is_some_and(|deferral| deferral.jobs.contains(&key));
        deferred || self.time_left(job, 1, wall_ms) < self.remaining_time(job)
    }

    /// Returns whether the maximum of its workspace keeps a job from starting. It then takes no
    /// processors from others.
    fn waits_for_quota(&self, job: &Job) -> bool {
        let workspace = &job.record.workspace;
        let usage = self.usage.get(workspace).copied().unwrap_or_default();
        let workspace = self.config.workspaces.get(workspace);
        let mut steps = job.record.spec.steps.iter();
        workspace.is_some_and(|w| steps.any(|step| !w.admits(usage, step.reserved())))
    }

    /// Returns the processors that serve a service, without those of lasting tasks.
    fn supply(&mut self, service: &Arc<str>, now: Instant) -> Supply {
        let workers = self.workers_of(service);
        let startable = workers.filter(|(_, worker)| self.may_start(worker, now));
        let (processors, used) = startable.fold((0, 0), |(processors, used), (_, worker)| {
            let capacity = worker.profile.capacity.processors;
            (processors + capacity, used + worker.used.processors)
        });
        let completed = self.completed.get_mut(service);
        let finished = completed.map_or(0, |completed| completed.processors(now));
        Supply {
            processors,
            used,
            reachable: self.reachable_processors(service, now),
            finished,
            ..Supply::default()
        }
    }

    /// Returns the processors of machines that move to a service, or may be moved there while it is
    /// short of them. Several services may count on the same machine.
    fn reachable_processors(&self, service: &Arc<str>, now: Instant) -> u64 {
        let spares = &self.config.spare_services;
        let (mut own, mut others, mut count) = (0u64, 0.0, 0usize);
        for machine in self.pools.machines.values() {
            let home = self.pools.home(machine);
            if machine.pool == *service || self.excluded_data_centres.contains(&machine.data_centre)
            {
                continue;
            }
            if home == service {
                own += machine.processors;
                continue;
            }
            let is_spare = spares.contains(home) && spares.contains(&machine.pool);
            let is_quiet = self.quiet_time_of(home, now) >= MIN_QUIET_TO_LEND;
            if is_spare || is_quiet {
                let is_at_home = machine.pool == *home && !is_spare;
                let fraction = if is_at_home { KEPT_FRACTION } else { 1.0 };
                others += machine.processors as f64 * fraction;
                count += 1;
            }
        }
        let limit = self.own_machines(service).max(MIN_BORROWABLE);
        let left = limit.saturating_sub(self.borrowed_by(service));
        let share = left.min(count) as f64 / count.max(1) as f64;
        self.arriving_processors(service) + own + (others * share) as u64
    }

    /// Returns whether a job can no longer end within three times its objective.
    fn is_expired(&self, job: &Job, wall_ms: u64) -> bool {
        self.time_left(job, USEFUL_FACTOR, wall_ms) < self.remaining_time(job)
    }

    /// Returns the time left until a multiple of the objective; zero if it has passed.
    fn time_left(&self, job: &Job, factor: u32, wall_ms: u64) -> Duration {
        let elapsed = Duration::from_millis(wall_ms.saturating_sub(job.record.arrived_ms));
        let whole = self.objective(job).saturating_mul(factor);
        whole.saturating_sub(elapsed)
    }
}
