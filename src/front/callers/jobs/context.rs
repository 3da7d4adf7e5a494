use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::id::derive;
use super::store::Store;
use crate::peer::Hub;
use crate::platform::Table;

/// What the requests about jobs share.
pub(super) struct Context {
    pub(super) store: Store,
    pub(super) hub: Arc<Hub>,
    sequence: AtomicU64,
}

impl Context {
    /// Makes a context over the rows of `table`. It needs a runtime, for the task that writes.
    pub(super) fn start(table: Arc<dyn Table>, hub: Arc<Hub>) -> Self {
        Self {
            store: Store::start(table, hub.clone()),
            hub,
            sequence: AtomicU64::new(0),
        }
    }

    /// Makes an id that no other submission gets.
    pub(super) fn new_id(&self) -> String {
        let own = self.hub.control().own();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        derive(&format!("{} {} {sequence}", own.name, own.incarnation))
    }
}
