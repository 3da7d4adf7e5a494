use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Waits for a worker.
    Queued,
    /// Assigned to a worker that has not confirmed the start yet.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// Stopped with its progress saved; waits for a worker again.
    Checkpointed,
    /// Its run succeeded.
    Succeeded,
    /// Given up after failures or lost runs.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
    /// Rejected without being run.
    Refused,
}

impl State {
    /// Returns whether a job in this state never changes its state again.
    ///
    /// ```
    /// use coriandernotch::jobs::State;
    ///
    /// assert!(State::Cancelled.is_final() && !State::Checkpointed.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        use State::{Cancelled, Failed, Refused, Succeeded};
        matches!(self, Succeeded | Failed | Cancelled | Refused)
    }

    /// Returns whether a job in this state waits for a worker.
    pub fn is_waiting(self) -> bool {
        matches!(self, Self::Queued | Self::Checkpointed)
    }

    /// Returns whether a job in this state may be on a worker.
    pub fn is_placed(self) -> bool {
        matches!(self, Self::Starting | Self::Running)
    }

    /// Returns whether the transition from this state to `next` is allowed.
    ///
    /// ```
    /// use coriandernotch::jobs::State;
    ///
    /// assert!(State::Queued.may_become(State::Starting));
    /// assert!(!State::Cancelled.may_become(State::Starting));
    /// ```
    pub fn may_become(self, next: Self) -> bool {
        use State::{
            Cancelled, Checkpointed, Failed, Queued, Refused, Running, Starting, Succeeded,
        };
        match self {
            Queued => matches!(next, Starting | Cancelled | Failed | Refused),
            Checkpointed => matches!(next, Starting | Cancelled | Failed),
            // A fast job can end before the confirmation of its start arrives.
            Starting => matches!(
                next,
                Running | Queued | Checkpointed | Succeeded | Failed | Cancelled
            ),
            Running => matches!(next, Queued | Checkpointed | Succeeded | Failed | Cancelled),
            Succeeded | Failed | Cancelled | Refused => false,
        }
    }
}
