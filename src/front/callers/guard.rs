use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

/// Failure of a request body, after which the target gets an aborted request.
#[derive(Debug, thiserror::Error)]
pub(super) enum Fault {
    /// The body is longer than the service allows.
    #[error("step=read-body peer=caller reason=too-large")]
    TooLarge,
    /// The caller sent nothing for too long.
    #[error("step=read-body peer=caller reason=timeout")]
    Slow,
    /// The caller broke off.
    #[error("step=read-body peer=caller reason={0}")]
    Broken(#[from] hyper::Error),
}

/// Request body bounded in length and in the time between two parts.
#[derive(Debug)]
pub(super) struct Guard {
    incoming: Option<Incoming>,
    left: u64,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    too_large: Arc<AtomicBool>,
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
            too_large: Arc::default(),
        }
    }

    /// Makes an empty body.
    pub(super) fn empty() -> Self {
        Self {
            incoming: None,
            left: 0,
            timeout: Duration::ZERO,
            timer: None,
            too_large: Arc::default(),
        }
    }

    /// Returns a flag that becomes true when the body exceeds its limit.
    pub(super) fn too_large(&self) -> Arc<AtomicBool> {
        self.too_large.clone()
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
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
            return Poll::Ready(Some(Err(Fault::Slow)));
        };
        let next = Instant::now() + self.timeout;
        if let Some(timer) = &mut self.timer {
            timer.as_mut().reset(next);
        }
        let length = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, |data| data.len() as u64),
            _ => 0,
        };
        if length > self.left {
            self.too_large.store(true, Ordering::Release);
            return Poll::Ready(Some(Err(Fault::TooLarge)));
        }
        self.left -= length;
        Poll::Ready(frame.map(|result| result.map_err(Fault::from)))
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
