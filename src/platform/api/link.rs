use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use super::call::Call;
use super::{Fault, Response};
use crate::clock;
use crate::platform::http::{Connection, Pool};

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP client of one address, which reuses connections.
pub struct Link {
    address: SocketAddr,
    peer: Arc<str>,
    pool: Pool,
}

/// Failure of an exchange on one connection.
enum Failure {
    /// No byte of the request was sent.
    Unsent(String),
    /// The request was sent, at least in part.
    Sent(String),
    /// The request may not be sent, or not on this connection.
    Denied,
}

impl Link {
    /// Creates a link, which connects on the first exchange.
    ///
    /// ```
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// assert_eq!(coriandernotch::platform::api::Link::new(address).peer(), "127.0.0.1:1");
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            peer: address.to_string().into(),
            pool: Pool::default(),
        }
    }

    /// Returns the address as text.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns whether a connection to the address can be opened within a time, and keeps it.
    pub async fn connects(&self, timeout: Duration) -> bool {
        let connection = tokio::time::timeout(timeout, Connection::open(self.address)).await;
        let Ok(Ok(connection)) = connection else {
            return false;
        };
        self.pool.keep(connection);
        true
    }

    /// Sends a request and reads the whole response within the timeout of the call.
    ///
    /// A connection is closed after a timeout, because the peer may never respond on it again.
    ///
    /// # Errors
    ///
    /// The [`Fault`] tells whether the request may have taken effect.
    pub(super) async fn exchange(&self, call: Call<'_>) -> Result<Response, Fault> {
        let body = call.body.clone();
        self.exchange_after_connect(call, |_| Some(body.clone()))
            .await
    }

    /// Sends a request whose body depends on when the connection was opened on which it is sent.
    /// Sends nothing if there is no body for it.
    ///
    /// # Errors
    ///
    /// The [`Fault`] tells whether the request may have taken effect.
    pub(super) async fn exchange_after_connect(
        &self,
        call: Call<'_>,
        body: impl Fn(clock::Instant) -> Option<Bytes> + Sync,
    ) -> Result<Response, Fault> {
        let (step, started) = (call.step, Instant::now());
        let result = self.send(&call, &body).await;
        let status = match &result {
            Ok(response) => response.status.to_string(),
            Err(Fault::Unsent { .. }) => "unsent".to_owned(),
            Err(Fault::Absent { .. }) => "absent".to_owned(),
            Err(_) => "unknown".to_owned(),
        };
        let labels = [("step", step.to_owned()), ("status", status)];
        counter!("platform_calls_total", &labels).increment(1);
        histogram!("platform_call_seconds", "step" => step).record(started.elapsed());
        result
    }

    /// Sends a request; repeats it on a new connection only if no byte of it was sent.
    async fn send(
        &self,
        call: &Call<'_>,
        body: &(impl Fn(clock::Instant) -> Option<Bytes> + Sync),
    ) -> Result<Response, Fault> {
        let step = call.step;
        let deadline = Instant::now() + call.timeout;
        if let Ok(Some(connection)) = timeout_at(deadline, self.pool.take()).await {
            match self.exchange_on(connection, call, body, deadline).await {
                Ok(response) => return Ok(response),
                Err(Failure::Sent(reason)) => return Err(self.unknown(step, reason)),
                Err(Failure::Denied) => return Err(self.denied(step)),
                Err(Failure::Unsent(_)) => {}
            }
        }
        let connection = match timeout_at(deadline, Connection::open(self.address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) if is_connection_refused(&*error) => return Err(self.absent(step)),
            Ok(Err(error)) => return Err(self.unsent(step, error.to_string())),
            Err(_) => return Err(self.unsent(step, "connect timed out".into())),
        };
        match self.exchange_on(connection, call, body, deadline).await {
            Ok(response) => Ok(response),
            Err(Failure::Sent(reason)) => Err(self.unknown(step, reason)),
            Err(Failure::Denied) => Err(self.denied(step)),
            Err(Failure::Unsent(reason)) => Err(self.unsent(step, reason)),
        }
    }

    /// Performs one exchange on `connection`, which returns to the pool after a complete response.
    async fn exchange_on(
        &self,
        mut connection: Connection,
        call: &Call<'_>,
        body: &(impl Fn(clock::Instant) -> Option<Bytes> + Sync),
        deadline: Instant,
    ) -> Result<Response, Failure> {
        // The connection may have taken long to open, or the process may have been paused.
        let is_permitted = call.not_after.is_none_or(|at| clock::now() < at);
        let body = is_permitted.then(|| body(connection.opened_at)).flatten();
        let Some(body) = body else {
            // The connection is unused.
            self.pool.keep(connection);
            return Err(Failure::Denied);
        };
        let request = self.request(call, body).map_err(Failure::Unsent)?;
        let sent_at = Instant::now();
        let exchange = async {
            let sent = connection.sender.try_send_request(request).await;
            let response = sent.map_err(|mut e| {
                let reason = e.error().to_string();
                match e.take_message() {
                    Some(_) => Failure::Unsent(reason),
                    None => Failure::Sent(reason),
                }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            let body = body.map_err(|e| Failure::Sent(e.to_string()))?.to_bytes();
            Ok(Response { status, body })
        };
        let response = timeout_at(deadline, exchange).await.map_err(|_| {
            self.pool.drop_unanswered_since(sent_at);
            Failure::Sent("response timed out".into())
        })??;
        self.pool.keep(connection);
        Ok(response)
    }

    fn request(&self, call: &Call<'_>, body: Bytes) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(call.path)
            .header("host", &*self.peer);
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in call.headers {
            request = request.header(*name, value);
        }
        request.body(Full::new(body)).map_err(|e| e.to_string())
    }

    fn absent(&self, step: &'static str) -> Fault {
        let peer = self.peer.clone();
        Fault::Absent { step, peer }
    }

    fn denied(&self, step: &'static str) -> Fault {
        self.unsent(step, "the request is not permitted".into())
    }

    fn unsent(&self, step: &'static str, reason: String) -> Fault {
        let peer = self.peer.clone();
        Fault::Unsent { step, peer, reason }
    }

    pub(super) fn unknown(&self, step: &'static str, reason: String) -> Fault {
        let peer = self.peer.clone();
        Fault::Unknown { step, peer, reason }
    }

    pub(super) fn refused(&self, step: &'static str, status: u16) -> Fault {
        let peer = self.peer.clone();
        Fault::Refused { step, peer, status }
    }
}

/// Returns whether the connection was refused, by the peer or by a link that is cut off.
fn is_connection_refused(error: &(dyn std::error::Error + Send + Sync + 'static)) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
