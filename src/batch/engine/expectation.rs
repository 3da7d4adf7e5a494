//! How long the tasks of a job are expected to run: by what was learned of their images, otherwise as
//! declared.

use std::time::Duration;

use super::{Engine, Job, Stage};
use crate::batch::Step;
use crate::batch::estimate::Forecast;

/// Largest work of a job that is counted, in thousandths of a processor times milliseconds. The sum
/// over a million jobs fits into 64 bits.
const MAX_WORK: u64 = 1 << 44;

impl Engine {
    /// Returns how long a task of a step of a job is expected to run.
    pub(super) fn forecast(&self, job: &Job, step: &Step) -> Forecast {
        let image = step.image.as_deref();
        let image = image.filter(|_| self.tuning.learn_estimates && !step.lasting);
        let key = image.and_then(|image| self.estimator.key(&job.record.workspace, image));
        self.estimator.forecast(key, step.estimate())
    }

    /// Returns the time from arrival within which a job should complete. Its queue grants a factor of
    /// the longest chain of work, for which learned times are better than declared ones.
    pub(super) fn objective(&self, job: &Job) -> Duration {
        let granted = job.terms.objective;
        let spec = &job.record.spec;
        let is_learned = |step: &Step| step.image.is_some() && !step.lasting;
        let Some(stretch) = job
            .stretch
            .filter(|_| self.tuning.learn_estimates && spec.steps.iter().any(is_learned))
        else {
            return granted;
        };
        let declared = spec.critical_path();
        let expected = spec.critical_path_by(|step| self.forecast(job, step).expected);
        (granted + expected.mul_f64(stretch)).saturating_sub(declared.mul_f64(stretch))
    }

    /// Returns the expected work of all tasks of a job except lasting ones, in thousandths of a
    /// processor times milliseconds, at most [`MAX_WORK`].
    pub(super) fn expected_work(&self, job: &Job) -> u64 {
        let steps = job.record.spec.steps.iter().filter(|step| !step.lasting);
        let work = steps.map(|step| self.task_work(job, step) * f64::from(step.count));
        (work.sum::<f64>() as u64).min(MAX_WORK)
    }

    /// Returns the sum of the expected times of all incomplete steps of a job.
    pub(super) fn remaining_time(&self, job: &Job) -> Duration {
        let unfinished = steps_in_progress(job).filter(|(stage, _)| stage.unfinished > 0);
        unfinished
            .map(|(_, step)| self.forecast(job, step).expected)
            .sum()
    }

    /// Returns the expected work of all unfinished tasks of a job, in thousandths of a processor
    /// times milliseconds.
    pub(super) fn remaining_work(&self, job: &Job) -> f64 {
        let work = steps_in_progress(job)
            .map(|(stage, step)| self.task_work(job, step) * stage.unfinished as f64);
        work.sum()
    }

    /// Returns the expected work of a task, in thousandths of a processor times milliseconds.
    pub(super) fn task_work(&self, job: &Job, step: &Step) -> f64 {
        let milliseconds = self.forecast(job, step).expected.as_nanos() as f64 / 1_000_000.0;
        step.reserved().processors as f64 * milliseconds
    }
}

/// Returns the stages of the occurrences in progress of a job, with their steps.
fn steps_in_progress(job: &Job) -> impl Iterator<Item = (&Stage, &Step)> {
    let stages = (job.occurrences.iter()).flat_map(|occurrence| &occurrence.stages);
    stages.zip(job.record.spec.steps.iter().cycle())
}
