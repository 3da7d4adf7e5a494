use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::activity::Exchange;
use super::answer::Fault;
use super::body::Body;
use super::place::Place;

/// Body of an answer that tells its connection whether the caller takes it.
#[derive(Debug)]
pub(super) struct Tracked {
    body: Body,
    exchange: Exchange,
    _place: Place,
}

impl Tracked {
    pub(super) fn new(body: Body, exchange: Exchange, place: Place) -> Self {
        // The caller has the head to take.
        exchange.set_untaken(true);
        Self {
            body,
            exchange,
            _place: place,
        }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = Fault;

    /// hyper asks for the next part only when there is room for it.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        self.exchange.set_untaken(false);
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.exchange.set_untaken(true);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
