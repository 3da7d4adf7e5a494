use std::sync::Arc;

use super::Operation;

/// Attempt, author and time of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Identifies this commit attempt.
    pub operation: Operation,
    /// Operator or instance that makes the change.
    pub author: Arc<str>,
    /// Time of the change in milliseconds since 1970.
    pub time: u64,
}

impl Origin {
    /// Creates the origin of one commit attempt.
    ///
    /// ```
    /// use coriandernotch::config::{Operation, Origin};
    ///
    /// assert_eq!(&*Origin::new(Operation(1), "ana", 0).author, "ana");
    /// ```
    pub fn new(operation: Operation, author: &str, time: u64) -> Self {
        Self {
            operation,
            author: author.into(),
            time,
        }
    }
}
