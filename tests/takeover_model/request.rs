use crate::table::Table;
use crate::transaction::Transaction;

/// A call to the modelled store.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Read(Table),
    Write(Transaction),
}

impl Request {
    pub(crate) fn is_write(&self) -> bool {
        matches!(self, Self::Write(_))
    }
}
