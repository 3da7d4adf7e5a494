use super::demand::Arrival;
use crate::clock::Instant;
use crate::jobs::{JobId, Outcome};

/// A run on a worker as it really goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    pub(super) job: JobId,
    pub(super) run: u32,
    pub(super) arrival: Arrival,
    /// Seconds of work left at full speed.
    pub(super) left: f64,
    /// Share of its processors that it may use.
    pub(super) speed: f64,
    pub(super) started: Instant,
    pub(super) confirmed: bool,
    pub(super) next_sample: Instant,
    /// End that was asked for, and when it takes effect.
    pub(super) ending: Option<(Outcome, Instant)>,
}
