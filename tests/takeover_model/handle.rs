use std::collections::VecDeque;
use std::sync::Arc;

use coriandernotch::batch::Order;

/// Connects a leader to one worker.
#[derive(Debug)]
pub(crate) struct Handle {
    pub(crate) id: Arc<str>,
    /// Index of the worker that has the address.
    pub(crate) worker: usize,
    /// Orders that are not sent yet, and whether one is in progress.
    pub(crate) orders: VecDeque<Order>,
    pub(crate) is_sending: bool,
}
