/// A page of a read of a whole partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    First,
    /// Any page after the first.
    Later,
}
