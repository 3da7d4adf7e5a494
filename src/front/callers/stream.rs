use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::timeout;

use super::activity::Activity;
use crate::intake;

/// First bytes of HTTP/2 (RFC 9113, section 3.4); no HTTP/1 method begins with them.
const PREFACE: &[u8] = b"PRI ";

/// Time for which the rest of a request is read and dropped before its connection is closed.
/// Closing with unread bytes resets the connection, which can lose an answer on its way.
const LINGER: Duration = Duration::from_millis(500);

/// Socket of a caller that notes when the bytes of a request begin to arrive.
#[derive(Debug)]
pub(super) struct Stream {
    /// Socket with its admitted connection, until the stream is dropped.
    inner: Option<intake::Stream>,
    activity: Arc<Activity>,
    /// How many bytes were equal to the preface; `None` when one was not.
    matched: Option<usize>,
}

impl Stream {
    pub(super) fn new(inner: intake::Stream, activity: Arc<Activity>) -> Self {
        Self {
            inner: Some(inner),
            activity,
            matched: Some(0),
        }
    }

    fn socket(&mut self) -> io::Result<Pin<&mut intake::Stream>> {
        let socket = self.inner.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(socket))
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
            if let Some(socket) = &self.inner {
                socket.connection().multiplex();
            }
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
        ready!(self.socket()?.poll_read(cx, buf))?;
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
        self.socket()?.poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        let socket = self.inner.as_ref();
        socket.is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket()?.poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let Some(stream) = self.inner.take() else {
            return;
        };
        let connection = stream.connection().clone();
        // The place of a connection that is evicted is needed at once.
        if connection.is_evicted() {
            return;
        }
        tokio::spawn(async move {
            tokio::select! {
                _ = timeout(LINGER, linger(stream)) => {}
                () = connection.evicted() => {}
            }
        });
    }
}

/// Ends the answers and waits until the caller has ended its requests.
async fn linger(mut stream: intake::Stream) -> io::Result<()> {
    let socket = stream.socket_mut();
    socket.shutdown().await?;
    let mut rest = vec![0; 16 << 10];
    while socket.read(&mut rest).await? > 0 {}
    Ok(())
}
