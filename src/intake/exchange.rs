use std::sync::Arc;

use super::Seat;

/// A request and its answer, which end when this is dropped.
#[derive(Debug)]
pub struct Exchange(Arc<Seat>);

impl Exchange {
    pub(super) fn new(seat: Arc<Seat>) -> Self {
        Self(seat)
    }

    /// Returns the place of its connection.
    pub fn seat(&self) -> &Arc<Seat> {
        &self.0
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.close();
    }
}
