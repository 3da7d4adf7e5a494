use crate::row::Row;

/// Answer of the modelled store to a request for changes.
#[derive(Clone, Debug)]
pub(crate) enum Feed {
    /// The rows that changed, and the version up to which all changes are included.
    Changes(Vec<Row>, u64),
    /// The store has discarded its history since the version that was asked for.
    Gone,
}
