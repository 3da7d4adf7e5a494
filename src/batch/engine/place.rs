use std::time::Duration;

use super::{Engine, Outline, Round, StageKey};
use crate::batch::admission::USEFUL_FACTOR;
use crate::batch::{JobKey, Order, Step, WorkerKey};
use crate::clock::Instant;
use crate::collections::Map;
use crate::jobs::Size;

/// Ratio of the expected to the declared remaining time of a job. It is above 1 because a step
/// lasts as long as the longest of its tasks.
const REMAINING_TIME_FACTOR: f64 = 1.15;
/// Time without a run after which a lasting task is placed on a worker that is being emptied. Most
/// tasks moved off a machine start elsewhere within it; with the lease of a lost worker, which takes
/// 4.6 s, it stays below the 9 s that a task with room may wait.
const LAST_RESORT_AFTER: Duration = Duration::from_secs(3);

/// Order in which ready stages of one service are placed, compared field by field; the smallest
/// comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// False for lasting tasks, which come first because they serve for as long as they run.
    not_lasting: bool,
    priority: u32,
    /// Jobs submitted beyond the weight of their workspace come after the others.
    over_rate: bool,
    /// Jobs that can no longer meet their objective come after those that can.
    unachievable: bool,
    /// Jobs deferred because of overload come after the others.
    deferred: bool,
    /// Jobs that have not started come after those that have, which hold capacity until they end.
    not_started: bool,
    /// With early refusal, late jobs that can no longer end within three times their objective come
    /// after those that can still be of use. False for lasting and best-effort tasks.
    expired: bool,
    /// Milliseconds left until the objective, minus the remaining time that the job needs.
    slack_ms: i64,
}

impl Engine {
    /// Assigns waiting tasks to workers and orders their starts.
    pub fn place(&mut self, now: Instant, wall_ms: u64) {
        self.begin_due_occurrences(wall_ms);
        if self.fenced {
            return;
        }
        let services: Vec<_> = self.ready_stages.keys().cloned().collect();
        for service in services {
            let stage_keys = self.ready_stages[&service].iter();
            let waiting = stage_keys.filter(|stage_key| self.has_startable_task(**stage_key, now));
            let stage_keys: Vec<StageKey> = waiting.copied().collect();
            if stage_keys.is_empty() {
                continue;
            }
            self.update_deferral(&service, now, wall_ms);
            let deferred = &self.deferrals[&service].jobs;
            let mut outlines: Map<JobKey, Outline> = Map::default();
            let mut rank = |stage_key: StageKey| {
                let job = stage_key.job;
                let outline = outlines.entry(job);
                let outline = outline.or_insert_with(|| Outline::new(self, &self.jobs[job]));
                self.rank(stage_key, outline, deferred.contains(&job), wall_ms)
            };
            let mut ranked: Vec<(Rank, StageKey)> =
                stage_keys.into_iter().map(|key| (rank(key), key)).collect();
            ranked.sort_by_key(|(rank, _)| *rank);
            let workers = self.startable_workers(&service, now);
            let mut largest = self.largest_free_capacity(&workers);
            let mut round = Round::new(now, wall_ms, workers);
            for (_, stage_key) in ranked {
                if !self.may_fit(stage_key, largest) {
                    continue;
                }
                let runs = self.runs.len();
                self.place_stage(stage_key, &mut round);
                if self.runs.len() != runs {
                    largest = self.largest_free_capacity(&round.workers);
                }
            }
        }
    }

    /// Returns the largest amount of each resource that is free on one of some workers.
    fn largest_free_capacity(&self, workers: &[WorkerKey]) -> Size {
        let workers = workers.iter().map(|key| &self.workers[*key]);
        workers.fold(Size::ZERO, |largest, worker| {
            largest.max(worker.free_capacity())
        })
    }

    /// Returns whether a task of a step may find room if the largest free amounts of resources are
    /// `largest`. With a large backlog, this spares most tasks a look at each worker. Lasting tasks
    /// may also be placed on other workers.
    fn may_fit(&self, stage_key: StageKey, largest: Size) -> bool {
        let step = &self.jobs[stage_key.job].record.spec.steps[stage_key.step as usize];
        step.lasting || largest.covers(step.reserved())
    }

    pub(super) fn has_startable_task(&self, stage_key: StageKey, now: Instant) -> bool {
        self.is_safe_to_start(stage_key.job)
            && self.has_stored_service(stage_key.job)
            && self
                .stage(stage_key.job, stage_key.occurrence, stage_key.step)
                .is_some_and(|stage| stage.tasks.iter().any(|task| task.is_waiting(now)))
    }

    /// Returns whether a job arrived early enough after the last renewal to be started safely: the
    /// next leader can only know of runs of jobs that were stored before.
    pub(super) fn is_safe_to_start(&self, key: JobKey) -> bool {
        self.was_sole_leader(self.jobs[key].known_since)
    }

