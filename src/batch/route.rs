use std::sync::Arc;
use std::time::Duration;

use super::{Advice, Spec, Terms};

/// A queue of jobs, as addressed by callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name in the requests of callers.
    pub host: Arc<str>,
    /// Prefix of the request paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor applied to the critical path of a job to get its objective.
    pub stretch: f64,
    /// Time added to the objective after the factor is applied.
    pub allowance: Duration,
    /// Whether callers need no key.
    pub open: bool,
    /// Advice service settings, if only workers with a ticket may run a step.
    pub advice: Option<Advice>,
}

impl Route {
    /// Returns the factor of the critical path of a job in its objective, at least 1.
    pub(super) fn stretch(&self) -> f64 {
        self.stretch.max(1.0)
    }

    /// Returns what the queue grants to a job.
    ///
    /// ```
    /// use coriandernotch::batch::{Route, Spec};
    ///
    /// let route = Route { max_attempts: 4, ..Route::default() };
    /// assert_eq!(route.terms(&Spec::default()).max_attempts, 4);
    /// ```
    pub fn terms(&self, spec: &Spec) -> Terms {
        Terms {
            priority: self.priority,
            max_attempts: self.max_attempts.max(1),
            objective: spec.critical_path().mul_f64(self.stretch()) + self.allowance,
            advice: self.advice,
        }
    }
}
