use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::job_store::{Acceptance, Answer};

use super::present::Present;
use super::previous::Previous;

/// A call that an instance sends.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) partition: u32,
    pub(super) jobs: Vec<usize>,
    pub(super) timeout: Duration,
}

/// What an instance does at one time.
#[derive(Debug, Default)]
pub(super) struct Steps {
    pub(super) calls: Vec<Call>,
    pub(super) replies: Vec<(usize, Acceptance)>,
    pub(super) wake_at: Option<Instant>,
}

/// An instance that stores jobs in one of two ways.
#[derive(Debug)]
pub(super) enum Instance {
    Previous(Previous),
    Present(Box<Present>),
}

impl Instance {
    pub(super) fn submit(
        &mut self,
        job: usize,
        id: &str,
        answer_by: Instant,
        now: Instant,
    ) -> Steps {
        match self {
            Self::Previous(instance) => instance.submit(job, id, now),
            Self::Present(instance) => instance.submit(job, id, answer_by, now),
        }
    }

    pub(super) fn record(
        &mut self,
        call: u64,
        answer: &Answer,
        jobs: &[usize],
        now: Instant,
    ) -> Steps {
        match self {
            Self::Previous(instance) => instance.record(call, answer, jobs, now),
            Self::Present(instance) => instance.record(call, answer, jobs, now),
        }
    }

    pub(super) fn wake(&mut self, now: Instant) -> Steps {
        match self {
            Self::Previous(instance) => instance.steps(now),
            Self::Present(instance) => instance.steps(now),
        }
    }
}
