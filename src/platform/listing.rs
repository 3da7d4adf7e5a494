use super::{Answer, Instance};

/// The platform's list of live and leaving instances, which may be stale.
pub trait Listing: Send + Sync + 'static {
    /// Reads the whole list.
    fn instances(&self) -> Answer<'_, Vec<Instance>>;
}
