/// Kind of a call that writes to the store, by which the calls are ordered while the store is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A submission, or an end of a job for which a caller waits.
    Awaited,
    /// Progress for which nobody waits, or a deletion.
    Background,
}
