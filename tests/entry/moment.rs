/// When a read is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moment {
    /// Before the rows are read, so that the answer shows later changes.
    Before,
    /// After the rows are read, so that the answer shows no later change.
    After,
}
