use std::sync::Arc;

use super::Connection;

/// Bytes that are charged to a connection until this is dropped.
#[derive(Debug)]
pub struct Charge {
    connection: Arc<Connection>,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(connection: Arc<Connection>) -> Self {
        Self {
            connection,
            bytes: 0,
        }
    }

    /// Adds bytes that were charged.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.connection.give_back(self.bytes);
        }
    }
}
