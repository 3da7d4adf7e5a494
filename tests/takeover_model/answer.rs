use crate::feed::Feed;
use crate::page::Page;
use crate::row::Row;

/// What an instance learns of a call to the modelled store.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A page, or all pages of a read together.
    Rows(Page),
    Feed(Feed),
    /// The transaction was applied and received this version.
    Applied(u64),
    /// The condition did not hold; contains the row named by it, unless it is missing.
    Conflict(Option<Box<Row>>),
    /// The call was refused or got no answer.
    Failed,
}
