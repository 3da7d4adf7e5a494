//! Run times that ended runs teach.

use std::time::Duration;

use super::{Engine, Run};
use crate::batch::Step;
use crate::batch::estimate::{Error, Estimates, Observation};
use crate::clock::Instant;

/// Time between two answers of a worker up to which the end of a run between them is known well
/// enough, whatever the run took.
const MAX_GAP: Duration = Duration::from_millis(250);

impl Engine {
    /// Learns from a run that was just removed because it has succeeded.
    ///
    /// A run teaches nothing about its image if it is lasting, best-effort (its speed depends on its
    /// neighbours), resumed, a copy, adopted, away from its data or its gang, or if its start or end
    /// is not known well.
    pub(super) fn learn(&mut self, run: &Run, now: Instant) {
        if !self.tuning.learn_estimates || !run.whole || run.lasting || run.filling {
            return;
        }
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let Some(step) = job.record.spec.steps.get(run.task.step as usize) else {
            return;
        };
        let Some(image) = step.image.clone() else {
            return;
        };
        let is_done = self.task(run.job, &run.task).is_none_or(|task| task.done);
        if is_done || !self.is_near(run, step) {
            return;
        }
        let expected = self.forecast(job, step).expected;
        let Some(took) = self.run_time(run, expected, now) else {
            return;
        };
        let workspace = job.record.workspace.clone();
        let observation = Observation {
            declared: step.estimate(),
            took,
            worker: run.worker,
        };
        self.estimator.observe(&workspace, &image, observation);
    }

    /// Returns how long a run took that was first listed as ended at `now`, if that is known well.
    ///
    /// A worker holds back its answer to a poll until a run ends. An answer before the end of the
    /// wait came with the end of the run, which can otherwise only lie between the previous answer
    /// and the poll. Any other answer says only that the run ended after the previous answer: then
    /// the time that is closest to the expected one is taken, unless it could be any within a gap
    /// that is long.
    fn run_time(&self, run: &Run, expected: Duration, now: Instant) -> Option<Duration> {
        let began = run.confirmed_at?;
        let worker = self.workers.get(run.worker)?;
        let answered_before = worker.answered_before?;
        let longest = now.since(began);
        let is_known = |gap: Duration| gap <= MAX_GAP || gap <= longest / 3;
        if worker.answered_early {
            let unobserved = (worker.answered_poll_at).since(answered_before.max(began));
            return is_known(unobserved).then_some(longest);
        }
        let gap = now.since(answered_before).min(longest);
        let took = expected.clamp(longest - gap, longest);
        (is_known(gap) || took != expected && gap < longest).then_some(took)
    }

    /// Returns whether a run is in the rack of its data and in that of its gang, if it has any.
    pub(super) fn is_near(&self, run: &Run, step: &Step) -> bool {
        let Some(worker) = self.workers.get(run.worker) else {
            return false;
        };
        let data_rack = step.data_rack.as_ref();
        if data_rack.is_some_and(|rack| !worker.has_label(rack)) {
            return false;
        }
        if !step.gang || !step.same_rack {
            return true;
        }
        let rack = worker.profile.labels.last();
        let Some(stage) = self.stage(run.job, run.task.occurrence, run.task.step) else {
            return false;
        };
        let runs = stage.tasks.iter().flat_map(|task| &task.runs);
        let mut workers = runs.filter_map(|run| self.workers.get(self.runs.get(*run)?.worker));
        workers.all(|other| other.profile.labels.last() == rack)
    }

    /// Takes over the run times that an earlier leader has stored.
    pub fn restore_estimates(&mut self, estimates: &Estimates) {
        if self.tuning.learn_estimates {
            self.estimator.restore(estimates);
        }
    }

    /// Returns the learned run times if they must be stored again.
    pub fn take_outdated_estimates(&mut self, now: Instant) -> Option<Estimates> {
        self.estimator.take_outdated(now)
    }

    /// Records that the run times that were taken last may not be stored.
    pub fn record_unstored_estimates(&mut self) {
        self.estimator.record_unstored();
    }

    /// Returns the number of images with learned run times, and the errors of declared and learned
    /// ones.
    pub fn estimate_error(&self) -> (usize, Error) {
        (self.estimator.image_count(), self.estimator.error())
    }
}
