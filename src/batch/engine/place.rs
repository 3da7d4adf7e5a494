use std::time::Duration;

use super::{Engine, Run, StageKey};
use crate::batch::{JobKey, Order, Step, TaskId, WorkerKey};
use crate::clock::Instant;

/// Range of run numbers that one leader may use for a task; the next leader continues above it.
const NUMBERS_PER_LEADER: u64 = 1_000;

/// Time after the last renewal from which newly arrived jobs are not started. Another instance may
/// lead 1.8 s after that renewal, and it can only know of runs of jobs that were stored before.
const START_NEW_FOR: Duration = Duration::from_millis(1_200);

/// Ratio of the expected to the declared remaining time of a job. It is above 1 because a step
/// lasts as long as the longest of its tasks.
const REST_FACTOR: f64 = 1.15;

/// Order in which ready stages of one service are placed; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// False for lasting tasks, which come first because they serve for as long as they run.
    briefly: bool,
    priority: u32,
    /// Jobs submitted beyond the weight of their workspace come after all others.
    beyond: bool,
    /// Jobs that can no longer meet their objective come after those that can.
    hopeless: bool,
    /// Jobs deferred because of overload come after the others.
    excess: bool,
    /// Jobs that have not started come last, because started ones hold capacity until they end.
    fresh: bool,
    /// Milliseconds left until the objective, minus the remaining time that the job needs.
    slack_ms: i64,
}

impl Engine {
    /// Assigns waiting tasks to workers and orders their starts.
    pub fn place(&mut self, now: Instant, wall_ms: u64) {
        self.begin_rounds(wall_ms);
        if self.fenced {
            return;
        }
        let services: Vec<_> = self.open.keys().cloned().collect();
        for service in services {
            let places = self.open[&service].iter();
            let waiting = places.filter(|place| self.has_waiting(**place, now));
            let places: Vec<StageKey> = waiting.copied().collect();
            if places.is_empty() {
                continue;
            }
            self.select(&service, now, wall_ms);
            let excess = &self.excess[&service].jobs;
            let rank = |place: StageKey| self.rank(place, excess.contains(&place.job), wall_ms);
            let mut ranked: Vec<(Rank, StageKey)> =
                places.into_iter().map(|p| (rank(p), p)).collect();
            ranked.sort_by_key(|(rank, _)| *rank);
            for (_, place) in ranked {
                self.place_stage(place, now);
            }
        }
    }

    pub(super) fn has_waiting(&self, place: StageKey, now: Instant) -> bool {
        self.is_certain(place.job)
            && self
                .stage(place.job, place.occurrence, place.step)
                .is_some_and(|stage| stage.tasks.iter().any(|task| task.is_waiting(now)))
    }

    /// Returns whether a job arrived early enough after the last renewal to be started safely.
    fn is_certain(&self, key: JobKey) -> bool {
        let arrived = self.jobs[key].heard;
        self.renewed
            .is_none_or(|renewed| arrived <= renewed + START_NEW_FOR)
    }

    fn rank(&self, place: StageKey, excess: bool, wall_ms: u64) -> Rank {
        let job = &self.jobs[place.job];
        let spec = &job.record.spec;
        let start = spec
            .due_ms(place.occurrence)
            .unwrap_or(job.record.arrived_ms);
        let objective = u64::try_from(job.objective.as_millis()).unwrap_or(u64::MAX / 4);
        let rest: Duration = spec.steps[place.step as usize..]
            .iter()
            .map(Step::estimate)
            .sum();
        let rest = i64::try_from(rest.mul_f64(REST_FACTOR).as_millis()).unwrap_or(i64::MAX / 4);
        let left = i64::try_from(start + objective).unwrap_or(i64::MAX / 2)
            - i64::try_from(wall_ms).unwrap_or(i64::MAX / 2);
        let lasting = spec.steps[place.step as usize].lasting;
        Rank {
            briefly: !lasting,
            priority: job.priority,
            beyond: job.beyond && !lasting,
            hopeless: left < rest,
            excess,
            fresh: !job.is_started(),
            slack_ms: left - rest,
        }
    }

