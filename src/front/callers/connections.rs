use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use super::guard::Guard;
use super::socket::Socket;
use crate::collections::Map;

/// Sends requests on one connection to a target.
pub(super) type Sender = SendRequest<Guard>;

/// Idle connections kept per target; eight entry instances together stay within the 64 connections
/// that a target accepts.
const MAX_IDLE: usize = 8;

/// Time for a connection to become ready after the last byte of an answer.
const READY_WAIT: Duration = Duration::from_millis(10);

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Connections {
    /// By address: ids of targets are unique only within one service.
    idle: Mutex<Map<SocketAddr, Vec<Sender>>>,
}

impl Connections {
    /// Takes the connection that was kept last, if it is ready.
    pub(super) fn take_ready(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("idle connections lock");
        let idle = idle.get_mut(&address)?;
        idle.pop_if(|sender| sender.is_ready())
    }

    /// Takes an idle connection or makes a new one.
    pub(super) async fn take(&self, address: SocketAddr, limit: Duration) -> io::Result<Sender> {
        while let Some(mut sender) = self.take_idle(address) {
            // An answer may end before the body of its request, whose caller then decides when the
            // connection is free; nobody else waits for that.
            let wait = READY_WAIT.min(limit);
            if sender.is_ready() || matches!(timeout(wait, sender.ready()).await, Ok(Ok(()))) {
                return Ok(sender);
            }
        }
        let made = timeout(limit, connect(address)).await;
        made.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Keeps a connection whose last answer arrived whole.
    pub(super) fn keep(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("idle connections lock");
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    /// Closes the idle connections of targets that are gone, and closed ones.
    pub fn sweep(&self, exists: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        idle.retain(|address, senders| {
            senders.retain(|s| !s.is_closed());
            exists(*address) && !senders.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        self.idle
            .lock()
            .expect("idle connections lock")
            .get_mut(&address)?
            .pop()
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let socket = Socket::connect(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    // The task of this connection; it ends with the connection.
    tokio::spawn(connection);
    Ok(sender)
}
