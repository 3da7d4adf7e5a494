use crate::row::Row;

/// Number of rows in one answer of the modelled store, so small that most tables take several.
pub(crate) const PAGE_ROWS: usize = 2;

/// Rows of a table from the one that was asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Page {
    pub(crate) rows: Vec<Row>,
    pub(crate) has_more: bool,
    /// Version of the store at the read.
    pub(crate) version: u64,
}
