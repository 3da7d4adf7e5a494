use std::sync::Mutex;
use std::sync::atomic::Ordering;

use super::{Dispatcher, lock};
use crate::admit::Ticket;
use crate::call::Upstream;

/// Queue entry of a waiting call; dropping it removes the call from the queue.
pub(super) struct Waiter<'a> {
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) upstream: &'a Mutex<Upstream>,
    pub(super) ticket: Ticket,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if lock(self.upstream).queues.cancel(self.ticket).is_some() {
            self.dispatcher.waiting.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
