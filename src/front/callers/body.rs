use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::answer::{Answer, Fault};
use super::kept::Kept;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Body {
    /// Text made by us.
    Own(Full<Bytes>),
    /// Answer of a target, streamed.
    Target(Box<Answer>),
    /// Answer of a target, streamed and kept for repeats.
    Kept(Box<Kept>),
}

impl Body {
    /// Makes a body of text.
    ///
    /// ```
    /// use hyper::body::Body as _;
    /// use coriandernotch::front::callers::Body;
    ///
    /// assert_eq!(Body::text("gone").size_hint().exact(), Some(4));
    /// ```
    pub fn text(text: impl Into<Bytes>) -> Self {
        Self::Own(Full::new(text.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Self::Own(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Target(answer) => Pin::new(&mut **answer).poll_frame(cx),
            Self::Kept(answer) => Pin::new(&mut **answer).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(full) => full.is_end_stream(),
            Self::Target(answer) => answer.is_end_stream(),
            Self::Kept(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(full) => full.size_hint(),
            Self::Target(answer) => answer.size_hint(),
            Self::Kept(answer) => answer.size_hint(),
        }
    }
}
