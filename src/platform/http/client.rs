use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection::Connection;
use super::failure::Failure;
use super::pool::Pool;
use crate::platform::Error;

/// Longest duration of a call; a later response counts as lost, so that callers can act within a
/// second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest response body that the client accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of the platform services, which are available at one or more addresses.
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Index of the most recently reached address.
    last_reached: AtomicUsize,
    peer: Arc<str>,
    pool: Pool,
}

impl Client {
    /// Creates a client, which connects on the first call.
    ///
    /// ```
    /// let client = coriandernotch::platform::http::Client::new("127.0.0.1:1".parse().unwrap());
    /// drop(client);
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self::with_addresses(address, &[])
    }

    /// Creates a client that tries the next address of `others` if one cannot be reached.
    ///
    /// All addresses must lead to the same service, so that each of them has the latest state.
    ///
    /// ```
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// coriandernotch::platform::http::Client::with_addresses(address, &[address]);
    /// ```
    pub fn with_addresses(first: SocketAddr, others: &[SocketAddr]) -> Self {
        Self {
            addresses: std::iter::once(first)
                .chain(others.iter().copied())
                .collect(),
            last_reached: AtomicUsize::new(0),
            peer: first.to_string().into(),
            pool: Pool::default(),
        }
    }

    /// Connects to the most recently reached address or, if that fails, to each of the others in
    /// turn. No request is sent yet, so a failure means that the request had no effect.
    async fn connect(&self, step: &'static str, deadline: Instant) -> Result<Connection, Error> {
        let first_index = self.last_reached.load(Ordering::Relaxed);
        let mut reason = String::new();
        for remaining in (1..=self.addresses.len()).rev() {
            let index = (first_index + self.addresses.len() - remaining) % self.addresses.len();
            // Divides the remaining time so that an unresponsive address leaves time for the rest.
            let time_limit = deadline.saturating_duration_since(Instant::now()) / remaining as u32;
            match timeout(time_limit, Connection::open(self.addresses[index])).await {
                Ok(Ok(connection)) => {
                    self.last_reached.store(index, Ordering::Relaxed);
                    return Ok(connection);
                }
                Ok(Err(error)) => reason = format!("{}: {error}", self.addresses[index]),
                Err(_) => reason = format!("{}: connect timed out", self.addresses[index]),
            }
        }
        Err(self.unavailable(step, reason))
    }

    /// Sends a request, at most twice, and returns the status and body of its response.
    pub(super) async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let is_write = !method.is_safe();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &*self.peer)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| self.unavailable(step, e.to_string()))?;
        // The server may have closed an idle connection. A request that was not sent, or that has
        // no side effects, is repeated on a new connection.
        if let Ok(Some(connection)) = timeout_at(deadline, self.pool.take()).await {
            match self.exchange(connection, request.clone(), deadline).await {
                Ok(response) => return self.check_status(step, is_write, response),
                Err(Failure::Sent(reason)) if is_write => return Err(self.unknown(step, reason)),
                Err(Failure::Sent(_) | Failure::Unsent(_)) => {}
            }
        }
        let connection = self.connect(step, deadline).await?;
        match self.exchange(connection, request, deadline).await {
            Ok(response) => self.check_status(step, is_write, response),
            Err(Failure::Sent(reason)) if is_write => Err(self.unknown(step, reason)),
            Err(Failure::Sent(reason) | Failure::Unsent(reason)) => {
                Err(self.unavailable(step, reason))
            }
        }
    }

    /// Sends a request over `connection`, which returns to the pool after a complete response.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let sent_at = Instant::now();
        let exchange = async {
            let response = connection
                .sender
                .try_send_request(request)
                .await
                .map_err(|mut e| {
                    let reason = e.error().to_string();
                    match e.take_message() {
                        Some(_) => Failure::Unsent(reason),
                        None => Failure::Sent(reason),
                    }
                })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| Failure::Sent(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let response = timeout_at(deadline, exchange).await.map_err(|_| {
            self.pool.drop_unanswered_since(sent_at);
            Failure::Sent("response timed out".into())
        })??;
        self.pool.keep(connection);
        Ok(response)
    }

    /// Turns unexpected statuses into errors; only 503 means that a failed write had no effect.
    fn check_status(
        &self,
        step: &'static str,
        is_write: bool,
        (status, body): (StatusCode, Bytes),
    ) -> Result<(StatusCode, Bytes), Error> {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(self.unavailable(step, status.to_string())),
            s if s.is_success() => Ok((s, body)),
            StatusCode::NOT_FOUND if !is_write => Ok((status, body)),
            StatusCode::CONFLICT if is_write => Ok((status, body)),
            s if is_write => Err(self.unknown(step, s.to_string())),
            s => Err(self.unavailable(step, s.to_string())),
        }
    }

    pub(super) fn unavailable(&self, step: &'static str, reason: String) -> Error {
        Error::Unavailable {
            step,
            peer: self.peer.clone(),
            reason,
        }
    }

    pub(super) fn unknown(&self, step: &'static str, reason: String) -> Error {
        Error::Unknown {
            step,
            peer: self.peer.clone(),
            reason,
        }
    }

    /// Decodes the response of a call without side effects.
    pub(super) fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        body: &[u8],
    ) -> Result<T, Error> {
        serde_json::from_slice(body).map_err(|e| self.unavailable(step, e.to_string()))
    }

    /// Reads the resource at `path`; returns `None` if it does not exist.
    pub(super) async fn fetch(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<Option<Bytes>, Error> {
        let (status, body) = self.call(step, Method::GET, path, Bytes::new()).await?;
        Ok(status.is_success().then_some(body))
    }

    /// Reads a JSON list from a path that always exists.
    pub(super) async fn fetch_list<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<Vec<T>, Error> {
        match self.fetch(step, path).await? {
            Some(body) => self.decode(step, &body),
            None => Err(self.unavailable(step, StatusCode::NOT_FOUND.to_string())),
        }
    }
}
