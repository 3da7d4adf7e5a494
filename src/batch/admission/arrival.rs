use std::sync::Arc;
use std::time::Duration;

use super::USEFUL_FACTOR;
use crate::batch::{Spec, Step, Terms};

/// A submitted job, as far as admission needs to know it.
///
/// ```
/// use coriandernotch::batch::admission::Arrival;
/// use coriandernotch::batch::{Spec, Terms};
///
/// let arrival = Arrival::new(&"w".into(), 0, &Spec::default(), &Terms::default());
/// assert_eq!(arrival.work, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Second of arrival, counted from 1970, by which the jobs of a workspace are compared with its
    /// weight.
    pub second: u64,
    /// Time since the first attempt, from which the objective counts.
    pub waited: Duration,
    /// Time from arrival within which the job should complete.
    pub objective: Duration,
    /// Declared time of the longest chain of steps.
    pub critical_path: Duration,
    /// Declared work, in thousandths of a processor times milliseconds.
    pub work: u64,
    /// Whether a step runs until the job is cancelled.
    pub lasting: bool,
    /// Whether the job has start times.
    pub scheduled: bool,
}

impl Arrival {
    /// Describes a job that arrived at `arrived_ms`, in milliseconds since 1970.
    pub fn new(workspace: &Arc<str>, arrived_ms: u64, spec: &Spec, terms: &Terms) -> Self {
        let work = |step: &Step| {
            let milliseconds = step.estimate().as_secs_f64() * 1_000.0;
            step.reserved().processors as f64 * milliseconds * f64::from(step.count)
        };
        Self {
            workspace: workspace.clone(),
            second: arrived_ms / 1_000,
            waited: Duration::ZERO,
            objective: terms.objective,
            critical_path: spec.critical_path(),
            work: spec.steps.iter().map(work).sum::<f64>() as u64,
            lasting: spec.steps.iter().any(|step| step.lasting),
            scheduled: spec.occurrences > 0,
        }
    }
    /// Counts the job from its first attempt, as the scheduler does. Both times are in milliseconds
    /// since 1970.
    #[must_use]
    pub fn counted_from(self, first_ms: u64, arrived_ms: u64) -> Self {
        Self {
            second: first_ms / 1_000,
            waited: Duration::from_millis(arrived_ms.saturating_sub(first_ms)),
            ..self
        }
    }

    /// Returns whether the job, `waited` after its first attempt, could no longer be of use even
    /// without a backlog. An attempt from then on is a new request with a time of its own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::batch::admission::Arrival;
    ///
    /// let arrival = Arrival { objective: Duration::from_secs(2), ..Arrival::default() };
    /// assert!(!arrival.is_new_after(Duration::from_secs(6)));
    /// assert!(arrival.is_new_after(Duration::from_secs(7)));
    /// ```
    pub fn is_new_after(&self, waited: Duration) -> bool {
        let last_useful = self.objective.saturating_mul(USEFUL_FACTOR);
        waited.saturating_add(self.critical_path) > last_useful
    }
}
