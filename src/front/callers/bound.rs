/// What follows from the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bound {
    /// All bounds hold.
    Kept,
    /// No request came for too long.
    Idle,
    /// The caller is too slow with a head or does not take its answer.
    Stalled,
}
