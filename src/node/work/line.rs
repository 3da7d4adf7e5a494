use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time for one exchange with a worker.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Connection to one worker.
pub(super) struct Line {
    address: SocketAddr,
    open: Option<(SendRequest<Full<Bytes>>, JoinHandle<()>)>,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    /// No byte of the request was written.
    Unsent,
    /// The worker may have got the request.
    Sent,
}

impl Line {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Sends a request and waits for the whole answer. A broken exchange closes the connection.
    pub(super) async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes), Broken> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Broken::Unsent)?;
        let end = tokio::time::Instant::now() + TIMEOUT;
        let (mut sender, task) = tokio::time::timeout_at(end, self.connect())
            .await
            .map_err(|_| Broken::Unsent)??;
        let exchange = async {
            let answer = sender.try_send_request(request).await;
            let answer = answer.map_err(|mut e| match e.take_message() {
                Some(_) => Broken::Unsent,
                None => Broken::Sent,
            })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            Ok((status, body.map_err(|_| Broken::Sent)?.to_bytes()))
        };
        let result = tokio::time::timeout_at(end, exchange).await;
        match result.unwrap_or(Err(Broken::Sent)) {
            Ok(answer) => {
                self.open = Some((sender, task));
                Ok(answer)
            }
            Err(broken) => {
                // The socket closes, so that nothing more of the request goes out.
                task.abort();
                Err(broken)
            }
        }
    }

    async fn connect(&mut self) -> Result<(SendRequest<Full<Bytes>>, JoinHandle<()>), Broken> {
        if let Some((mut sender, task)) = self.open.take() {
            if sender.ready().await.is_ok() && !task.is_finished() {
                return Ok((sender, task));
            }
            task.abort();
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| Broken::Unsent)?;
        stream.set_nodelay(true).map_err(|_| Broken::Unsent)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Broken::Unsent)?;
        // An error of the connection reaches the exchange that uses it.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok((sender, task))
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if let Some((_, task)) = self.open.take() {
            task.abort();
        }
    }
}
