use crate::content::Content;
use crate::key::Key;

/// A row of the modelled store.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) key: Key,
    pub(crate) version: u64,
    pub(crate) content: Content,
}
