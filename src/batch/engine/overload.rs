use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use super::{Deferral, Engine, Job};
use crate::batch::JobKey;
use crate::clock::Instant;
use crate::collections::Set;

/// Fraction of the processors of a pool that waiting work can use: tasks that need many processors
/// leave gaps.
const USABLE_FRACTION: f64 = 0.85;

/// Time for which a selection of deferred jobs stays valid.
const SELECTION_VALID_FOR: Duration = Duration::from_millis(100);

/// A waiting job, as seen by the selection of deferred jobs.
struct WaitingJob {
    key: JobKey,
    /// Milliseconds left until its objective.
    left_ms: f64,
    /// Unfinished work, in thousandths of a processor times milliseconds.
    work: f64,
    started: bool,
}

impl Engine {
    /// Selects the jobs of a service to defer when not all of them can meet their objectives.
    ///
    /// This handles bursts larger than the pool: if jobs ran strictly in the order of their
    /// deadlines, all of them would be slightly late. Jobs are taken in that order; whenever one
    /// would be late, the largest job taken so far that has not started is left out, which leaves
    /// out the fewest jobs.
    pub(super) fn update_deferral(&mut self, service: &Arc<str>, now: Instant, wall_ms: u64) {
        let previous = self.deferrals.get(service);
        if previous.is_some_and(|previous| now.since(previous.selected_at) < SELECTION_VALID_FOR) {
            return;
        }
        let jobs = self.jobs_to_defer(service, now, wall_ms);
        let deferral = Deferral {
            selected_at: now,
            jobs,
        };
        self.deferrals.insert(service.clone(), deferral);
    }

    fn jobs_to_defer(&self, service: &Arc<str>, now: Instant, wall_ms: u64) -> Set<JobKey> {
        let (capacity, _) = self.usable_processors(service, now);
        let lasting = self.lasting_use().get(service).copied().unwrap_or(0);
        let usable = capacity.saturating_sub(lasting) as f64 * USABLE_FRACTION;
        let mut jobs = self.waiting_jobs(service, wall_ms);
        jobs.sort_by(|a, b| a.left_ms.total_cmp(&b.left_ms));
        let mut deferred = Set::default();
        let mut taken: BinaryHeap<(u64, usize)> = BinaryHeap::new();
        let mut work = 0.0;
        for (position, job) in jobs.iter().enumerate() {
            work += job.work;
            if !job.started {
                taken.push((job.work as u64, position));
            }
            while work > job.left_ms * usable {
                let Some((_, largest)) = taken.pop() else {
                    break;
                };
                work -= jobs[largest].work;
                deferred.insert(jobs[largest].key);
            }
        }
        deferred
    }

    /// Lists the jobs of a service that have ready steps and can still meet their objective.
    fn waiting_jobs(&self, service: &Arc<str>, wall_ms: u64) -> Vec<WaitingJob> {
        let stage_keys = self
            .ready_stages
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        let keys: Set<JobKey> = stage_keys.iter().map(|stage_key| stage_key.job).collect();
        let jobs = keys.into_iter().filter_map(|key| {
            let job = &self.jobs[key];
            if job.over_rate {
                return None;
            }
            if job.record.spec.occurrences > 0 || job.record.spec.steps.iter().any(|s| s.lasting) {
                return None;
            }
            let due_ms = job.record.arrived_ms as f64 + job.terms.objective.as_secs_f64() * 1_000.0;
            let left_ms = due_ms - wall_ms as f64;
            let remaining_ms = job.remaining_time().as_secs_f64() * 1_000.0;
            (left_ms >= remaining_ms).then(|| WaitingJob {
                key,
                left_ms,
                work: job.remaining_work(),
                started: job.is_started(),
            })
        });
        jobs.collect()
    }
}

impl Job {
    /// Returns the sum of the declared times of all incomplete steps.
    pub(super) fn remaining_time(&self) -> Duration {
        let stages = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.stages);
        let steps = stages.zip(self.record.spec.steps.iter().cycle());
        let unfinished = steps.filter(|(stage, _)| stage.unfinished > 0);
        unfinished.map(|(_, step)| step.estimate()).sum()
    }

    /// Returns the declared work of all unfinished tasks.
    pub(super) fn remaining_work(&self) -> f64 {
        let stages = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.stages);
        let steps = stages.zip(self.record.spec.steps.iter().cycle());
        let work = steps.map(|(stage, step)| step.task_work() * stage.unfinished as f64);
        work.sum()
    }
}
