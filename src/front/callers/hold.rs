use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Response;

use super::body::Body;
use super::kept::Kept;
use crate::claim::{Manager, Ticket, Timestamp};

/// Claim of a call that is under way.
///
/// When it is dropped before the call was sent, because the caller went away or the call was
/// refused, the claim is released, so that a repeat may run.
pub(super) struct Hold {
    manager: Arc<Manager>,
    ticket: Option<Ticket>,
    sent: Arc<AtomicBool>,
}

impl Hold {
    pub(super) fn new(manager: &Arc<Manager>, ticket: Ticket, sent: Arc<AtomicBool>) -> Self {
        Self {
            manager: manager.clone(),
            ticket: Some(ticket),
            sent,
        }
    }

    /// Stores the answer for repeats once it has ended.
    pub(super) fn keep(mut self, response: Response<Body>) -> Response<Body> {
        let Some(ticket) = self.ticket.take() else {
            return response;
        };
        let (parts, body) = response.into_parts();
        let body = match body {
            Body::Target(answer) => {
                let kept = Kept::new(self.manager.clone(), ticket, &parts, *answer);
                Body::Kept(Box::new(kept))
            }
            other => other,
        };
        Response::from_parts(parts, body)
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
        let manager = self.manager.clone();
        tokio::spawn(async move { manager.release(ticket, Timestamp::now()).await });
    }
}
