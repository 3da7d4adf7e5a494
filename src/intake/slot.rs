use std::sync::Arc;

use super::Connection;

/// Room for a call that is passed on to a target, given back when this is dropped.
#[derive(Debug)]
pub struct Slot(Arc<Connection>);

impl Slot {
    pub(super) fn new(connection: Arc<Connection>) -> Self {
        Self(connection)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.end_call();
    }
}
