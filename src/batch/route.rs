use std::sync::Arc;
use std::time::Duration;

use super::Advice;

/// A queue of jobs as callers address it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Rank among queues; 0 comes first.
    pub priority: u32,
    /// Failures of one task that fail its job.
    pub max_attempts: u32,
    /// Factor of the longest chain of work within the objective of a job.
    pub stretch: f64,
    /// Time within the objective on top of the stretched chain.
    pub allowance: Duration,
    /// Whether callers need no key.
    pub open: bool,
    /// Set when only advised workers may run a step.
    pub advice: Option<Advice>,
}
