use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{Connection, READ_BYTES, Stage};

/// Buffers of a head double as they grow, so a byte of a head may take two.
const HEAD_FACTOR: usize = 2;

/// Socket of a client that charges heads as they arrive, and that reads nothing while the client
/// takes no answers.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    connection: Arc<Connection>,
    /// Bytes of a head that arrived and are not charged yet.
    uncharged: usize,
    /// Whether the socket has been read.
    is_read: bool,
    /// Whether the socket did not take all that was written to it.
    blocked: bool,
}

impl Stream {
    /// Makes a stream for a connection that has been admitted.
    pub fn new(socket: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            socket,
            connection,
            uncharged: 0,
            is_read: false,
            blocked: false,
        }
    }

    /// Returns the socket, for what is read without being kept.
    pub fn socket_mut(&mut self) -> &mut TcpStream {
        &mut self.socket
    }

    /// Returns the place of the connection.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    fn note_write<T>(&mut self, written: &Poll<io::Result<T>>) {
        let blocked = written.is_pending();
        if blocked != self.blocked {
            self.blocked = blocked;
            self.connection.set_blocked(blocked);
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The kernel would keep the answers for as long as the client stays and does not take them.
        if self.blocked
            && self.connection.is_evicted()
            && let Err(error) = self.socket.set_zero_linger()
        {
            log::debug!(event = "reset-failed", error:% = error; "");
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.blocked {
            // The task is woken when the socket takes more.
            return Poll::Pending;
        }
        if this.uncharged > 0 && this.connection.stage() == Some(Stage::Idle) {
            // The exchange of the head has ended.
            this.uncharged = 0;
        }
        if this.uncharged > 0 {
            ready!(this.connection.poll_charge_head(this.uncharged, cx))
                .map_err(io::Error::other)?;
            this.uncharged = 0;
        }
        let most = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        let read = Pin::new(&mut this.socket).poll_read(cx, &mut part);
        if !std::mem::replace(&mut this.is_read, true) && read.is_pending() {
            this.connection.await_request();
        }
        ready!(read)?;
        let length = part.filled().len();
        buf.advance(length);
        if length > 0 && this.connection.arrived(length) == Some(Stage::Head) {
            this.uncharged = length * HEAD_FACTOR;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
