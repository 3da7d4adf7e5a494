use super::Row;

/// What a table tells about its changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// Rows that changed, in order, and the version to go on from.
    Changes(Vec<Row>, u64),
    /// The history is gone; the table must be read again.
    Gone,
}
