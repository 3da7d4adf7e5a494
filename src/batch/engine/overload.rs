use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Excess, Job};
use crate::batch::JobKey;
use crate::clock::Instant;
use crate::collections::Set;

/// Fraction of the processors of a pool that waiting work can use: tasks that need many processors
/// leave gaps.
const USABLE_PART: f64 = 0.85;

/// Time for which a selection of deferred jobs stays valid.
const HOLDS_FOR: Duration = Duration::from_millis(100);

/// A waiting job, as seen by the selection of deferred jobs.
struct Waiting {
    key: JobKey,
    /// Milliseconds left until its objective.
    left_ms: f64,
    /// Unfinished work, in thousandths of a processor times milliseconds.
    work: f64,
    begun: bool,
}

impl Engine {
    /// Selects the jobs of a service to defer when not all of them can meet their objectives.
    ///
    /// This handles bursts larger than the pool: if jobs ran strictly in the order of their
    /// deadlines, all of them would be slightly late. Jobs are taken in that order; whenever one
    /// would be late, the largest job taken so far that has not started is left out, which leaves
    /// out the fewest jobs.
    pub(super) fn select(&mut self, service: &Arc<str>, now: Instant, wall_ms: u64) {
        let known = self.excess.get(service);
        if known.is_some_and(|known| now.since(known.at) < HOLDS_FOR) {
            return;
        }
        let jobs = self.select_excess(service, now, wall_ms);
        let excess = Excess { at: now, jobs };
        self.excess.insert(service.clone(), excess);
    }

    fn select_excess(&self, service: &Arc<str>, now: Instant, wall_ms: u64) -> Set<JobKey> {
        let (capacity, _) = self.usable_processors(service, now);
        let lasting = self.lasting_use().get(service).copied().unwrap_or(0);
        let rate = capacity.saturating_sub(lasting) as f64 * USABLE_PART;
        let mut jobs = self.waiting_jobs(service, wall_ms);
        jobs.sort_by(|a, b| a.left_ms.total_cmp(&b.left_ms));
        let mut excess = Set::default();
        let mut taken: BinaryHeap<(u64, usize)> = BinaryHeap::new();
        let mut work = 0.0;
        for (place, job) in jobs.iter().enumerate() {
            work += job.work;
            if !job.begun {
                taken.push((job.work as u64, place));
            }
            while work > job.left_ms * rate {
                let Some((_, largest)) = taken.pop() else {
                    break;
                };
                work -= jobs[largest].work;
                excess.insert(jobs[largest].key);
            }
        }
        excess
    }

    /// Lists the jobs of a service that have ready steps and can still meet their objective.
    fn waiting_jobs(&self, service: &Arc<str>, wall_ms: u64) -> Vec<Waiting> {
        let places = self.open.get(service).map_or(&[][..], Vec::as_slice);
        let keys: Set<JobKey> = places.iter().map(|place| place.job).collect();
        let jobs = keys.into_iter().filter_map(|key| {
            let job = &self.jobs[key];
            if job.beyond {
                return None;
            }
            if job.record.spec.occurrences > 0 || job.record.spec.steps.iter().any(|s| s.lasting) {
                return None;
            }
            let due = job.record.arrived_ms as f64 + job.objective.as_secs_f64() * 1_000.0;
            let left_ms = due - wall_ms as f64;
            let rest = job.rest().as_secs_f64() * 1_000.0;
            (left_ms >= rest).then(|| Waiting {
                key,
                left_ms,
                work: job.work_left(),
                begun: job.is_started(),
            })
        });
        jobs.collect()
    }
}

impl Job {
    /// Returns the sum of the declared times of all incomplete steps.
    fn rest(&self) -> Duration {
        let stages = self.rounds.iter().flat_map(|round| &round.stages);
        let steps = stages.zip(self.record.spec.steps.iter().cycle());
        let open = steps.filter(|(stage, _)| stage.left > 0);
        open.map(|(_, step)| step.estimate()).sum()
    }

    /// Returns the declared work of all unfinished tasks.
    fn work_left(&self) -> f64 {
        let stages = self.rounds.iter().flat_map(|round| &round.stages);
        let steps = stages.zip(self.record.spec.steps.iter().cycle());
        let work = steps
            .map(|(stage, step)| stage.left as u64 * step.charge().processors * step.estimate_ms);
        work.sum::<u64>() as f64
    }
}
