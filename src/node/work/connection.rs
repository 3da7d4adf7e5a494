use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest time for one exchange with a worker, including the connect.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// HTTP connection to one worker, opened on demand.
pub(super) struct Connection {
    address: SocketAddr,
    open: Option<(SendRequest<Full<Bytes>>, JoinHandle<()>)>,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte of the request was written.
    Unsent,
    /// The request may have reached the worker, but there is no usable response.
    Lost,
}

impl Connection {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Sends a request and waits for the whole response. A failed exchange closes the connection.
    pub(super) async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::Unsent)?;
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        let (mut sender, task) = tokio::time::timeout_at(deadline, self.connect())
            .await
            .map_err(|_| Failure::Unsent)??;
        let exchange = async {
            let response = sender.try_send_request(request).await;
            let response = response.map_err(|mut e| match e.take_message() {
                Some(_) => Failure::Unsent,
                None => Failure::Lost,
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            Ok((status, body.map_err(|_| Failure::Lost)?.to_bytes()))
        };
        let result = tokio::time::timeout_at(deadline, exchange).await;
        match result.unwrap_or(Err(Failure::Lost)) {
            Ok(response) => {
                self.open = Some((sender, task));
                Ok(response)
            }
            Err(failure) => {
                // Closes the socket, so that no further bytes of the request are sent.
                task.abort();
                Err(failure)
            }
        }
    }

    async fn connect(&mut self) -> Result<(SendRequest<Full<Bytes>>, JoinHandle<()>), Failure> {
        if let Some((mut sender, task)) = self.open.take() {
            if sender.ready().await.is_ok() && !task.is_finished() {
                return Ok((sender, task));
            }
            task.abort();
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| Failure::Unsent)?;
        stream.set_nodelay(true).map_err(|_| Failure::Unsent)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Failure::Unsent)?;
        // The exchange that uses the connection reports its error.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok((sender, task))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some((_, task)) = self.open.take() {
            task.abort();
        }
    }
}
