use std::sync::Arc;

use super::{Answer, Row, Write};

/// The transactional table service.
pub trait Table: Send + Sync + 'static {
    /// Applies all writes at once, or none when a condition fails.
    ///
    /// Returns the new versions in the order of `writes`. After [`super::Error::Unknown`] the
    /// writes may have taken effect; the caller reads back to find out.
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>>;

    /// Reads one row at its latest committed version.
    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>>;

    /// Reads rows whose key starts with `prefix` and is greater than `after`, in key order.
    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>>;
}
