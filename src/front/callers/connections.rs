use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::guard::Guard;
use crate::collections::Map;
use crate::route::TargetId;

/// Sends requests on one connection to a target.
pub(super) type Sender = SendRequest<Guard>;

/// Idle connections kept per target; eight entry instances together stay within the 64 connections
/// that a target accepts.
const MAX_IDLE: usize = 8;

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<Map<TargetId, Vec<Sender>>>,
}

impl Connections {
    /// Takes an idle connection or makes a new one.
    pub(super) async fn take(
        &self,
        target: TargetId,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Sender> {
        while let Some(mut sender) = self.take_idle(target) {
            if sender.is_ready() || sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let made = timeout(limit, connect(address)).await;
        made.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Keeps a connection whose last answer arrived whole.
    pub(super) fn keep(&self, target: TargetId, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("idle connections lock");
        let idle = idle.entry(target).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    /// Closes the idle connections of targets that are gone, and closed ones.
    pub fn sweep(&self, exists: impl Fn(TargetId) -> bool) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        idle.retain(|target, senders| {
            senders.retain(|s| !s.is_closed());
            exists(*target) && !senders.is_empty()
        });
    }

    fn take_idle(&self, target: TargetId) -> Option<Sender> {
        self.idle
            .lock()
            .expect("idle connections lock")
            .get_mut(&target)?
            .pop()
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The task of this connection; it ends with the connection.
    tokio::spawn(connection);
    Ok(sender)
}
