use super::{Observation, log_ms};
use crate::batch::WorkerKey;

/// One run in a [`super::window::Window`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sample {
    /// Binary logarithm of the run time in milliseconds.
    pub(super) duration: f32,
    /// Binary logarithm of the ratio of the run time to the declared one.
    pub(super) ratio: f32,
    /// Worker; the null key if the run was observed by an earlier leader.
    pub(super) worker: WorkerKey,
}

impl From<Observation> for Sample {
    fn from(observation: Observation) -> Self {
        let duration = log_ms(observation.took);
        Self {
            duration,
            ratio: duration - log_ms(observation.declared),
            worker: observation.worker,
        }
    }
}
