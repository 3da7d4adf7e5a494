use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use tokio::net::TcpStream;

use super::stream::Stream;
use crate::clock::{self, Instant};

/// HTTP/1.1 connection; a spawned task performs its reads and writes.
pub(in crate::platform) struct Connection {
    pub(in crate::platform) sender: SendRequest<Full<Bytes>>,
    /// When it was open. The process at the other end had started by then.
    pub(in crate::platform) opened_at: Instant,
    /// Duplicate handle of the socket that hyper owns, used to detect that the peer closed it.
    probe: std::net::TcpStream,
}

impl Connection {
    pub(in crate::platform) async fn open(
        address: SocketAddr,
    ) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let stream = TcpStream::connect(address).await?;
        let opened_at = clock::now();
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let probe = stream.try_clone()?;
        let stream = TcpStream::from_std(stream)?;
        let (sender, connection) = handshake(Stream::new(stream)?).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            opened_at,
            probe,
        })
    }

    /// Waits for the end of the previous exchange and returns whether another one can follow.
    ///
    /// Checks the socket itself, since the connection task may not have noticed yet that the peer
    /// closed it, and would write the next request to a closed connection.
    pub(in crate::platform) async fn is_usable(&mut self) -> bool {
        let would_block = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
        self.sender.ready().await.is_ok() && self.probe.peek(&mut [0]).is_err_and(would_block)
    }
}
