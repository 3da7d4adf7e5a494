use std::collections::VecDeque;
use std::sync::Arc;

use coriandernotch::batch::Order;
use coriandernotch::clock::Instant;

/// Connects a leader to one worker.
#[derive(Debug)]
pub(crate) struct Handle {
    pub(crate) id: Arc<str>,
    /// Index of the worker that has the address.
    pub(crate) worker: usize,
    /// Orders that are not sent yet, and whether one is in progress.
    pub(crate) orders: VecDeque<Order>,
    pub(crate) is_sending: bool,
    /// When the connections for polls and for orders were opened; `None` if the next call opens one.
    pub(crate) poll_connection: Option<Instant>,
    pub(crate) order_connection: Option<Instant>,
}

impl Handle {
    /// Returns the connection for polls or that for orders.
    pub(crate) fn connection(&mut self, is_poll: bool) -> &mut Option<Instant> {
        if is_poll {
            &mut self.poll_connection
        } else {
            &mut self.order_connection
        }
    }
}
