//! Waits of tasks for room near their data or their gang.

use std::sync::Arc;
use std::time::Duration;

use super::{Engine, NearRack, Round, Stage, StageKey, Worker};
use crate::batch::estimate::Forecast;
use crate::batch::locality::{Choice, Decision, Release, Releases};
use crate::batch::{Step, WorkerKey};
use crate::clock::Instant;
use crate::jobs::Size;
use crate::telemetry;

impl Engine {
    /// Returns whether tasks of a step may wait for a near place. Tasks that need tickets do not:
    /// which of the near workers will have one is not known.
    pub(super) fn has_near_place(&self, stage_key: StageKey, step: &Step) -> bool {
        let wants_rack = if step.gang {
            step.same_rack
        } else {
            step.data_rack.is_some()
        };
        wants_rack
            && self.tuning.far_percent > 100
            && !step.lasting
            && !step.filling
            && !self.needs_ticket(stage_key)
    }

    /// Returns the choice of the tasks of a step between near and far places.
    pub(super) fn choice(&self, stage_key: StageKey, step: &Step, round: &mut Round) -> Choice {
        let job = &self.jobs[stage_key.job];
        let spec = &job.record.spec;
        let near = self.forecast(job, step).expected;
        let later = spec.steps.iter().skip(stage_key.step as usize + 1);
        let begun_ms = spec
            .due_ms(stage_key.occurrence)
            .unwrap_or(job.record.arrived_ms);
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
        let ready_ms = stage.and_then(|stage| stage.ready_ms).unwrap_or(begun_ms);
        let since = |ms: u64| Duration::from_millis(round.wall_ms.saturating_sub(ms));
        let crowded = (round.crowded)
            .unwrap_or_else(|| self.is_crowded(&job.service, &round.workers, round.now));
        let choice = Choice {
            near,
            far: self.far_time(near),
            rest: later.map(|step| self.forecast(job, step).expected).sum(),
            left: self.objective(job).checked_sub(since(begun_ms)),
            waited: since(ready_ms),
            crowded,
        };
        round.crowded = Some(crowded);
        choice
    }

    /// Returns whether a task that found a rack of its data without room waits for it. A retry does
    /// not: the near workers may be why it failed.
    pub(super) fn waits_near_data(
        &mut self,
        stage_key: StageKey,
        index: u32,
        step: &Step,
        choice: &Choice,
        round: &mut Round,
    ) -> bool {
        let Some(label) = &step.data_rack else {
            return false;
        };
        let workspace = &self.jobs[stage_key.job].record.workspace;
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
        let task = stage.map(|stage| &stage.tasks[index as usize]);
        if task.is_none_or(|task| !task.avoided_workers.is_empty())
            || !self.is_within_maximum(workspace, step)
        {
            return false;
        }
        let rack = self.near_rack(label, round);
        let slots = |room: fn(&Worker) -> Size| self.slots(&rack.workers, step, room);
        if slots(Worker::free_capacity) > 0 || slots(|worker| worker.profile.capacity) == 0 {
            return false;
        }
        let wanted = rack.claimed + step.size.processors;
        let waits = choice.decide(rack.releases.wait_for(wanted), round.now);
        if waits == Decision::Far {
            return false;
        }
        if let Some(rack) = round.racks.get_mut(label) {
            rack.claimed = wanted;
        }
        self.record_wait(stage_key, index..index + 1, round.now);
        true
    }

    /// Returns whether a gang that found no rack with room for all of its tasks waits for one.
    pub(super) fn gang_waits(
        &mut self,
        stage_key: StageKey,
        step: &Step,
        racks: &[Arc<str>],
        round: &mut Round,
    ) -> bool {
        let count = u64::from(step.count);
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
        let is_retry = |stage: &Stage| stage.tasks.iter().any(|t| !t.avoided_workers.is_empty());
        if stage.is_none_or(is_retry) {
            return false;
        }
        let mut best: Option<(Duration, u64, &Arc<str>)> = None;
        for label in racks {
            let rack = self.near_rack(label, round);
            let free = self.slots(&rack.workers, step, Worker::free_capacity);
            let all = self.slots(&rack.workers, step, |worker| worker.profile.capacity);
            // With enough slots, something else than room holds the gang back.
            if all < count || free >= count {
                continue;
            }
            let wanted = rack.claimed + (count - free) * step.size.processors;
            if let Some(wait) = rack.releases.wait_for(wanted)
                && best.is_none_or(|(shortest, ..)| wait < shortest)
            {
                best = Some((wait, wanted, label));
            }
        }
        let Some((wait, wanted, label)) = best else {
            return false;
        };
        let choice = self.choice(stage_key, step, round);
        if choice.decide(Some(wait), round.now) == Decision::Far {
            return false;
        }
        if let Some(rack) = round.racks.get_mut(label) {
            rack.claimed = wanted;
        }
        self.record_wait(stage_key, 0..step.count, round.now);
        true
    }

