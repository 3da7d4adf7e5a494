use std::sync::Arc;

use super::{Answer, Row, Write};

/// The transactional table service.
pub trait Table: Send + Sync + 'static {
    /// Applies all writes atomically, or none of them if a condition fails.
    ///
    /// Returns the new row versions in the order of `writes`. After [`super::Error::Unknown`] the
    /// writes may have taken effect; the caller must read the rows to find out.
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>>;

    /// Reads one row at its latest committed version.
    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>>;

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`, in
    /// key order.
    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>>;
}
