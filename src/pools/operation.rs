use serde::{Deserialize, Serialize};

/// Identifies one transaction, so that a later read can tell whether it took effect.
///
/// Combines the fencing token of the manager and a counter; each token is issued only once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Operation(pub u64);

impl Operation {
    /// Returns the operation with number `count` of the manager with the fencing token `token`.
    ///
    /// ```
    /// use coriandernotch::pools::Operation;
    ///
    /// assert_ne!(Operation::new(1, 2), Operation::new(2, 1));
    /// ```
    pub fn new(token: u64, count: u32) -> Self {
        Self((token << 32) | u64::from(count))
    }
}