    /// Records that the place of a task with a near place was chosen.
    pub(super) fn record_place(
        &mut self,
        stage_key: StageKey,
        index: u32,
        near: bool,
        now: Instant,
    ) {
        let Some(stage) = self.stage_mut(stage_key) else {
            return;
        };
        let since = stage.tasks[index as usize].waits_since.take();
        telemetry::count_near(near, since.is_some());
        if let Some(since) = since {
            log::info!(event = "rack-wait-ended", job = self.jobs[stage_key.job].id,
                step = stage_key.step, index, near, waited_ms = now.since(since).as_millis(); "");
        }
    }

    fn record_wait(&mut self, stage_key: StageKey, tasks: std::ops::Range<u32>, now: Instant) {
        if let Some(stage) = self.stage_mut(stage_key) {
            for index in tasks {
                stage.tasks[index as usize].waits_since.get_or_insert(now);
            }
        }
    }

    fn far_time(&self, near: Duration) -> Duration {
        near * self.tuning.far_percent / 100
    }

    /// Returns what is expected of a rack, which is determined once in a round.
    fn near_rack<'a>(&self, label: &Arc<str>, round: &'a mut Round) -> &'a NearRack {
        if !round.racks.contains_key(label) {
            let rack = self.observe_rack(label, &round.workers, round.now);
            round.racks.insert(label.clone(), rack);
        }
        &round.racks[label]
    }

    fn observe_rack(&self, label: &Arc<str>, workers: &[WorkerKey], now: Instant) -> NearRack {
        let is_near = |key: &&WorkerKey| self.workers[**key].has_label(label);
        let workers: Vec<WorkerKey> = workers.iter().filter(is_near).copied().collect();
        let runs = workers.iter().flat_map(|key| &self.workers[*key].runs);
        let runs = runs.map(|run| &self.runs[*run]).filter(|run| !run.lasting);
        let releases = runs.filter_map(|run| {
            let job = self.jobs.get(run.job)?;
            let step = job.record.spec.steps.get(run.task.step as usize)?;
            let Forecast { expected, tail } = self.forecast(job, step);
            let forecast = if self.is_near(run, step) {
                Forecast { expected, tail }
            } else {
                Forecast {
                    expected: self.far_time(expected),
                    tail: self.far_time(tail),
                }
            };
            let age = now.since(run.decided_at);
            Some(Release::new(run.reserved.processors, age, forecast))
        });
        let releases = Releases::new(releases);
        NearRack {
            workers,
            releases,
            claimed: 0,
        }
    }

    /// Counts the tasks of a step for which workers have room.
    fn slots(&self, workers: &[WorkerKey], step: &Step, room: impl Fn(&Worker) -> Size) -> u64 {
        let workers = workers.iter().map(|key| &self.workers[*key]);
        let suitable = workers.filter(|worker| step.label.iter().all(|l| worker.has_label(l)));
        let slots = suitable.map(|worker| {
            let slots = slots_of(room(worker), step.reserved());
            match step.max_per_worker {
                0 => slots,
                limit => slots.min(u64::from(limit)),
            }
        });
        slots.fold(0, u64::saturating_add)
    }

    /// Returns whether the tasks that wait for a service need more processors than are free.
    fn is_crowded(&self, service: &Arc<str>, workers: &[WorkerKey], now: Instant) -> bool {
        let free = workers.iter().map(|key| self.workers[*key].free_capacity());
        let free: u64 = free.map(|free| free.processors).sum();
        let stage_keys = self.ready_stages.get(service).into_iter().flatten();
        let mut wanted = 0;
        for stage_key in stage_keys {
            let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
            let tasks = stage.into_iter().flat_map(|stage| &stage.tasks);
            let waiting = tasks.filter(|task| task.is_waiting(now)).count() as u64;
            let step = &self.jobs[stage_key.job].record.spec.steps[stage_key.step as usize];
            wanted += waiting * step.reserved().processors;
            if wanted > free {
                return true;
            }
        }
        false
    }
}

/// Returns how many tasks of a size fit into some room.
fn slots_of(room: Size, size: Size) -> u64 {
    let fits = |room: u64, size: u64| room.checked_div(size).unwrap_or(u64::MAX);
    fits(room.processors, size.processors)
        .min(fits(room.memory, size.memory))
        .min(fits(room.accelerators, size.accelerators))
}
