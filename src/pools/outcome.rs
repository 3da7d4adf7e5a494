use crate::platform::Error;

/// Result of writing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change took effect.
    Applied,
    /// The change had no effect, or the rows have changed since. Load the state again.
    Conflict,
    /// The change certainly had no effect, because the table was not reached.
    Unavailable(Error),
    /// The change may have taken effect, but the table cannot be read. Load the state again before
    /// the next decision.
    Unknown(Error),
}
