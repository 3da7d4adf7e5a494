use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Connection with a task of its own that reads and writes.
pub(in crate::platform) struct Connection {
    pub(in crate::platform) sender: SendRequest<Full<Bytes>>,
    /// Second handle of the socket, which hyper owns, to look for its end.
    probe: std::net::TcpStream,
}

impl Connection {
    pub(in crate::platform) async fn open(
        address: SocketAddr,
    ) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let probe = stream.try_clone()?;
        let stream = TcpStream::from_std(stream)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, probe })
    }

    /// Waits until the last exchange is over and returns whether another one may follow.
    ///
    /// It asks the system, since the task of the connection may not have seen the end yet and
    /// would write the next request into a closed connection.
    pub(in crate::platform) async fn is_usable(&mut self) -> bool {
        let silent = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
        self.sender.ready().await.is_ok() && self.probe.peek(&mut [0]).is_err_and(silent)
    }
}
