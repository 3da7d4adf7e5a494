use std::sync::Arc;

use bytes::Bytes;

use super::Answer;

/// The object store.
pub trait Objects: Send + Sync + 'static {
    /// Stores `content` under `name`; the call is idempotent.
    fn put(&self, name: Arc<str>, content: Bytes) -> Answer<'_, ()>;

    /// Reads the object `name`; returns `None` if it does not exist.
    fn get(&self, name: Arc<str>) -> Answer<'_, Option<Bytes>>;
}
