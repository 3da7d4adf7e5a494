use serde::{Deserialize, Serialize};

/// Identifies one write, so that a read tells whether it took effect.
///
/// Made of the fencing token of the manager and a counter; a token is given out once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Operation(pub u64);

impl Operation {
    /// Returns the operation number `count` of the manager with `token`.
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
