use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::Activity;

/// First bytes of HTTP/2 (RFC 9113, section 3.4); no HTTP/1 method begins with them.
const PREFACE: &[u8] = b"PRI ";

/// Socket of a caller that notes when the bytes of a request begin to arrive.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    activity: Arc<Activity>,
    /// How many bytes were equal to the preface; `None` when one was not.
    matched: Option<usize>,
}

impl Stream {
    pub(super) fn new(inner: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            inner,
            activity,
            matched: Some(0),
        }
    }

    fn note(&mut self, bytes: &[u8]) {
        if bytes.is_empty() || self.matched == Some(PREFACE.len()) {
            return;
        }
        self.activity.read();
        if let Some(matched) = self.matched {
            let rest = &PREFACE[matched..];
            let length = rest.len().min(bytes.len());
            self.matched = (rest[..length] == bytes[..length]).then_some(matched + length);
        }
        if self.matched == Some(PREFACE.len()) {
            self.activity.forget_head();
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.note(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