    fn place_stage(&mut self, place: StageKey, now: Instant) {
        let step = self.jobs[place.job].record.spec.steps[place.step as usize].clone();
        if step.gang {
            return self.place_gang(place, &step, now);
        }
        for index in 0..step.count {
            let stage = self.stage(place.job, place.occurrence, place.step);
            let Some(task) = stage.map(|s| &s.tasks[index as usize]) else {
                return;
            };
            if !task.is_waiting(now) || self.may_run_unheard(place, index, now) {
                continue;
            }
            let Some(worker) = self.choose(place, index, &step, None, now) else {
                return;
            };
            self.start(place, index, &step, worker, None, now);
        }
    }

    /// Starts all tasks of a gang, or none of them.
    fn place_gang(&mut self, place: StageKey, step: &Step, now: Instant) {
        let Some(stage) = self.stage(place.job, place.occurrence, place.step) else {
            return;
        };
        if !stage.tasks.iter().all(|task| task.is_waiting(now)) {
            return;
        }
        if (0..step.count).any(|index| self.may_run_unheard(place, index, now)) {
            return;
        }
        let number = stage.tasks.iter().map(|task| task.number).max();
        let number = self.next_number(number.unwrap_or_default());
        let saved = stage.tasks.iter().find_map(|task| task.saved.clone());
        let mut racks: Vec<Option<std::sync::Arc<str>>> = Vec::new();
        if step.same_rack {
            racks.extend(self.racks_of(place).into_iter().map(Some));
        }
        racks.push(None);
        for rack in racks {
            let mut runs = Vec::new();
            for index in 0..step.count {
                let Some(worker) = self.choose(place, index, step, rack.as_ref(), now) else {
                    break;
                };
                runs.push(self.reserve(place, index, step, worker, number, saved.clone(), now));
            }
            if runs.len() == step.count as usize {
                for run in runs {
                    let worker = self.runs[run].worker;
                    self.orders.push((worker, Order::Start(run)));
                }
                self.mark_started(place.job);
                return;
            }
            for run in runs {
                self.release(run);
            }
        }
    }

    /// Starts a run of one task on a worker.
    pub(super) fn start(
        &mut self,
        place: StageKey,
        index: u32,
        step: &Step,
        worker: WorkerKey,
        saved: Option<std::sync::Arc<str>>,
        now: Instant,
    ) {
        let Some(stage) = self.stage(place.job, place.occurrence, place.step) else {
            return;
        };
        let task = &stage.tasks[index as usize];
        let number = self.next_number(task.number);
        let saved = saved.or_else(|| task.saved.clone());
        let run = self.reserve(place, index, step, worker, number, saved, now);
        self.orders.push((worker, Order::Start(run)));
        self.mark_started(place.job);
    }

    /// Returns the next run number. Each leader uses its own range of numbers, so none of them has
    /// to be stored.
    fn next_number(&self, latest: u64) -> u64 {
        latest.max((self.token - 1) * NUMBERS_PER_LEADER) + 1
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call for both kinds of start"
    )]
    fn reserve(
        &mut self,
        place: StageKey,
        index: u32,
        step: &Step,
        worker: WorkerKey,
        number: u64,
        saved: Option<std::sync::Arc<str>>,
        now: Instant,
    ) -> crate::batch::RunKey {
        let job = &self.jobs[place.job];
        let task = TaskId {
            job: job.id.clone(),
            occurrence: place.occurrence,
            step: place.step,
            index,
        };
        let run = Run {
            job: place.job,
            task: task.clone(),
            number,
            worker,
            workspace: job.record.workspace.clone(),
            size: step.size,
            charge: step.charge(),
            decided: now,
            confirmed: None,
            doubtful: None,
            stopping: None,
            stopped: None,
            percent: 0,
            moved: now,
            load: 0,
            pace: 100,
            latency_ms: step.latency_ms,
            filling: step.filling,
            lasting: step.lasting,
            saved,
        };
        if let Some(task) = self.task_mut(place.job, &task) {
            task.number = number;
        }
        self.hold(run)
    }
}
