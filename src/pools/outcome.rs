use crate::platform::Error;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Applied,
    /// It had no effect, or others have changed the rows since. Load the state again.
    Conflict,
    /// It provably had no effect, since the table was not reached.
    Unavailable(Error),
    /// It may have taken effect and the table cannot be read. Load the state before deciding.
    Unknown(Error),
}
