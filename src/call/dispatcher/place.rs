use std::sync::Mutex;
use std::sync::atomic::Ordering;

use super::{Dispatcher, lock};
use crate::admit::Ticket;
use crate::call::Lane;

/// Place of a waiting call; dropping it takes the call out of the queue.
pub(super) struct Place<'a> {
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) lane: &'a Mutex<Lane>,
    pub(super) ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if lock(self.lane).queues.cancel(self.ticket).is_some() {
            self.dispatcher.waiting.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
