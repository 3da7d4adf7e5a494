/// Why a write of a batch did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Its condition failed.
    Conflict,
    /// It provably had no effect.
    Unavailable(String),
    /// It may have taken effect.
    Unknown,
}
