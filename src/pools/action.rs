use super::Purpose;

/// Change of the phase of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stop giving it work.
    Drain(Purpose),
    /// It has nothing left to do: move it or reboot it, ending this incarnation.
    Proceed {
        /// Incarnation that runs now.
        incarnation: u64,
    },
    /// It is ready in its pool.
    Admit {
        /// Seconds since 1970, recorded when a planned reboot ended.
        unix: u64,
    },
    /// Give it work again without having moved or rebooted it.
    Cancel,
    /// It failed or did not come back.
    Fail,
}

impl Action {
    /// Tells whether the action makes a pool poorer by decision and so needs room in the budget.
    ///
    /// ```
    /// use coriandernotch::pools::{Action, Purpose};
    ///
    /// assert!(Action::Drain(Purpose::Reboot).needs_room());
    /// assert!(!Action::Fail.needs_room());
    /// ```
    pub fn needs_room(self) -> bool {
        matches!(self, Self::Drain(_) | Self::Proceed { .. })
    }
}
