use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response;

use super::answer::{Answer, Fault};
use super::request::OUTCOME;
use crate::claim::{MAX_BODY, Manager, Ticket, Timestamp};

/// Answer of a target that is copied while it streams to the caller.
pub struct Kept {
    answer: Answer,
    copy: BytesMut,
    /// Taken when the answer has ended.
    rest: Option<Rest>,
}

/// What is needed to store the answer.
struct Rest {
    manager: Arc<Manager>,
    ticket: Ticket,
    status: StatusCode,
    headers: Vec<(String, String)>,
}

impl fmt::Debug for Kept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Kept")
            .field("copied", &self.copy.len())
            .finish_non_exhaustive()
    }
}

/// Copies headers, with bytes beyond ASCII as Latin-1.
fn read_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &HeaderValue| value.as_bytes().iter().map(|b| char::from(*b)).collect();
    headers
        .iter()
        .filter(|(name, _)| **name != OUTCOME)
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect()
}

impl Kept {
    /// Wraps an answer so that it is stored when it has ended whole.
    pub(super) fn new(
        manager: Arc<Manager>,
        ticket: Ticket,
        head: &response::Parts,
        answer: Answer,
    ) -> Self {
        let rest = Rest {
            manager,
            ticket,
            status: head.status,
            headers: read_headers(&head.headers),
        };
        let mut kept = Self {
            answer,
            copy: BytesMut::new(),
            rest: Some(rest),
        };
        if kept.is_end_stream() {
            kept.end();
        }
        kept
    }

    fn end(&mut self) {
        let Some(Rest {
            manager,
            ticket,
            status,
            headers,
        }) = self.rest.take()
        else {
            return;
        };
        let body = std::mem::take(&mut self.copy).freeze();
        let reply = crate::claim::Reply {
            status: status.as_u16(),
            headers,
            body,
        };
        tokio::spawn(async move {
            if !manager.finish(ticket, reply, Timestamp::now()).await {
                log::warn!(event = "answer-not-stored"; "");
            }
        });
    }
}

impl HttpBody for Kept {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let frame = ready!(Pin::new(&mut self.answer).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                // One byte over the limit is enough to tell that the answer is too large.
                let room = (MAX_BODY + 1).saturating_sub(self.copy.len());
                if let Some(data) = frame.data_ref() {
                    self.copy.extend_from_slice(&data[..data.len().min(room)]);
                }
                if self.answer.is_end_stream() {
                    self.end();
                }
            }
            Some(Err(_)) => self.rest = None,
            None => self.end(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.answer.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}
