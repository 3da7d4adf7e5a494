use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Idle connections kept for reuse.
const MAX_IDLE: usize = 8;

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Connections to one address.
pub(super) struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection that is not known to be closed.
    pub(super) async fn reuse(&self) -> Option<Sender> {
        while let Some(mut sender) = self.take() {
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        None
    }

    pub(super) async fn connect(&self) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    fn take(&self) -> Option<Sender> {
        self.idle.lock().expect("idle connections lock").pop()
    }
}
