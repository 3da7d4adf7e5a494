use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::Exchange;

/// Body of an answer that ends its exchange.
#[derive(Debug)]
pub(super) struct ResponseBody<B> {
    body: B,
    _exchange: Exchange,
}

impl<B> ResponseBody<B> {
    pub(super) fn new(body: B, exchange: Exchange) -> Self {
        Self {
            body,
            _exchange: exchange,
        }
    }
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
