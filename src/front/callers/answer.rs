use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use tokio::time::Sleep;

use super::connections::{Connections, Sender};
use crate::call::{Completion, Grant};
use crate::clock::{self, Instant};
use crate::route::Verdict;

/// Answer of a target on its way to the caller.
///
/// It ends its call when the last byte has passed. An answer that the target breaks off is an
/// error of this body, which makes the front end abort the answer to the caller.
#[derive(Debug)]
pub struct Answer {
    incoming: Option<Incoming>,
    rest: Option<Rest>,
    /// By when the target must have ended.
    ends: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Failure of an answer, which the caller gets as an aborted answer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The target broke off.
    #[error("step=read-answer peer=target reason={0}")]
    Broken(#[from] hyper::Error),
    /// The answer took longer than the longest run of a call.
    #[error("step=read-answer peer=target reason=too-long")]
    TooLong,
}

/// What is to be given back when the answer has ended.
#[derive(Debug)]
struct Rest {
    grant: Grant,
    sender: Sender,
    connections: Arc<Connections>,
    verdict: Verdict,
}

impl Rest {
    fn end_whole(self) {
        self.connections.keep(self.grant.address(), self.sender);
        self.grant
            .finish(self.verdict, Completion::Confirmed, clock::now());
    }

    fn end_broken(self) {
        self.grant
            .finish(Verdict::Failed, Completion::Unconfirmed, clock::now());
    }
}

impl Answer {
    pub(super) fn new(
        incoming: Incoming,
        grant: Grant,
        sender: Sender,
        connections: Arc<Connections>,
        verdict: Verdict,
        ends: Instant,
    ) -> Self {
        let mut answer = Self {
            rest: Some(Rest {
                grant,
                sender,
                connections,
                verdict,
            }),
            ends,
            timer: None,
            incoming: Some(incoming),
        };
        if answer.is_end_stream() {
            answer.end();
        }
        answer
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let ends = self.ends;
        let sleep = || Box::pin(tokio::time::sleep(ends.since(clock::now())));
        self.timer.get_or_insert_with(sleep).as_mut().poll(cx)
    }

    fn end(&mut self) {
        if let Some(rest) = self.rest.take() {
            rest.end_whole();
        }
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let frame = match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(frame) => frame.map(|result| result.map_err(Fault::from)),
            Poll::Pending => {
                ready!(self.poll_timer(cx));
                self.incoming = None;
                Some(Err(Fault::TooLong))
            }
        };
        match &frame {
            Some(Ok(_)) if !self.is_end_stream() => {}
            Some(Err(_)) => {
                if let Some(rest) = self.rest.take() {
                    rest.end_broken();
                }
            }
            _ => self.end(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .as_ref()
            .map_or_else(SizeHint::default, HttpBody::size_hint)
    }
}

impl Drop for Answer {
    /// Reads the answer to its end when the caller went away, because the target may still be
    /// running the call until then.
    fn drop(&mut self) {
        let (Some(rest), Some(incoming)) = (self.rest.take(), self.incoming.take()) else {
            return;
        };
        let left = self.ends.since(clock::now());
        tokio::spawn(async move {
            match tokio::time::timeout(left, read_to_end(incoming)).await {
                Ok(true) => rest.end_whole(),
                _ => rest.end_broken(),
            }
        });
    }
}

/// Returns whether the whole body arrived.
pub(super) async fn read_to_end(mut incoming: Incoming) -> bool {
    while let Some(frame) = incoming.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
