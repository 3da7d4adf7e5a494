use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};

use super::answer::read_to_end;
use super::connections::{Connections, Sender};
use super::guard::Guard;
use crate::call::{Completion, Grant};
use crate::clock::{self, Instant};
use crate::route::Verdict;

type Sent = Result<Response<Incoming>, TrySendError<Request<Guard>>>;

/// A request that was sent to a target and has no answer yet.
///
/// When it is dropped, because the caller went away or its deadline passed, a task waits for the
/// answer in its place: the target may still be running the call, so its permit stays taken.
pub(super) struct Flight {
    future: Option<Pin<Box<dyn Future<Output = Sent> + Send>>>,
    rest: Option<(Grant, Sender)>,
    connections: Arc<Connections>,
    ends: Instant,
}

impl Flight {
    pub(super) fn start(
        request: Request<Guard>,
        grant: Grant,
        mut sender: Sender,
        connections: Arc<Connections>,
        ends: Instant,
    ) -> Self {
        let future = sender.try_send_request(request);
        Self {
            future: Some(Box::pin(future)),
            rest: Some((grant, sender)),
            connections,
            ends,
        }
    }

    /// Returns the grant and the connection of a flight that has its answer.
    pub(super) fn land(mut self) -> Option<(Grant, Sender)> {
        self.future = None;
        self.rest.take()
    }

    /// Tells the target's health that the deadline passed without an answer.
    pub(super) fn report_hung(&self) {
        if let Some((grant, _)) = &self.rest {
            grant.report(Verdict::Hung, clock::now());
        }
    }
}

impl Future for Flight {
    type Output = Sent;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Sent> {
        let Some(future) = &mut self.future else {
            return Poll::Pending;
        };
        let sent = ready!(future.as_mut().poll(cx));
        self.future = None;
        Poll::Ready(sent)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let (Some(future), Some((grant, sender))) = (self.future.take(), self.rest.take()) else {
            return;
        };
        let connections = self.connections.clone();
        let left = self.ends.since(clock::now());
        tokio::spawn(async move {
            let ended = tokio::time::timeout(left, async {
                match future.await {
                    Ok(response) => read_to_end(response.into_body()).await,
                    Err(_) => false,
                }
            });
            match ended.await {
                Ok(true) => {
                    connections.keep(grant.address(), sender);
                    grant.finish(Verdict::Neutral, Completion::Confirmed, clock::now());
                }
                _ => grant.finish(Verdict::Neutral, Completion::Unconfirmed, clock::now()),
            }
        });
    }
}
