use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use super::connections::{Connections, Sender};
use crate::call::{Completion, Grant};
use crate::clock;
use crate::route::Verdict;

type Attempt = Pin<Box<dyn Future<Output = io::Result<Sender>> + Send>>;

/// An attempt to connect to the target of a call.
///
/// When it is dropped, because the caller went away, a task finishes it in its place and keeps the
/// connection for other calls. The slot stays taken until then: the target may already hold the
/// connection in its accept queue, which a wave of cancelled calls would otherwise overflow.
pub(super) struct Dial {
    open: Option<(Grant, Attempt)>,
    connections: Arc<Connections>,
}

impl Dial {
    /// Starts an attempt that takes at most `limit`.
    pub(super) fn start(grant: Grant, connections: Arc<Connections>, limit: Duration) -> Self {
        let (pool, address) = (connections.clone(), grant.address());
        let attempt = async move { pool.take(address, limit).await };
        Self {
            open: Some((grant, Box::pin(attempt))),
            connections,
        }
    }
}

impl Future for Dial {
    type Output = (Grant, io::Result<Sender>);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some((_, attempt)) = &mut self.open else {
            return Poll::Pending;
        };
        let result = ready!(attempt.as_mut().poll(cx));
        match self.open.take() {
            Some((grant, _)) => Poll::Ready((grant, result)),
            None => Poll::Pending,
        }
    }
}

impl Drop for Dial {
    fn drop(&mut self) {
        let Some((grant, attempt)) = self.open.take() else {
            return;
        };
        let connections = self.connections.clone();
        tokio::spawn(async move {
            let address = grant.address();
            match attempt.await {
                Ok(sender) => connections.keep(address, sender),
                Err(error) => {
                    log::debug!(event = "abandoned-dial-failed", target:% = address, error:% = error; "");
                }
            }
            grant.finish(Verdict::Neutral, Completion::Confirmed, clock::now());
        });
    }
}