    fn rank(&self, stage_key: StageKey, outline: &Outline, deferred: bool, wall_ms: u64) -> Rank {
        let job = &self.jobs[stage_key.job];
        let spec = &job.record.spec;
        let start_ms = spec
            .due_ms(stage_key.occurrence)
            .unwrap_or(job.record.arrived_ms);
        let objective_ms = outline.objective_ms;
        let remaining = outline.remaining[stage_key.step as usize];
        let remaining_ms = i64::try_from(remaining.mul_f64(REMAINING_TIME_FACTOR).as_millis())
            .unwrap_or(i64::MAX / 4);
        let left_ms = i64::try_from(start_ms.saturating_add(objective_ms)).unwrap_or(i64::MAX / 2)
            - i64::try_from(wall_ms).unwrap_or(i64::MAX / 2);
        let useful_ms = i64::try_from(objective_ms.saturating_mul(u64::from(USEFUL_FACTOR - 1)));
        let useful_ms = useful_ms.unwrap_or(i64::MAX / 2);
        let step = &spec.steps[stage_key.step as usize];
        let lasting = step.lasting;
        let may_expire = self.tuning.refuse_late_jobs && outline.is_finite;
        Rank {
            not_lasting: !lasting,
            priority: job.terms.priority,
            over_rate: job.over_rate && !lasting,
            unachievable: left_ms < remaining_ms,
            deferred,
            not_started: !job.is_started(),
            expired: may_expire && left_ms.saturating_add(useful_ms) < remaining_ms,
            slack_ms: left_ms.saturating_sub(remaining_ms),
        }
    }

    /// Starts the waiting tasks of a step as far as the workers of its service have room. A task
    /// whose data is near workers without room may wait for one of them.
    fn place_stage(&mut self, stage_key: StageKey, round: &mut Round) {
        let now = round.now;
        let step = self.jobs[stage_key.job].record.spec.steps[stage_key.step as usize].clone();
        if step.gang {
            return self.place_gang(stage_key, &step, round);
        }
        let may_wait = self.has_near_place(stage_key, &step);
        let choice = may_wait.then(|| self.choice(stage_key, &step, round));
        for index in 0..step.count {
            let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
            let Some(task) = stage.map(|s| &s.tasks[index as usize]) else {
                return;
            };
            if !task.is_waiting(now) || self.may_have_other_run(stage_key, index, now) {
                continue;
            }
            if let Some(choice) = &choice
                && self.waits_near_data(stage_key, index, &step, choice, round)
            {
                continue;
            }
            let worker = self
                .choose(stage_key, index, &step, None, &round.workers, now)
                .or_else(|| self.choose_last_resort(stage_key, index, &step, now));
            let Some(worker) = worker else {
                return;
            };
            if choice.is_some() {
                let rack = step.data_rack.iter();
                let near = rack
                    .into_iter()
                    .all(|rack| self.workers[worker].has_label(rack));
                self.record_place(stage_key, index, near, now);
            }
            self.start_run(stage_key, index, &step, worker, None, now);
        }
    }

    /// Chooses a worker whose machine is to be moved or maintained for a lasting task that found no
    /// other one for [`LAST_RESORT_AFTER`], if the machine stays for now. It may stay for long, and
    /// in maintenance even because of this task: no more tasks of its step may be stopped while it
    /// is down.
    fn choose_last_resort(
        &self,
        stage_key: StageKey,
        index: u32,
        step: &Step,
        now: Instant,
    ) -> Option<WorkerKey> {
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step)?;
        let idle_since = stage.tasks[index as usize].idle_since;
        if !step.lasting || idle_since.is_none_or(|at| now.since(at) < LAST_RESORT_AFTER) {
            return None;
        }
        let workers = self.workers_that_stay(&self.jobs[stage_key.job].service, now);
        self.choose(stage_key, index, step, None, &workers, now)
    }

    /// Starts all tasks of a gang, or none of them. One that should share a rack may wait for that.
    fn place_gang(&mut self, stage_key: StageKey, step: &Step, round: &mut Round) {
        let now = round.now;
        let Some(stage) = self.stage(stage_key.job, stage_key.occurrence, stage_key.step) else {
            return;
        };
        if !stage.tasks.iter().all(|task| task.is_waiting(now)) {
            return;
        }
        if (0..step.count).any(|index| self.may_have_other_run(stage_key, index, now)) {
            return;
        }
        let latest = stage.tasks.iter().map(|task| task.number).max();
        let number = self.next_run_number(latest.unwrap_or_default());
        let saved = stage.tasks.iter().find_map(|task| task.saved.clone());
        let racks = if step.same_rack {
            self.racks_by_free_processors(stage_key)
        } else {
            Vec::new()
        };
        let may_wait = self.has_near_place(stage_key, step);
        for rack in racks.iter().map(Some).chain([None]) {
            if rack.is_none() && may_wait && self.gang_waits(stage_key, step, &racks, round) {
                return;
            }
            let mut runs = Vec::new();
            for index in 0..step.count {
                let Some(worker) = self.choose(stage_key, index, step, rack, &round.workers, now)
                else {
                    break;
                };
                runs.push(self.reserve_run(
                    stage_key,
                    index,
                    step,
                    worker,
                    number,
                    saved.clone(),
                    now,
                ));
            }
            if runs.len() == step.count as usize {
                for run in runs {
                    let worker = self.runs[run].worker;
                    self.orders.push((worker, Order::Start(run)));
                }
                if may_wait {
                    (0..step.count).for_each(|index| {
                        self.record_place(stage_key, index, rack.is_some(), now);
                    });
                }
                return;
            }
            for run in runs {
                self.remove_run(run);
            }
        }
    }
}
