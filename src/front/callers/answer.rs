use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::connections::{Connections, Sender};
use crate::call::{End, Grant};
use crate::clock;
use crate::route::Verdict;

/// Answer of a target on its way to the caller.
///
/// It ends its call when the last byte has passed. An answer that the target breaks off is an
/// error of this body, which makes the front end abort the answer to the caller.
#[derive(Debug)]
pub struct Answer {
    incoming: Option<Incoming>,
    rest: Option<Rest>,
    longest_run: Duration,
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
        self.grant.finish(self.verdict, End::Proved, clock::now());
    }

    fn end_broken(self) {
        self.grant
            .finish(Verdict::Failed, End::Unproved, clock::now());
    }
}

impl Answer {
    pub(super) fn new(
        incoming: Incoming,
        grant: Grant,
        sender: Sender,
        connections: Arc<Connections>,
        verdict: Verdict,
        longest_run: Duration,
    ) -> Self {
        let mut answer = Self {
            rest: Some(Rest {
                grant,
                sender,
                connections,
                verdict,
            }),
            longest_run,
            incoming: Some(incoming),
        };
        if answer.is_end_stream() {
            answer.end();
        }
        answer
    }

    fn end(&mut self) {
        if let Some(rest) = self.rest.take() {
            rest.end_whole();
        }
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(incoming).poll_frame(cx));
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
        let longest_run = self.longest_run;
        tokio::spawn(async move {
            match tokio::time::timeout(longest_run, read_to_end(incoming)).await {
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
