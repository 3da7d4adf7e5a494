use std::time::Duration;

use super::{Engine, Job};

/// What the stages of a job have in common in one round of placement. Computed for each stage, it
/// would make a round take a time that grows with the square of the number of steps.
pub(super) struct Outline {
    /// Time from arrival within which the job should complete, in milliseconds.
    pub(super) objective_ms: u64,
    /// Whether no step lasts or is best-effort.
    pub(super) is_finite: bool,
    /// Sum of the expected times of each step and of those after it.
    pub(super) remaining: Vec<Duration>,
}

impl Outline {
    pub(super) fn new(engine: &Engine, job: &Job) -> Self {
        let steps = &job.record.spec.steps;
        let objective = engine.objective(job).as_millis();
        let mut sum = Duration::ZERO;
        let sums = steps.iter().rev().map(|step| {
            sum += engine.forecast(job, step).expected;
            sum
        });
        let mut remaining: Vec<Duration> = sums.collect();
        remaining.reverse();
        Self {
            objective_ms: u64::try_from(objective).unwrap_or(u64::MAX / 4),
            is_finite: steps.iter().all(|step| !step.lasting && !step.filling),
            remaining,
        }
    }
}
