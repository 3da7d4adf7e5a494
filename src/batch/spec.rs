use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Step;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Spec {
    /// What the tasks are to do; handed to the workers as it is.
    pub payload: Arc<str>,
    /// Steps in the order in which others refer to them.
    pub steps: Vec<Step>,
    /// How often the steps run at set times; 0 means once, at once.
    pub occurrences: u32,
    /// Time of the first occurrence in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between occurrences in milliseconds.
    pub interval_ms: u64,
}

impl Spec {
    /// Returns the declared time of the longest chain of steps.
    ///
    /// ```
    /// use coriandernotch::batch::{Spec, Step};
    ///
    /// let step = |estimate_ms, after: &[u32]| Step { estimate_ms, after: after.to_vec(), ..Step::default() };
    /// let steps = vec![step(10, &[]), step(50, &[]), step(5, &[0])];
    /// let spec = Spec { steps, ..Spec::default() };
    /// assert_eq!(spec.chain().as_millis(), 50);
    /// ```
    pub fn chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|s| ends.get(*s as usize));
            let start = before.max().copied().unwrap_or_default();
            ends.push(start + step.estimate());
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the time of an occurrence in milliseconds since 1970, or `None` when it is not timed.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        (self.occurrences > 0).then(|| self.first_ms + u64::from(occurrence) * self.interval_ms)
    }

    /// Returns how often the steps run.
    pub fn rounds(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Returns whether each step has tasks and refers only to earlier steps.
    pub fn is_valid(&self) -> bool {
        let sound = |(number, step): (usize, &Step)| {
            step.count > 0 && step.after.iter().all(|s| (*s as usize) < number)
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(sound)
    }
}
