use std::sync::Arc;

use super::Seat;

/// Bytes that are charged to a connection until this is dropped.
#[derive(Debug)]
pub struct Charge {
    seat: Arc<Seat>,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(seat: Arc<Seat>) -> Self {
        Self { seat, bytes: 0 }
    }

    /// Adds bytes that were charged.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.seat.give_back(self.bytes);
        }
    }
}
