use crate::key::Key;
use crate::table::Table;
use crate::transaction::Transaction;

/// A call to the modelled store.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// Reads one page of a table, from a key or from its begin.
    Read(Table, Option<Key>),
    /// Reads the jobs that were submitted after a version.
    Feed(u64),
    Write(Transaction),
}

impl Request {
    pub(crate) fn is_write(&self) -> bool {
        matches!(self, Self::Write(_))
    }
}
