use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{MAX_ROW_BYTES, Step, Tallies, row_bytes};

/// Longest declared run time of a task in milliseconds, about 35 years. The sum over all steps fits
/// into a [`Duration`] many times.
const MAX_ESTIMATE_MS: u64 = 1 << 40;

/// A job as described by its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Spec {
    /// Description of the work, passed to the workers unchanged.
    pub payload: Arc<str>,
    /// Steps; other steps refer to them by position.
    pub steps: Vec<Step>,
    /// Number of scheduled runs of all steps; 0 means once, immediately.
    pub occurrences: u32,
    /// Time of the first occurrence in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between occurrences in milliseconds.
    pub interval_ms: u64,
}

impl Spec {
    /// Largest number of tasks of one occurrence, and of all occurrences of which the progress is
    /// stored. The progress of more does not fit into a row of the store.
    pub(super) const MAX_TASKS: u64 = 100_000;

    /// Largest size of the fields of stored progress beside tasks and steps, in bytes.
    const OTHER_PROGRESS_BYTES: usize = 1_136;

    /// Returns the declared time of the longest chain of dependent steps.
    ///
    /// ```
    /// use coriandernotch::batch::{Spec, Step};
    ///
    /// let step = |estimate_ms, after: &[u32]| Step { estimate_ms, after: after.to_vec(), ..Step::default() };
    /// let steps = vec![step(10, &[]), step(50, &[]), step(5, &[0])];
    /// let spec = Spec { steps, ..Spec::default() };
    /// assert_eq!(spec.critical_path().as_millis(), 50);
    /// ```
    pub fn critical_path(&self) -> Duration {
        self.critical_path_by(Step::estimate)
    }

    /// Returns the time of the longest chain of dependent steps if a task of a step takes
    /// `duration`.
    pub(super) fn critical_path_by(&self, duration: impl Fn(&Step) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.after.iter().filter_map(|s| ends.get(*s as usize));
            let start = dependencies.max().copied().unwrap_or_default();
            ends.push(start + duration(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether the progress of all tasks fits into a row, whatever fails.
    ///
    /// ```
    /// use coriandernotch::batch::{Spec, Step};
    ///
    /// let spec = |steps, count| {
    ///     let step = Step { count, ..Step::default() };
    ///     Spec { steps: vec![step; steps], ..Spec::default() }
    /// };
    /// assert!(spec(20_000, 1).has_bounded_progress());
    /// assert!(!spec(20_000, 5).has_bounded_progress());
    /// ```
    pub fn has_bounded_progress(&self) -> bool {
        let counts: Vec<u32> = self.steps.iter().map(|step| step.count).collect();
        let tasks: u64 = counts.iter().map(|count| u64::from(*count)).sum();
        let tasks = match self.occurrences {
            0 | 1 => tasks,
            _ => Self::MAX_TASKS,
        };
        let tallies = Tallies::max_bytes(usize::try_from(tasks).unwrap_or(usize::MAX));
        row_bytes(&counts) + tallies <= MAX_ROW_BYTES - Self::OTHER_PROGRESS_BYTES
    }

    /// Returns the due time of an occurrence in milliseconds since 1970, or `None` for a job
    /// without scheduled occurrences.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let delay_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        (self.occurrences > 0).then(|| self.first_ms.saturating_add(delay_ms))
    }

    /// Returns the number of occurrences, which is at least 1.
    pub fn occurrence_count(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Returns whether there are steps, each step has tasks, each depends only on earlier steps, and
    /// neither the number of tasks nor a declared time is impossibly large.
    pub fn is_valid(&self) -> bool {
        let is_sound = |(position, step): (usize, &Step)| {
            step.count > 0
                && step.estimate_ms <= MAX_ESTIMATE_MS
                && step.after.iter().all(|s| (*s as usize) < position)
        };
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        !self.steps.is_empty()
            && tasks <= Self::MAX_TASKS
            && self.steps.iter().enumerate().all(is_sound)
    }
}
