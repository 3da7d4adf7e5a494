use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Response;

use super::body::Body;
use super::kept::keep;
use crate::claim::{Desk, Stamp, Ticket};

/// Claim of a call that is under way.
///
/// When it is dropped before the call was sent, because the caller went away or the call was
/// refused, the claim is released, so that a repeat may run.
pub(super) struct Hold {
    desk: Arc<Desk>,
    ticket: Option<Ticket>,
    sent: Arc<AtomicBool>,
}

impl Hold {
    pub(super) fn new(desk: &Arc<Desk>, ticket: Ticket, sent: Arc<AtomicBool>) -> Self {
        Self {
            desk: desk.clone(),
            ticket: Some(ticket),
            sent,
        }
    }

    /// Stores the answer for repeats once it has ended.
    pub(super) fn keep(mut self, response: Response<Body>) -> Response<Body> {
        match self.ticket.take() {
            Some(ticket) => keep(&self.desk, ticket, response),
            None => response,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let Some(ticket) = self
            .ticket
            .take()
            .filter(|_| !self.sent.load(Ordering::Acquire))
        else {
            return;
        };
        let desk = self.desk.clone();
        tokio::spawn(async move { desk.release(ticket, Stamp::now()).await });
    }
}
