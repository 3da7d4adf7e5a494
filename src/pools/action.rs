use super::Purpose;

/// Change of the phase of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stops new work from reaching the instance.
    Drain(Purpose),
    /// Moves or reboots the instance after its drain; a reboot ends `incarnation`.
    Proceed {
        /// Incarnation that is running.
        incarnation: u64,
    },
    /// Returns the instance to service in its pool.
    Admit {
        /// Seconds since 1970; stored as the time of the last reboot if a planned one ended.
        unix: u64,
    },
    /// Ends a drain without a move or reboot, so that the instance receives work again.
    Cancel,
    /// Marks the instance as down, because it failed or did not return in time.
    Fail,
}

impl Action {
    /// Tells whether the action reduces the capacity of a pool by choice and not by failure, so
    /// that its budget must allow it.
    ///
    /// ```
    /// use coriandernotch::pools::{Action, Purpose};
    ///
    /// assert!(Action::Drain(Purpose::Reboot).uses_budget());
    /// assert!(!Action::Fail.uses_budget());
    /// ```
    pub fn uses_budget(self) -> bool {
        matches!(self, Self::Drain(_) | Self::Proceed { .. })
    }
}
