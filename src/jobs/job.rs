use super::{Reason, Size, Spec, State, WorkerId};
use crate::clock::Instant;

/// A job known to a scheduler.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its caller declared.
    pub spec: Spec,
    /// Present state.
    pub state: State,
    /// Why it is in that state.
    pub reason: Reason,
    /// When it was accepted.
    pub submitted: Instant,
    /// When it last moved to a worker.
    pub placed: Instant,
    /// Number of the present or latest run, from 1; reports of older runs are ignored.
    pub run: u32,
    /// Failures that count against the job.
    pub failures: u32,
    /// Runs lost with their worker.
    pub losses: u32,
    /// Distinct workers on which it failed, at most [`Job::MEMORY`].
    pub failed_on: Vec<WorkerId>,
    /// Worker that holds its resources.
    pub worker: Option<WorkerId>,
    /// Resources held on the worker, or used to plan the next start.
    pub charge: Size,
    /// Why and since when the worker is asked to stop it.
    pub stopping: Option<(Reason, Instant)>,
    /// Processors taken away by throttling.
    pub throttled: u64,
    /// When it returns to its queue after a failure.
    pub(super) due: Option<Instant>,
}

impl Job {
    /// Most workers remembered per job; more would not change a verdict.
    pub const MEMORY: usize = 8;

    /// Makes a queued job.
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
            throttled: 0,
            due: None,
        }
    }

    /// Moves to `state` if the transition is allowed.
    pub(super) fn go(&mut self, state: State, reason: Reason) -> bool {
        let allowed = self.state.may_become(state);
        if allowed {
            self.state = state;
            self.reason = reason;
        }
        allowed
    }
}
