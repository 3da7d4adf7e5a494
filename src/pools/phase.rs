use serde::{Deserialize, Serialize};

/// What an instance does for its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Gets work.
    Serving,
    /// Finishes what it has and gets nothing new.
    Draining,
    /// Belongs to its new pool and has not been admitted there yet.
    Moving,
    /// Restarts under a maintenance plan.
    Rebooting,
    /// Failed, or taken out by someone else.
    Down,
}

impl Phase {
    /// Tells whether the availability budget of the pool counts the instance as unavailable.
    ///
    /// ```
    /// use coriandernotch::pools::Phase;
    ///
    /// assert!(Phase::Draining.is_out());
    /// assert!(!Phase::Serving.is_out());
    /// ```
    pub fn is_out(self) -> bool {
        self != Self::Serving
    }
}
