use std::sync::Arc;

use super::Connection;

/// A request and its answer, which end when this is dropped.
#[derive(Debug)]
pub struct Exchange(Arc<Connection>);

impl Exchange {
    pub(super) fn new(connection: Arc<Connection>) -> Self {
        Self(connection)
    }

    /// Returns the place of its connection.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.0
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.close();
    }
}
