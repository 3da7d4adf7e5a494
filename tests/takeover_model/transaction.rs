use crate::content::Content;
use crate::key::Key;

/// Changes that the modelled store applies atomically.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    /// Row on which the transaction depends, and the version that it must have.
    pub(crate) expected: (Key, u64),
    pub(crate) puts: Vec<(Key, Content)>,
    pub(crate) deletes: Vec<Key>,
}
