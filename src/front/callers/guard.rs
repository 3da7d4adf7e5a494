use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use super::body_fault::Fault;
use super::cause::Cause;

/// Request body bounded in length and in the time between two parts.
#[derive(Debug)]
pub(super) struct Guard {
    incoming: Option<Incoming>,
    left: u64,
    timeout: Duration,
    /// Runs while the caller is waited for, not while the target takes what arrived.
    timer: Option<Pin<Box<Sleep>>>,
    waits: bool,
    cause: Arc<OnceLock<Cause>>,
}

impl Guard {
    pub(super) fn new(incoming: Incoming, limit: u64, timeout: Duration) -> Self {
        // An ended body is dropped at once, so that it can be sent again.
        let incoming = Some(incoming).filter(|body| !body.is_end_stream());
        Self {
            incoming,
            left: limit,
            timeout,
            timer: None,
            waits: false,
            cause: Arc::default(),
        }
    }

    /// Makes an empty body.
    pub(super) fn empty() -> Self {
        Self {
            incoming: None,
            left: 0,
            timeout: Duration::ZERO,
            timer: None,
            waits: false,
            cause: Arc::default(),
        }
    }

    /// Returns the place where the cause of a failure is put.
    pub(super) fn cause(&self) -> Arc<OnceLock<Cause>> {
        self.cause.clone()
    }

    fn fail(&self, cause: Cause, fault: Fault) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        self.cause.get_or_init(|| cause);
        Poll::Ready(Some(Err(fault)))
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if !self.waits {
            timer.as_mut().reset(Instant::now() + timeout);
            self.waits = true;
        }
        timer.as_mut().poll(cx)
    }
}

impl Body for Guard {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let Poll::Ready(frame) = Pin::new(incoming).poll_frame(cx) else {
            ready!(self.poll_timer(cx));
            return self.fail(Cause::Slow, Fault::Slow);
        };
        self.waits = false;
        match frame {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                if length > self.left {
                    return self.fail(Cause::TooLarge, Fault::TooLarge);
                }
                self.left -= length;
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => self.fail(Cause::Broken, error.into()),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}
