use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Report, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Whole answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the outcome that the answer states.
    pub fn outcome(&self) -> &str {
        let value = self.headers.get("coriandernotch-outcome");
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

/// Caller's connection to an entry instance.
#[derive(Debug, Default)]
pub struct Client {
    open: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Client {
    /// Sends a call and waits for the whole answer, at most 30 s.
    ///
    /// # Errors
    ///
    /// The connection failed; the error says at which step.
    pub async fn call(
        &mut self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Report> {
        let mut sender = self.connect(to).await?;
        let exchange = async {
            let answer = sender.send_request(request).await.wrap_err("step=send")?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.wrap_err("step=read")?.to_bytes();
            Ok::<_, Report>(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        let reply = tokio::time::timeout(Duration::from_secs(30), exchange).await;
        let reply = reply.wrap_err("step=wait")??;
        self.open = Some((to, sender));
        Ok(reply)
    }

    async fn connect(&mut self, to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Report> {
        if let Some((address, mut sender)) = self.open.take()
            && address == to
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let stream = TcpStream::connect(to).await.wrap_err("step=connect")?;
        stream.set_nodelay(true).wrap_err("step=set-nodelay")?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .wrap_err("step=handshake")?;
        tokio::spawn(connection);
        Ok(sender)
    }
}
