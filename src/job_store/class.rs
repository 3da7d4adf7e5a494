/// Kind of a call that writes to the store, by which the calls are ordered while the store is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A renewal of the leadership, which is never held back.
    Renewal,
    /// A submission, or an end of a job for which a caller waits.
    Awaited,
    /// Progress for which nobody waits, or a deletion.
    Background,
}
