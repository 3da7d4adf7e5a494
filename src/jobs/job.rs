use super::{Reason, Size, Spec, State, WorkerId};
use crate::clock::Instant;

/// A job in the queue of a scheduler.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its caller declared.
    pub spec: Spec,
    /// Current state.
    pub state: State,
    /// Why it is in that state.
    pub reason: Reason,
    /// When it was accepted.
    pub submitted: Instant,
    /// When it was last assigned to a worker, or returned to the queue with its worker lost.
    pub placed: Instant,
    /// Number of the current or latest run, from 1; reports of older runs are ignored.
    pub run: u32,
    /// Failures that count against the job.
    pub failures: u32,
    /// Runs lost with their worker.
    pub losses: u32,
    /// Distinct workers on which it failed, at most [`Job::MAX_FAILED_ON`].
    pub failed_on: Vec<WorkerId>,
    /// Worker on which resources are reserved for it.
    pub worker: Option<WorkerId>,
    /// Resources reserved on the worker, or to be reserved at the next start.
    pub charge: Size,
    /// Why and when its worker was asked to checkpoint it.
    pub stopping: Option<(Reason, Instant)>,
    /// Processors taken away by throttling, in thousandths.
    pub throttled_processors: u64,
    /// When it returns to the queue, after a failure or a start that did not take place.
    pub(super) delayed_until: Option<Instant>,
}

impl Job {
    /// Maximum number of workers in `failed_on`; more would not change any decision.
    pub const MAX_FAILED_ON: usize = 8;

    /// Creates a queued job.
    pub(super) fn new(spec: Spec, charge: Size, now: Instant) -> Self {
        Self {
            spec,
            state: State::Queued,
            reason: Reason::Submitted,
            submitted: now,
            placed: now,
            run: 0,
            failures: 0,
            losses: 0,
            failed_on: Vec::new(),
            worker: None,
            charge,
            stopping: None,
            throttled_processors: 0,
            delayed_until: None,
        }
    }

    /// Changes to `state` if the transition is allowed. Returns whether it is.
    pub(super) fn transition(&mut self, state: State, reason: Reason) -> bool {
        let allowed = self.state.may_become(state);
        if allowed {
            self.state = state;
            self.reason = reason;
        }
        allowed
    }
}
