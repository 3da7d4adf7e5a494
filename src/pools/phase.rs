use serde::{Deserialize, Serialize};

/// Phase of an instance in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Receives work.
    Serving,
    /// Finishes running work and receives no new work.
    Draining,
    /// Assigned to its new pool, but not admitted there yet.
    Moving,
    /// Restarts under a maintenance plan.
    Rebooting,
    /// Failed, or taken out of service by something other than a manager.
    Down,
}

impl Phase {
    /// Tells whether the availability budget of the pool counts the instance as unavailable.
    ///
    /// ```
    /// use coriandernotch::pools::Phase;
    ///
    /// assert!(Phase::Draining.is_unavailable());
    /// assert!(!Phase::Serving.is_unavailable());
    /// ```
    pub fn is_unavailable(self) -> bool {
        self != Self::Serving
    }
}
