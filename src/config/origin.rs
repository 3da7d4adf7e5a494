use std::sync::Arc;

use super::Operation;

/// Who makes a change, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Identifies this attempt.
    pub operation: Operation,
    /// Operator or instance that makes the change.
    pub author: Arc<str>,
    /// Milliseconds since 1970.
    pub time: u64,
}

impl Origin {
    /// Makes an origin.
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
