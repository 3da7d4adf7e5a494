/// Reason why a write of a batch is not known to have succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The condition of the write failed.
    Conflict,
    /// The write provably had no effect, for the given reason.
    Unavailable(String),
    /// The answer was lost; the write may have taken effect.
    Unknown,
}
